package dispatch

import (
	"math/bits"
	"time"
)

// maxRoutes bounds the number of routes with statistics of their own; any further routes share the last index.
const maxRoutes = 64

// upstream is the state of one upstream. The count of its occupied slots is exact because only this pool sends to it.
type upstream struct {
	spec         UpstreamSpec
	versionGroup *versionGroup

	inFlight               int
	oldestCall, newestCall *call // list of the running calls in the order of their grants
	grants                 uint64
	lastCall               time.Time
	lastProbe              time.Time
	probeSent              time.Time
	probeFailed            bool

	cold           bool
	coldReason     string
	allowance      int
	rampSuccesses  int       // successes at normal latency since the allowance last changed
	suspectedUntil time.Time // limited to one call until then, because peers have just become cold

	draining                bool // according to its own load report
	removed                 bool // no longer in the Spec
	ejectedUntil            time.Time
	ejectReason             string
	ejections               int
	unreachableUntil        time.Time // gets no calls until then, after refused connections; not counted as ejected
	consecutiveRefusedConns int
	lastEjected             time.Time
	latencyRatio            float64 // exponential moving average of latency relative to the peers' median
	degraded                bool    // last resort: slower than its peers, or ejecting it would exceed half of the pool
	slowRoutes              uint64  // bit set of the route indices whose calls it does not get
	slowRoutesUntil         time.Time

	routeStats          [maxRoutes]routeStat
	failureRate         float64
	outcomeCount        int
	consecutiveFailures int
	failureBaseline     baseline
	lastCallPinned      bool // the last evaluated call required this version
	consecutiveNotRun   int

	loadReport reportState
	untracked  untracked

	// Membership in one of the version group's free lists.
	currentList      *freeList
	utilisationLevel int
	prev, next       *upstream
	countedSlots     int  // slots counted in versionGroup.slotsByTier
	countedTier      tier // tier under which countedSlots are counted
}

// tier classifies upstreams for selection. The order in which the tiers are tried depends on the class of the call.
type tier uint8

const (
	tierWarm tier = iota
	tierCold
	tierDegraded
	tierCount
)

func (u *upstream) tier() tier {
	switch {
	case u.cold:
		return tierCold
	case u.degraded:
		return tierDegraded
	}
	return tierWarm
}

func (u *upstream) ejected() bool { return !u.ejectedUntil.IsZero() }

func (u *upstream) leaving() bool { return u.spec.Leaving || u.draining }

// limit returns the number of calls that the upstream may run concurrently now.
func (u *upstream) limit() int {
	if !u.untracked.heldUntil.IsZero() {
		return 0
	}
	n := u.capacity()
	if !u.suspectedUntil.IsZero() {
		n = min(n, 1)
	}
	return n
}

// capacity returns the limit without the short restrictions that apply while peers become cold or a handover is pending. Calls wait in
// the queue for the end of these.
func (u *upstream) capacity() int {
	if u.ejected() || u.leaving() || !u.unreachableUntil.IsZero() {
		return 0
	}
	if u.cold && u.untracked.stateUnknown {
		return 0
	}
	n := min(u.allowance, u.spec.Slots)
	if u.loadReport.foreignCalls > 0 {
		n = max(1, n-u.loadReport.foreignCalls)
	}
	left := n - u.untracked.count
	if u.cold {
		return max(0, left)
	}
	// A warm upstream refuses excess calls itself, and the report of a single call shows which untracked ones have ended.
	return max(1, left)
}

// versionGroup holds the upstreams of one version. Outlier detection compares them with each other as peers.
type versionGroup struct {
	version         string
	members         []*upstream
	freeByTier      [tierCount]freeList
	slotsByTier     [tierCount]int
	totalInFlight   int
	medianLatency   [maxRoutes]float64 // per route, in seconds; zero while unknown
	failureRateSum  float64            // over all members
	lastColdStart   time.Time          // when an unannounced cold start of a member was last detected
	lastColdStartBy *upstream
}

// capacity returns the number of usable slots. Cold ones count only while the view is confirmed.
func (g *versionGroup) capacity(confirmed bool) int {
	n := g.slotsByTier[tierWarm] + g.slotsByTier[tierDegraded]
	if confirmed {
		n += g.slotsByTier[tierCold]
	}
	return n
}

// utilisationLevels is the number of buckets of a freeList, one for each bit of freeList.occupied.
const utilisationLevels = 64

// freeList holds upstreams with free slots in buckets by utilisation, level 0 being idle, and in FIFO order within a bucket, so that the
// least utilised one is found without a scan.
type freeList struct {
	occupied   uint64 // bit set of the levels that hold upstreams
	head, tail [utilisationLevels]*upstream
}

func (l *freeList) add(u *upstream, utilisationLevel int) {
	u.currentList, u.utilisationLevel = l, utilisationLevel
	u.prev, u.next = l.tail[utilisationLevel], nil
	if u.prev != nil {
		u.prev.next = u
	} else {
		l.head[utilisationLevel] = u
	}
	l.tail[utilisationLevel] = u
	l.occupied |= 1 << utilisationLevel
}

func (l *freeList) remove(u *upstream) {
	if u.prev != nil {
		u.prev.next = u.next
	} else {
		l.head[u.utilisationLevel] = u.next
	}
	if u.next != nil {
		u.next.prev = u.prev
	} else {
		l.tail[u.utilisationLevel] = u.prev
	}
	if l.head[u.utilisationLevel] == nil {
		l.occupied &^= 1 << u.utilisationLevel
	}
	u.currentList, u.prev, u.next = nil, nil, nil
}

// first returns the least utilised upstream that the call may use, or nil.
func (l *freeList) first(c *call) *upstream {
	for rest := l.occupied; rest != 0; rest &= rest - 1 {
		for u := l.head[bits.TrailingZeros64(rest)]; u != nil; u = u.next {
			if c.mayUse(u) {
				return u
			}
		}
	}
	return nil
}

// updateFreeList moves the upstream to the free list for its state. It must be called after every change of that state.
func (p *Pool) updateFreeList(u *upstream) {
	if u.currentList != nil {
		u.currentList.remove(u)
	}
	g := u.versionGroup
	g.slotsByTier[u.countedTier] -= u.countedSlots
	limit, capacity := 0, 0
	if !p.spec.Closed {
		limit, capacity = u.limit(), u.capacity()
	}
	u.countedSlots, u.countedTier = capacity, u.tier()
	g.slotsByTier[u.countedTier] += capacity
	if u.inFlight < limit {
		g.freeByTier[u.countedTier].add(u, u.inFlight*utilisationLevels/limit)
	}
}

// Cold upstreams need calls to warm up, so most calls prefer them. Calls of the highest priority use them only when no
// warm slot is free.
var (
	urgentTierOrder  = [tierCount]tier{tierWarm, tierCold, tierDegraded}
	defaultTierOrder = [tierCount]tier{tierCold, tierWarm, tierDegraded}
)

// pick returns the upstream for the call, or nil when no slot is free for it.
func (p *Pool) pick(now time.Time, c *call) *upstream {
	order := &defaultTierOrder
	if c.queueClass == 0 {
		order = &urgentTierOrder
	}
	for _, t := range order {
		if t == tierCold && !now.Before(p.confirmedUntil) {
			continue
		}
		u := p.pickFromTier(c, t)
		if u == nil || t == tierDegraded && !p.worthUsingDegraded(u) {
			continue
		}
		return u
	}
	return nil
}

func (p *Pool) pickFromTier(c *call, t tier) *upstream {
	var best *upstream
	for _, g := range p.groups {
		if g.freeByTier[t].occupied == 0 || c.req.Version != "" && c.req.Version != g.version {
			continue
		}
		u := g.freeByTier[t].first(c)
		if u != nil && (best == nil || u.utilisationLevel < best.utilisationLevel) {
			best = u
		}
	}
	return best
}

// worthUsingDegraded reports whether waiting for a slot of a normal upstream would take longer than the extra latency
// of the degraded one.
func (p *Pool) worthUsingDegraded(u *upstream) bool {
	normal := u.versionGroup.slotsByTier[tierWarm]
	if normal == 0 {
		return true
	}
	wait := float64(p.queued+1) * p.serviceEstimate.mean / float64(normal)
	return wait > u.extraLatency()
}

// acquireSlot assigns a slot of the upstream to the call.
func (p *Pool) acquireSlot(now time.Time, u *upstream, c *call) {
	c.assignedUpstream, c.grantedAt, c.coldWhenSent = u, now, u.cold
	c.older, c.newer = u.newestCall, nil
	if u.newestCall != nil {
		u.newestCall.newer = c
	} else {
		u.oldestCall = c
	}
	u.newestCall = c
	u.inFlight++
	u.versionGroup.totalInFlight++
	u.grants++
	u.lastCall = now
	p.inFlight++
	p.updateFreeList(u)
}

// releaseSlot frees the call's slot. The caller updates the free list once it has recorded the outcome.
func (p *Pool) releaseSlot(now time.Time, c *call) {
	u := c.assignedUpstream
	c.unlink(&u.oldestCall, &u.newestCall)
	c.assignedUpstream = nil
	u.inFlight--
	u.versionGroup.totalInFlight--
	u.lastCall = now
	p.inFlight--
}
