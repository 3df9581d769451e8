package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// priorityLevels is the number of priorities that the queue distinguishes. Lower priorities share the last level.
	priorityLevels = 8
	// assumedSlowdown is the average slowdown of upstreams that estimates of the queueing time assume.
	assumedSlowdown = 1.5
	maxWaiting      = 2048
	// maxWait limits estimates of the queueing time.
	maxWait = time.Minute
	// minWorkRate avoids a division by zero where calls of higher priority need all upstreams.
	minWorkRate = 0.01
)

func priorityLevel(c *call) int { return min(max(0, c.ask.Priority), priorityLevels-1) }

func (p *Pool) enqueue(c *call) {
	c.work = p.serviceTime(c)
	c.lateFrom = c.lateAt(c.work)
	p.nextLate = earlier(p.nextLate, c.lateFrom)
	c.late = c.queuedAt.After(c.lateFrom)
	p.addWork(c.queuedAt, c)
	p.shares.enqueue(c)
	i := sort.Search(len(p.waiting), func(i int) bool { return startOrder(p.waiting[i], c) > 0 })
	p.waiting = slices.Insert(p.waiting, i, c)
	p.startBound.include(c.queuedAt, c)
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
		p.removeWork(c)
		p.shares.leave(c)
		return true
	})
	return before - len(p.waiting)
}

// drainTime estimates how long the upstreams need for the work queued at the priority of c and above.
func (p *Pool) drainTime(now time.Time, c *call) time.Duration {
	return max(time.Duration(p.queuedWork(c)/p.workRate(now)), p.byteWait(now, c))
}

// expectedWait estimates the queueing time of c: the calls queued before it, and those of higher priority that arrive meanwhile,
// start first.
func (p *Pool) expectedWait(now time.Time, c *call) time.Duration {
	work := p.queuedWork(c)
	if work == 0 {
		return 0
	}
	left := p.workRate(now) - p.arrivals.above(now, priorityLevel(c))
	return max(time.Duration(min(float64(maxWait), work/max(left, minWorkRate))), p.byteWait(now, c))
}

// queuedWork is the service time in nanoseconds of the calls queued at the priority of c and above.
func (p *Pool) queuedWork(c *call) float64 {
	var work time.Duration
	for level := range priorityLevel(c) + 1 {
		work += p.work[level]
	}
	return float64(work)
}

// workRate is the service time that the upstreams complete per unit of time.
func (p *Pool) workRate(now time.Time) float64 { return p.capacity(now) / assumedSlowdown }

// canQueue reports whether the call may be queued: it is expected to meet its deadline and, if it will miss its objective, the
// limit of late work is not reached. Under overload the queue is kept shorter.
func (p *Pool) canQueue(now time.Time, c *call) bool {
	if len(p.waiting) >= maxWaiting {
		return false
	}
	if p.spec.UpstreamsUnknown {
		return true // until it can't meet its objective any more, see refuseExpired
	}
	if c.ask.Repeated && !p.canMeetObjective(now, c) {
		return p.canQueueLateRetry(now, c)
	}
	end := now.Add(p.expectedWait(now, c) + p.serviceTime(c))
	if end.After(c.ask.Deadline) {
		return false
	}
	if p.overloaded(now) {
		return !p.queueTooLong(now, c)
	}
	return !end.After(c.ask.Objective) || p.queuedLateWork(now) < p.maxLateWork(now)
}

func (p *Pool) queuedLateWork(now time.Time) time.Duration {
	var work time.Duration
	for _, c := range p.waiting {
		if c.level != lateRetryLevel && !p.canMeetObjective(now, c) {
			work += c.work
		}
	}
	return work
}

// refuseExpired refuses queued calls that can no longer be answered before their deadline or have no upstream, late calls beyond
// the limit of late work, and under overload those that have waited for long.
func (p *Pool) refuseExpired(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	limit, late := p.maxLateWork(now), time.Duration(0)
	noCapacity := p.countSlots(now).capacity == 0 && !p.spec.UpstreamsUnknown
	overloaded := p.overloaded(now)
	if p.lateRetries.calls > 0 {
		p.updateLateRetryRate(now)
	}
	var lateRetryWork time.Duration
	p.lateRetries.deadline = time.Time{}
	p.dequeue(func(c *call) bool {
		switch {
		case noCapacity, len(c.ask.Exclude) > 0 && !p.hasCandidate(c):
			p.refuse(now, c, ReasonNoUpstream)
			return true
		case now.Add(p.serviceTime(c)).After(c.ask.Deadline):
			p.refuse(now, c, ReasonDeadline)
			return true
		case c.level == lateRetryLevel && p.lateRetries.missesDeadline(now, c, lateRetryWork):
			p.refuse(now, c, ReasonOverload)
			return true
		case c.level == lateRetryLevel:
			lateRetryWork += c.work
			p.lateRetries.deadline = earlier(p.lateRetries.deadline, c.ask.Deadline)
			return false
		case overloaded && !c.ask.Repeated && now.After(p.lateAtWhenBusy(now, c)):
			p.refuse(now, c, ReasonOverload)
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
	p.startReserved(now, changed)
	headroom := p.headroom(now, changed)
	if !headroom.free || !p.move.wantsSample() && p.startBound.excludes(now, headroom) {
		return
	}
	p.sortWaiting(now)
	if len(p.waiting) > 0 && p.waiting[0].late && !p.canStartLate(now, headroom) {
		return // all calls are late, because these are the last ones; the loop would also renew startBound in vain
	}
	startable, failedSearches := false, 0
	for i := 0; i < len(p.waiting) && headroom.free && failedSearches < maxFailedSearches; {
		c := p.waiting[i]
		if c.late && !p.canStartLate(now, headroom) {
			break // late calls are the last ones
		}
		if !p.canStart(now, c, headroom) {
			i++
			continue
		}
		startable = true
		u := p.choose(now, c)
		if u == nil {
			failedSearches++
			i++
			continue
		}
		p.waiting = slices.Delete(p.waiting, i, i+1)
		p.removeWork(c)
		p.grant(now, c, u)
		headroom = p.headroom(now, changed)
	}
	if !startable {
		p.startBound = newStartBound(now, p.waiting)
	}
}

// headroom is the free capacity that queued calls may use now.
type headroom struct {
	free     bool
	slowdown float64 // the lowest among the upstreams that may get a request
	spare    bool    // late calls may start, except for late retries
	// lateRetries says which of the late retries may start.
	lateRetries lateRetryHeadroom
	// requestBytes is the size of the largest request that the limit on request bytes admits.
	requestBytes int64
}

// spareFor reports whether a late call may start.
func (r *headroom) spareFor(now time.Time, c *call) bool {
	if c.level == lateRetryLevel {
		return r.lateRetries.allows(now, c.ask.Deadline)
	}
	return r.spare
}

// mayHaveSpare reports whether a late call may start, whatever its deadline.
func (r *headroom) mayHaveSpare() bool { return r.spare || r.lateRetries.nearDeadline }

func (p *Pool) headroom(now time.Time, changed *upstream) headroom {
	r := headroom{spare: p.spareForLateCalls(now)}
	if p.lateRetries.calls > 0 {
		r.lateRetries = p.lateRetryHeadroom(now)
	}
	if changed != nil {
		k := p.newCandidate(now, changed)
		r.add(p, &k)
		return r
	}
	candidates := p.currentCandidates(now)
	for i := range candidates {
		r.add(p, &candidates[i])
	}
	return r
}

func (r *headroom) add(p *Pool, k *candidate) {
	if !k.open() || !p.move.admits(k.version) {
		return
	}
	r.requestBytes = max(r.requestBytes, k.requestBytes)
	if !r.free || k.slowdown < r.slowdown {
		r.slowdown, r.free = k.slowdown, true
	}
}

// canStartLate reports whether any late call could start with the given headroom.
func (p *Pool) canStartLate(now time.Time, r headroom) bool {
	return r.spare || r.lateRetries.allows(now, p.lateRetries.deadline) || p.move.wantsSample()
}

// canStart reports whether the call could start with the given headroom. It is a cheap check that avoids searching the upstreams
// for calls that can't start.
func (p *Pool) canStart(now time.Time, c *call, r headroom) bool {
	if c.requestBytes() > r.requestBytes {
		return false
	}
	if p.move.wantsSample() {
		return true
	}
	if !p.canMeetObjective(now, c) {
		return r.spareFor(now, c)
	}
	return !now.Add(time.Duration(float64(c.work) * r.slowdown)).After(c.ask.Objective)
}

// startBound tells without a scan of the queue that none of its calls can start. It stays valid when calls leave the queue and as
// time passes.
type startBound struct {
	slowdown float64   // the highest with which a queued call could meet its objective
	late     time.Time // earliest time at which a queued call can no longer meet its objective; zero if the queue is empty
}

func newStartBound(now time.Time, waiting []*call) startBound {
	var b startBound
	for _, c := range waiting {
		b.include(now, c)
	}
	return b
}

func (b *startBound) include(now time.Time, c *call) {
	b.slowdown = max(b.slowdown, float64(c.ask.Objective.Sub(now))/float64(c.work))
	b.late = earlier(b.late, c.lateFrom)
}

// excludes reports whether canStart is false for all queued calls.
func (b *startBound) excludes(now time.Time, r headroom) bool {
	if r.slowdown <= b.slowdown {
		return false
	}
	return !r.mayHaveSpare() || !now.After(b.late)
}

// sortWaiting sorts the queue in the order in which dispatch starts calls. The queue is in that order already, unless calls became
// late.
func (p *Pool) sortWaiting(now time.Time) {
	if p.nextLate.IsZero() || !now.After(p.nextLate) {
		return
	}
	p.nextLate = time.Time{}
	for _, c := range p.waiting {
		if c.late = now.After(c.lateFrom); c.late {
			p.updateLateRetry(now, c)
		} else {
			p.nextLate = earlier(p.nextLate, c.lateFrom)
		}
	}
	slices.SortStableFunc(p.waiting, startOrder)
}

// earlier returns the earlier of two times. The zero time counts as none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// startOrder compares queued calls by the order in which dispatch starts them.
func startOrder(a, b *call) int {
	switch {
	case a.late != b.late:
		if b.late {
			return -1
		}
		return 1
	case a.ask.Priority != b.ask.Priority:
		return a.ask.Priority - b.ask.Priority
	case a.rank != b.rank:
		return cmp.Compare(a.rank, b.rank)
	}
	return a.ask.Objective.Compare(b.ask.Objective)
}
