package placement

import (
	"slices"
	"time"
)

const (
	// priorityLevels is the number of priorities that the queue distinguishes. Lower priorities share the last level.
	priorityLevels = 8
	// assumedSlowdown is the average slowdown of upstreams that estimates of the queueing time assume.
	assumedSlowdown = 1.5
	maxWaiting      = 2048
	// lateReserve is the fraction of the slots that is reserved for calls that can still meet their objective. A late call on
	// a currently slow upstream would still occupy its slot once the upstream is fast again.
	lateReserve = 0.2
	// overloadDelay is how long there must have been no slot free beyond the reserve before late calls are refused immediately.
	overloadDelay = 150 * time.Millisecond
	// maxLateWorkPerSlot limits the total service time of queued calls that can no longer meet their objective, per slot. They
	// only get capacity that other calls leave unused, so more of them would wait in vain.
	maxLateWorkPerSlot = 120 * time.Millisecond
)

func priorityLevel(c *call) int { return min(max(0, c.ask.Priority), priorityLevels-1) }

func (p *Pool) enqueue(c *call) {
	c.work = p.serviceTime(c)
	p.work[priorityLevel(c)] += c.work
	p.waiting = append(p.waiting, c)
}

// dequeue removes the calls for which drop returns true, and returns their number.
func (p *Pool) dequeue(drop func(*call) bool) int {
	before := len(p.waiting)
	if before == 0 {
		return 0
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(c *call) bool {
		if !drop(c) {
			return false
		}
		p.work[priorityLevel(c)] -= c.work
		return true
	})
	return before - len(p.waiting)
}

// expectedWait estimates the queueing time of c from the work queued at its priority and above.
func (p *Pool) expectedWait(now time.Time, c *call) time.Duration {
	var work time.Duration
	for level := range priorityLevel(c) + 1 {
		work += p.work[level]
	}
	return time.Duration(float64(work) * assumedSlowdown / p.capacity(now))
}

// slotCount is a cached count of slots. It is cached because counting visits every upstream.
type slotCount struct {
	at       time.Time
	capacity float64 // throughput of all reachable upstreams that aren't closed, in concurrent requests
	usable   int     // slots of those upstreams that may get requests now
	free     int     // unoccupied slots among usable
}

// slotCountMaxAge is the age at which a cached slotCount expires.
const slotCountMaxAge = 5 * time.Millisecond

// countSlots returns the cached count, or a new one if the cache has expired.
func (p *Pool) countSlots(now time.Time) *slotCount {
	if age := now.Sub(p.slots.at); p.slots.at.IsZero() || age < 0 || age > slotCountMaxAge {
		p.recountSlots(now)
	}
	return &p.slots
}

func (p *Pool) recountSlots(now time.Time) {
	count := slotCount{at: now}
	for _, u := range p.sortedUpstreams {
		if u.spec.Closed || !u.reachable {
			continue
		}
		n := p.occupancy.limit(u.spec.Slots)
		count.capacity += p.occupancy.throughput(u.spec.Slots)
		if u.usable(now, p.spec.AllowUnprobed) && p.move.allows(u.spec.Version) {
			count.usable += n
			count.free += max(0, n-u.occupied())
		}
	}
	p.slots = count
	if p.slots.spare() {
		p.lastSpareAt = now
	}
}

// spare reports whether slots are free beyond the reserve for calls that can meet their objective.
func (s *slotCount) spare() bool { return float64(s.free) > lateReserve*float64(s.usable) }

// capacity is the throughput of the upstreams, as the number of requests that run concurrently without slowing down.
func (p *Pool) capacity(now time.Time) float64 { return max(1, p.countSlots(now).capacity) }

// canQueue reports whether the call may be queued: it is expected to meet its deadline and, if it will miss its objective, the
// limit of late work is not reached.
func (p *Pool) canQueue(now time.Time, c *call) bool {
	if len(p.waiting) >= maxWaiting {
		return false
	}
	end := now.Add(p.expectedWait(now, c) + p.serviceTime(c))
	if end.After(c.ask.Deadline) {
		return false
	}
	return !end.After(c.ask.Objective) || p.queuedLateWork(now) < p.maxLateWork(now)
}

// maxLateWork limits the work of queued calls that can't meet their objective. Under overload it is 0.
func (p *Pool) maxLateWork(now time.Time) time.Duration {
	if p.overloaded(now) {
		return 0
	}
	return time.Duration(p.capacity(now) * float64(maxLateWorkPerSlot))
}

// overloaded reports whether there has been no spare slot for overloadDelay.
func (p *Pool) overloaded(now time.Time) bool {
	return !p.countSlots(now).spare() && now.Sub(p.lastSpareAt) > overloadDelay
}

func (p *Pool) queuedLateWork(now time.Time) time.Duration {
	var work time.Duration
	for _, c := range p.waiting {
		if !p.canMeetObjective(now, c) {
			work += c.work
		}
	}
	return work
}

// refuseExpired refuses queued calls that can no longer be answered before their deadline or have no upstream, and late calls
// beyond the limit of late work.
func (p *Pool) refuseExpired(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	limit, late := p.maxLateWork(now), time.Duration(0)
	noCapacity := p.countSlots(now).capacity == 0
	p.dequeue(func(c *call) bool {
		switch {
		case noCapacity, len(c.ask.Exclude) > 0 && !p.hasCandidate(c):
			p.refuse(now, c, ReasonNoUpstream)
			return true
		case now.Add(p.serviceTime(c)).After(c.ask.Deadline):
			p.refuse(now, c, ReasonDeadline)
			return true
		case p.canMeetObjective(now, c):
			return false
		}
		if late += c.work; late > limit {
			p.refuse(now, c, ReasonOverload)
			return true
		}
		return false
	})
}

// maxFailedSearches limits the queued calls per dispatch for which no suitable upstream is found, to bound its cost.
const maxFailedSearches = 4

// dispatch starts queued calls while an upstream is free. Calls that can still meet their objective go first, ordered by priority
// and then by objective. The others follow while slots are free beyond the reserve.
//
// changed is the upstream whose slots or pace have changed, or nil if any may have. If it is set, the other upstreams are
// examined only if a call can start on it.
func (p *Pool) dispatch(now time.Time, changed *upstream) {
	if len(p.waiting) == 0 {
		return
	}
	headroom := p.headroom(now, changed)
	if !headroom.free || !slices.ContainsFunc(p.waiting, func(c *call) bool { return p.canStart(now, c, headroom) }) {
		return
	}
	p.sortWaiting(now)
	failedSearches := 0
	p.dequeue(func(c *call) bool {
		if !headroom.free || failedSearches >= maxFailedSearches || !p.canStart(now, c, headroom) {
			return false
		}
		u := p.choose(now, c)
		if u == nil {
			failedSearches++
			return false
		}
		p.grant(now, c, u)
		headroom = p.headroom(now, changed)
		return true
	})
}

// headroom is the free capacity that queued calls may use now.
type headroom struct {
	free     bool
	slowdown float64 // the lowest among the upstreams that may get a request
	spare    bool    // more slots are free than the reserve
}

func (p *Pool) headroom(now time.Time, changed *upstream) headroom {
	r := headroom{spare: p.countSlots(now).spare()}
	if changed != nil {
		r.add(now, p, changed)
		return r
	}
	for _, u := range p.sortedUpstreams {
		r.add(now, p, u)
	}
	return r
}

func (r *headroom) add(now time.Time, p *Pool, u *upstream) {
	if !u.free(&p.occupancy) || !u.usable(now, p.spec.AllowUnprobed) || !p.move.admits(u.spec.Version) {
		return
	}
	if s := p.startSlowdown(now, u); !r.free || s < r.slowdown {
		r.slowdown, r.free = s, true
	}
}

// canStart reports whether the call could start with the given headroom. It is a cheap check that avoids searching the upstreams
// for calls that can't start.
func (p *Pool) canStart(now time.Time, c *call, r headroom) bool {
	if p.move.wantsSample() {
		return true
	}
	if !p.canMeetObjective(now, c) {
		return r.spare
	}
	return !now.Add(time.Duration(float64(c.work) * r.slowdown)).After(c.ask.Objective)
}

// sortWaiting sorts the queue in the order in which dispatch starts calls.
func (p *Pool) sortWaiting(now time.Time) {
	for _, c := range p.waiting {
		c.late = !p.canMeetObjective(now, c)
	}
	slices.SortStableFunc(p.waiting, func(a, b *call) int {
		switch {
		case a.late != b.late:
			if b.late {
				return -1
			}
			return 1
		case a.ask.Priority != b.ask.Priority:
			return a.ask.Priority - b.ask.Priority
		}
		return a.ask.Objective.Compare(b.ask.Objective)
	})
}
