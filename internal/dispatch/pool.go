package dispatch

import (
	"math/rand"
	"time"
)

// Defaults and bounds of a pool.
const (
	defaultMaxQueued   = 4096
	defaultServiceTime = 10 * time.Millisecond
	maxRetryAfter      = 5 * time.Second
	// maintenanceInterval is the period of the work that iterates over all upstreams.
	maintenanceInterval = 50 * time.Millisecond
)

// Pool is the state of one pool at its owner. It is not safe for concurrent use.
type Pool struct {
	spec           Spec
	rng            *rand.Rand
	events         Events
	probes         []string
	confirmedUntil time.Time

	upstreams      []*upstream // ordered by name
	upstreamByName map[string]*upstream
	groups         []*versionGroup
	ejected        int
	coldStarts     uint64
	inFlight       int

	calls            map[uint64]*call
	spareCalls       *call          // unused calls kept for reuse, linked by newer
	spareQueues      *customerQueue // unused queues kept for reuse, linked by next
	classes          []class
	classByName      map[string]int
	customers        map[string]CustomerSpec
	routes           map[string]int // index of each route in the per-route statistics
	queued           int
	earliestDeadline time.Time // lower bound of the deadlines in the queue; zero when it is empty
	serviceEstimate  estimate
	limits           limiter

	nextMaintenance time.Time
	medianScratch   []float64 // buffer that median reuses
}

// New returns a pool with the given configuration. The random source adds jitter to probe and backoff times. Without
// options, upstreams count as warm unless the Spec marks them cold, and the token buckets are full.
func New(spec Spec, rng *rand.Rand, options ...Option) *Pool {
	p := &Pool{
		rng:            rng,
		upstreamByName: map[string]*upstream{},
		calls:          map[uint64]*call{},
		routes:         map[string]int{},
	}
	p.configure(time.Time{}, spec, true)
	for _, option := range options {
		option(p)
	}
	return p
}

// SetConfirmed sets the time until which the owner's view of the cluster is confirmed. Cold upstreams get calls, and
// probes are sent, only before this time. Queued calls that may now use cold upstreams are granted by the next Tick.
func (p *Pool) SetConfirmed(_ time.Time, confirmedUntil time.Time) {
	p.confirmedUntil = confirmedUntil
}

func (p *Pool) resetEvents() {
	p.events.Grants = p.events.Grants[:0]
	p.events.Refusals = p.events.Refusals[:0]
}

// Submit adds a request. It is granted, queued or refused.
func (p *Pool) Submit(now time.Time, r Request) Events {
	p.resetEvents()
	c := p.newCall(now, r)
	k := &p.classes[c.queueClass]
	k.arrivalRate.add(now)
	if reason := p.checkAdmission(now, c); reason != "" {
		p.refuse(now, c, reason)
		return p.events
	}
	if p.queued == 0 {
		if u := p.pick(now, c); u != nil {
			p.limits.charge(c.req)
			p.calls[r.ID] = c
			p.grant(now, c, u)
			return p.events
		}
	}
	if reason := p.checkQueueing(now, c); reason != "" {
		p.refuse(now, c, reason)
		return p.events
	}
	p.limits.charge(c.req)
	p.calls[r.ID] = c
	p.enqueue(c)
	p.dispatchQueued(now)
	if r.Hedge && c.fairQueue != nil {
		p.unqueue(c)
		p.refuse(now, c, ReasonOverload)
	}
	return p.events
}

// checkAdmission applies the checks that do not depend on the queue. It returns a reason to refuse the call, or "".
func (p *Pool) checkAdmission(now time.Time, c *call) Reason {
	switch _, held := p.calls[c.req.ID]; {
	case held:
		return ReasonDuplicateID
	case p.spec.Closed:
		return ReasonClosed
	case !now.Before(c.req.Deadline):
		return ReasonDeadline
	}
	if reason := p.unavailableReason(now, c); reason != "" {
		return reason
	}
	if !p.limits.allows(now, c.req) {
		return ReasonLimit
	}
	return ""
}

// checkQueueing returns a reason to refuse a call that finds no free slot, or "" if the call may be queued because it
// can still meet its deadline.
func (p *Pool) checkQueueing(now time.Time, c *call) Reason {
	service := p.serviceTime(c.class)
	remaining := c.req.Deadline.Sub(now)
	tooLate := service+p.expectedWait(now, c.queueClass, c.req.Version) > remaining
	if tooLate && service > remaining/2 {
		p.decayServiceEstimate(c)
	}
	switch {
	case service > remaining:
		return ReasonDeadline
	case tooLate:
		return ReasonOverload
	}
	if p.queued >= p.maxQueued() && !p.displaceQueued(now, c.queueClass) {
		return ReasonOverload
	}
	return ""
}

func (p *Pool) maxQueued() int {
	if p.spec.MaxQueued == 0 {
		return defaultMaxQueued
	}
	return p.spec.MaxQueued
}

// decayServiceEstimate lowers the class's estimated service time when the estimate is the main reason to refuse a call.
// Without it, an estimate above every deadline would refuse all calls of the class, so no new sample could correct it.
func (p *Pool) decayServiceEstimate(c *call) {
	e := &p.classes[c.class].serviceEstimate
	e.mean *= 0.99
	e.deviation *= 0.99
}

// unavailableReason says why no upstream can take the call, now or once running calls have finished. It returns "" if
// one can.
func (p *Pool) unavailableReason(now time.Time, c *call) Reason {
	confirmed := now.Before(p.confirmedUntil)
	coldExists, reason := false, ReasonNoUpstream
	for _, g := range p.groups {
		if c.req.Version != "" && c.req.Version != g.version {
			continue
		}
		if len(c.req.Exclude) == 0 && c.route == 0 {
			if g.capacity(confirmed) > 0 {
				return ""
			}
			coldExists = coldExists || g.slotsByTier[tierCold] > 0
			continue
		}
		for _, u := range g.members {
			if u.countedSlots == 0 || !c.mayUse(u) {
				continue
			}
			if !u.cold || confirmed {
				return ""
			}
			coldExists = true
		}
	}
	if coldExists {
		reason = ReasonCold
	}
	return reason
}

// capacity returns the number of usable slots of a version, or of all versions if it is empty.
func (p *Pool) capacity(now time.Time, version string) int {
	confirmed, n := now.Before(p.confirmedUntil), 0
	for _, g := range p.groups {
		if version == "" || version == g.version {
			n += g.capacity(confirmed)
		}
	}
	return n
}

// Finish ends a granted request, frees its slot and records the outcome. It ignores an unknown ID.
func (p *Pool) Finish(now time.Time, requestID uint64, o Outcome) Events {
	p.resetEvents()
	c := p.calls[requestID]
	if c == nil || c.assignedUpstream == nil {
		return p.events
	}
	u := c.assignedUpstream
	p.releaseSlot(now, c)
	p.recordOutcome(now, u, c, o)
	u.countAbandoned(now, o)
	p.updateFreeList(u)
	p.dropCall(c)
	p.dispatchQueued(now)
	return p.events
}

// Cancel ends a queued or granted request. The slot of a granted one is freed at once.
func (p *Pool) Cancel(now time.Time, requestID uint64) Events {
	c := p.calls[requestID]
	if c == nil || c.assignedUpstream != nil {
		o := Outcome{Kind: Cancelled}
		if c != nil {
			o.Latency = now.Sub(c.grantedAt)
		}
		return p.Finish(now, requestID, o)
	}
	p.resetEvents()
	p.unqueue(c)
	p.dropCall(c)
	return p.events
}

// Tick refuses expired calls, ends ejections and returns the upstreams to probe. Call it about every 10 ms.
func (p *Pool) Tick(now time.Time) (events Events, probes []string) {
	p.resetEvents()
	p.probes = p.probes[:0]
	if !now.Before(p.nextMaintenance) {
		p.nextMaintenance = now.Add(maintenanceInterval)
		p.maintain(now)
	}
	p.expireQueued(now)
	p.dispatchQueued(now)
	return p.events, p.probes
}

// maintain does the periodic work that iterates over all upstreams.
func (p *Pool) maintain(now time.Time) {
	p.updateMedians()
	for _, u := range p.upstreams {
		p.expireState(now, u)
		p.detectStuck(now, u)
		p.updateFreeList(u)
		if p.probeDue(now, u) {
			p.probes = append(p.probes, u.spec.Name)
		}
	}
	p.deleteRemoved()
	p.limits.prune(now)
	if p.queued > 0 {
		p.refuseQueued(now, func(c *call) Reason { return p.unavailableReason(now, c) })
	}
}

func (p *Pool) newCall(now time.Time, r Request) *call {
	c := p.spareCalls
	if c == nil {
		c = &call{}
	} else {
		p.spareCalls = c.newer
	}
	*c = call{req: r, arrivedAt: now, route: p.routeIndex(r.Route)}
	c.class = p.classIndex(r)
	c.queueClass = c.class
	if s, ok := p.customers[r.Customer]; ok {
		c.queueClass = max(0, c.queueClass-s.PriorityBoost)
	}
	return c
}

// dropCall removes a call that has ended.
func (p *Pool) dropCall(c *call) {
	delete(p.calls, c.req.ID)
	p.recycle(c)
}

func (p *Pool) recycle(c *call) {
	*c = call{newer: p.spareCalls}
	p.spareCalls = c
}

func (p *Pool) grant(now time.Time, c *call, u *upstream) {
	p.acquireSlot(now, u, c)
	p.events.Grants = append(p.events.Grants, Grant{
		RequestID: c.req.ID,
		Upstream:  u.spec.Name,
		Address:   u.spec.Address,
		Cold:      u.cold,
		Waited:    now.Sub(c.arrivedAt),
	})
}

// refuse ends a call that was never queued or has been removed from the queue.
func (p *Pool) refuse(now time.Time, c *call, reason Reason) {
	p.events.Refusals = append(p.events.Refusals, Refusal{
		RequestID:  c.req.ID,
		Reason:     reason,
		RetryAfter: p.retryAfter(now, c, reason),
	})
	if p.calls[c.req.ID] == c {
		delete(p.calls, c.req.ID)
	}
	p.recycle(c)
}

// retryAfter estimates when the same call may succeed in this pool.
func (p *Pool) retryAfter(now time.Time, c *call, reason Reason) time.Duration {
	switch reason {
	case ReasonLimit:
		return p.limits.retryAfter(c.req)
	case ReasonClosed:
		return maxRetryAfter
	case ReasonNoUpstream, ReasonCold:
		return ejectionBackoff
	case ReasonOverload:
		return min(max(p.expectedWait(now, c.queueClass, c.req.Version), time.Millisecond), maxRetryAfter)
	}
	return 0
}
