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
	// maintenanceInterval is the period of the work that looks at all upstreams.
	maintenanceInterval = 50 * time.Millisecond
)

// Pool holds the state of one pool at its owner. It is not safe for concurrent use.
type Pool struct {
	spec           Spec
	rng            *rand.Rand
	ev             Events
	probes         []string
	confirmedUntil time.Time

	upstreams []*upstream // ordered by name
	byName    map[string]*upstream
	groups    []*group
	ejected   int
	inFlight  int

	calls       map[uint64]*call
	spareCalls  *call
	spareQueues *customerQueue
	classes     []class
	classByName map[string]int
	customers   map[string]CustomerSpec
	routes      map[string]int
	queued      int
	nextExpiry  time.Time // no queued call has an earlier deadline; zero when none is queued
	service     estimate
	limits      limiter

	nextMaintenance time.Time
	scratch         []float64
}

// New returns a pool with the given configuration. The random source spreads probes and backoff times. Without options
// its upstreams count as warm unless the Spec says cold, and its buckets are full.
func New(spec Spec, rng *rand.Rand, options ...Option) *Pool {
	p := &Pool{
		rng:    rng,
		byName: map[string]*upstream{},
		calls:  map[uint64]*call{},
		routes: map[string]int{},
	}
	p.configure(time.Time{}, spec, true)
	for _, option := range options {
		option(p)
	}
	return p
}

// SetConfirmed sets the time until which the owner's view is confirmed. Cold upstreams get calls, and probes are sent,
// only before this time. Queued calls that may now use cold upstreams are granted by the next Tick.
func (p *Pool) SetConfirmed(_ time.Time, confirmedUntil time.Time) {
	p.confirmedUntil = confirmedUntil
}

func (p *Pool) begin() {
	p.ev.Grants = p.ev.Grants[:0]
	p.ev.Refusals = p.ev.Refusals[:0]
}

// Submit offers a request. It is granted, queued or refused.
func (p *Pool) Submit(now time.Time, r Request) Events {
	p.begin()
	c := p.newCall(now, r)
	k := &p.classes[c.level]
	k.arrival.add(now)
	if reason := p.admission(now, c); reason != "" {
		p.refuse(now, c, reason)
		return p.ev
	}
	if p.queued == 0 {
		if u := p.pick(now, c); u != nil {
			p.limits.take(c.req)
			p.calls[r.ID] = c
			p.grant(now, c, u)
			return p.ev
		}
	}
	if reason := p.queueing(now, c); reason != "" {
		p.refuse(now, c, reason)
		return p.ev
	}
	p.limits.take(c.req)
	p.calls[r.ID] = c
	p.enqueue(c)
	p.dispatchQueued(now)
	if r.Hedge && c.lane != nil {
		p.unqueue(c)
		p.refuse(now, c, ReasonOverload)
	}
	return p.ev
}

// admission checks what doesn't depend on the queue.
func (p *Pool) admission(now time.Time, c *call) Reason {
	switch _, held := p.calls[c.req.ID]; {
	case held:
		return ReasonDuplicateID
	case p.spec.Closed:
		return ReasonClosed
	case !now.Before(c.req.Deadline):
		return ReasonDeadline
	}
	if reason := p.unusable(now, c); reason != "" {
		return reason
	}
	if !p.limits.allows(now, c.req) {
		return ReasonLimit
	}
	return ""
}

// queueing checks whether a call that finds no free slot can still be answered in time.
func (p *Pool) queueing(now time.Time, c *call) Reason {
	service := p.serviceTime(c.class)
	left := c.req.Deadline.Sub(now)
	late := service+p.expectedWait(now, c.level, c.req.Version) > left
	if late && service > left/2 {
		p.doubtService(c)
	}
	switch {
	case service > left:
		return ReasonDeadline
	case late:
		return ReasonOverload
	}
	if p.queued >= p.maxQueued() && !p.displace(now, c.level) {
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

// doubtService lowers the class's service time when it is the main reason to refuse a call. Without this, an estimate
// above every deadline would refuse all calls of the class and never be corrected by a measurement.
func (p *Pool) doubtService(c *call) {
	e := &p.classes[c.class].service
	e.mean *= 0.99
	e.dev *= 0.99
}

// unusable says why no upstream can take the call now or after the running calls, or returns "".
func (p *Pool) unusable(now time.Time, c *call) Reason {
	confirmed := now.Before(p.confirmedUntil)
	exists, reason := false, ReasonNoUpstream
	for _, g := range p.groups {
		if c.req.Version != "" && c.req.Version != g.version {
			continue
		}
		if len(c.req.Exclude) == 0 && c.route == 0 {
			if g.capacity(confirmed) > 0 {
				return ""
			}
			exists = exists || g.slots[kindCold] > 0
			continue
		}
		for _, u := range g.members {
			if u.counted == 0 || !c.mayUse(u) {
				continue
			}
			if !u.cold || confirmed {
				return ""
			}
			exists = true
		}
	}
	if exists {
		reason = ReasonCold
	}
	return reason
}

// capacity is the number of slots usable for a version, or for any when it is empty.
func (p *Pool) capacity(now time.Time, version string) int {
	confirmed, n := now.Before(p.confirmedUntil), 0
	for _, g := range p.groups {
		if version == "" || version == g.version {
			n += g.capacity(confirmed)
		}
	}
	return n
}

// Finish ends a granted request, frees its slot and records the outcome. An unknown ID has no effect.
func (p *Pool) Finish(now time.Time, requestID uint64, o Outcome) Events {
	p.begin()
	c := p.calls[requestID]
	if c == nil || c.up == nil {
		return p.ev
	}
	u := c.up
	p.release(now, c)
	p.learn(now, u, c, o)
	u.holdAbandoned(now, o)
	p.relink(u)
	p.forget(c)
	p.dispatchQueued(now)
	return p.ev
}

// Cancel ends a queued or granted request. A granted one frees its slot at once.
func (p *Pool) Cancel(now time.Time, requestID uint64) Events {
	c := p.calls[requestID]
	if c == nil || c.up != nil {
		o := Outcome{Kind: Cancelled}
		if c != nil {
			o.Latency = now.Sub(c.granted)
		}
		return p.Finish(now, requestID, o)
	}
	p.begin()
	p.unqueue(c)
	p.forget(c)
	return p.ev
}

// Tick expires queued calls, ends ejections, and returns the upstreams to probe. Call it about every 10 ms.
func (p *Pool) Tick(now time.Time) (ev Events, probes []string) {
	p.begin()
	p.probes = p.probes[:0]
	if !now.Before(p.nextMaintenance) {
		p.nextMaintenance = now.Add(maintenanceInterval)
		p.maintain(now)
	}
	p.expire(now)
	p.dispatchQueued(now)
	return p.ev, p.probes
}

// maintain does the periodic work that looks at all upstreams.
func (p *Pool) maintain(now time.Time) {
	p.updateMedians()
	for _, u := range p.upstreams {
		p.expireState(now, u)
		p.judgeStuck(now, u)
		p.relink(u)
		if p.probeDue(now, u) {
			p.probes = append(p.probes, u.spec.Name)
		}
	}
	p.dropGone()
	p.limits.prune(now)
	if p.queued > 0 {
		p.refuseQueued(now, func(c *call) Reason { return p.unusable(now, c) })
	}
}

func (p *Pool) newCall(now time.Time, r Request) *call {
	c := p.spareCalls
	if c == nil {
		c = &call{}
	} else {
		p.spareCalls = c.newer
	}
	*c = call{req: r, arrived: now, route: p.routeIndex(r.Route)}
	c.class = p.classIndex(r)
	c.level = c.class
	if s, ok := p.customers[r.Customer]; ok {
		c.level = max(0, c.level-s.PriorityBoost)
	}
	return c
}

// forget drops a call that has ended.
func (p *Pool) forget(c *call) {
	delete(p.calls, c.req.ID)
	p.recycle(c)
}

func (p *Pool) recycle(c *call) {
	*c = call{newer: p.spareCalls}
	p.spareCalls = c
}

func (p *Pool) grant(now time.Time, c *call, u *upstream) {
	p.hold(now, u, c)
	p.ev.Grants = append(p.ev.Grants, Grant{
		RequestID: c.req.ID,
		Upstream:  u.spec.Name,
		Address:   u.spec.Address,
		Cold:      u.cold,
		Waited:    now.Sub(c.arrived),
	})
}

// refuse ends a call that was not queued, or was taken out of the queue.
func (p *Pool) refuse(now time.Time, c *call, reason Reason) {
	p.ev.Refusals = append(p.ev.Refusals, Refusal{
		RequestID:  c.req.ID,
		Reason:     reason,
		RetryAfter: p.retryAfter(now, c, reason),
	})
	if p.calls[c.req.ID] == c {
		delete(p.calls, c.req.ID)
	}
	p.recycle(c)
}

// retryAfter says when the same call may succeed here.
func (p *Pool) retryAfter(now time.Time, c *call, reason Reason) time.Duration {
	switch reason {
	case ReasonLimit:
		return p.limits.retryAfter(c.req)
	case ReasonClosed:
		return maxRetryAfter
	case ReasonNoUpstream, ReasonCold:
		return ejectionBackoff
	case ReasonOverload:
		return min(max(p.expectedWait(now, c.level, c.req.Version), time.Millisecond), maxRetryAfter)
	}
	return 0
}
