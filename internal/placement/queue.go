package placement

import (
	"slices"
	"time"
)

const (
	// priorities is the number of ranks that the queue tells apart; lower ones share the last.
	priorities = 8
	// averageSlowdown is assumed of upstreams when the length of the queue is estimated.
	averageSlowdown = 1.5
	maxWaiting      = 2048
	// lateReserve is the part of the slots that is kept free for calls that can still meet their objective. A late call on an
	// upstream that is slow at present would hold its slot when it becomes fast again.
	lateReserve = 0.2
	// overloadTime is how long the reserve must have been in use before late calls are refused at once.
	overloadTime = 150 * time.Millisecond
	// lateBacklog bounds the work of calls that can't meet their objective any more. They get the capacity that the others
	// leave, and more of them than that would wait for nothing.
	lateBacklog = 120 * time.Millisecond
)

func rankOf(c *call) int { return min(max(0, c.ask.Priority), priorities-1) }

func (p *Pool) enqueue(c *call) {
	c.work = p.serviceTime(c)
	p.work[rankOf(c)] += c.work
	p.waiting = append(p.waiting, c)
}

// dequeue removes the calls for which drop is true, and returns their number.
func (p *Pool) dequeue(drop func(*call) bool) int {
	before := len(p.waiting)
	if before == 0 {
		return 0
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(c *call) bool {
		if !drop(c) {
			return false
		}
		p.work[rankOf(c)] -= c.work
		return true
	})
	return before - len(p.waiting)
}

// expectedWait is the time until the calls that go before c have left the queue.
func (p *Pool) expectedWait(now time.Time, c *call) time.Duration {
	var work time.Duration
	for rank := range rankOf(c) + 1 {
		work += p.work[rank]
	}
	return time.Duration(float64(work) * averageSlowdown / float64(p.capacity(now)))
}

// slotCount is a count of slots that is kept for a moment, because it takes a look at every upstream.
type slotCount struct {
	at       time.Time
	capacity int // slots of all open upstreams, without those above the knee
	usable   int // of them, the slots of upstreams that may get requests now
	free     int
}

// slotCountTime is the age up to which a count serves for estimates.
const slotCountTime = 5 * time.Millisecond

// countSlots returns a recent count.
func (p *Pool) countSlots(now time.Time) *slotCount {
	if age := now.Sub(p.slots.at); p.slots.at.IsZero() || age < 0 || age > slotCountTime {
		p.recountSlots(now)
	}
	return &p.slots
}

func (p *Pool) recountSlots(now time.Time) {
	count := slotCount{at: now}
	for _, u := range p.order {
		if u.spec.Closed || !u.reachable {
			continue
		}
		n := u.slots(p.spec.MaxInFlight)
		count.capacity += n
		if u.usable(now, p.spec.AllowUnprobed) && p.move.allows(u.spec.Version) {
			count.usable += n
			count.free += max(0, n-len(u.running)-u.external)
		}
	}
	p.slots = count
	if p.slots.spare() {
		p.spareAt = now
	}
}

// spare reports whether more slots are free than the reserve for calls that can meet their objective.
func (s *slotCount) spare() bool { return float64(s.free) > lateReserve*float64(s.usable) }

// capacity is the number of requests that the upstreams run at the same time without slowing down.
func (p *Pool) capacity(now time.Time) int { return max(1, p.countSlots(now).capacity) }

// admits reports whether the call may wait: it is expected to be answered before its deadline, and if it will be late, few
// others that are late wait already.
func (p *Pool) admits(now time.Time, c *call) bool {
	if len(p.waiting) >= maxWaiting {
		return false
	}
	end := now.Add(p.expectedWait(now, c) + p.serviceTime(c))
	if end.After(c.ask.Deadline) {
		return false
	}
	return !end.After(c.ask.Objective) || p.lateWork(now) < p.lateLimit(now)
}

func (p *Pool) lateLimit(now time.Time) time.Duration {
	if p.overloaded(now) {
		return 0
	}
	return time.Duration(p.capacity(now)) * lateBacklog
}

// overloaded reports whether there was no spare slot for some time.
func (p *Pool) overloaded(now time.Time) bool {
	return !p.countSlots(now).spare() && now.Sub(p.spareAt) > overloadTime
}

func (p *Pool) lateWork(now time.Time) time.Duration {
	var work time.Duration
	for _, c := range p.waiting {
		if !p.onTimePossible(now, c) {
			work += c.work
		}
	}
	return work
}

// expire refuses waiting calls that can't be answered any more, and late ones beyond the capacity that is left for them.
func (p *Pool) expire(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	limit, late := p.lateLimit(now), time.Duration(0)
	none := p.countSlots(now).capacity == 0
	p.dequeue(func(c *call) bool {
		switch {
		case none, len(c.ask.Exclude) > 0 && !p.anyFor(c):
			p.refuse(now, c, ReasonNoUpstream)
			return true
		case now.Add(p.serviceTime(c)).After(c.ask.Deadline):
			p.refuse(now, c, ReasonDeadline)
			return true
		case p.onTimePossible(now, c):
			return false
		}
		if late += c.work; late > limit {
			p.refuse(now, c, ReasonOverload)
			return true
		}
		return false
	})
}

// maxSearches bounds the waiting calls for which an upstream is searched in vain at one event.
const maxSearches = 4

// dispatch places waiting calls while an upstream is free: those that can still meet their objective first, by priority and
// then by objective; the others after them, while slots are free beyond the reserve.
//
// changed is the upstream whose slots or pace have changed; nil means that any may have. With one, the other upstreams are
// looked at only when a call can start.
func (p *Pool) dispatch(now time.Time, changed *upstream) {
	if len(p.waiting) == 0 {
		return
	}
	room := p.room(now, changed)
	if !room.free || !slices.ContainsFunc(p.waiting, func(c *call) bool { return p.startable(now, c, room) }) {
		return
	}
	p.sortWaiting(now)
	vain := 0
	p.dequeue(func(c *call) bool {
		if !room.free || vain >= maxSearches || !p.startable(now, c, room) {
			return false
		}
		u := p.choose(now, c)
		if u == nil {
			vain++
			return false
		}
		p.grant(now, c, u)
		room = p.room(now, changed)
		return true
	})
}

// room is what waiting calls may use now.
type room struct {
	free     bool
	slowdown float64 // the least of the upstreams that may get a request
	spare    bool    // more slots are free than the reserve
}

func (p *Pool) room(now time.Time, changed *upstream) room {
	r := room{spare: p.countSlots(now).spare()}
	if changed != nil {
		r.add(now, p, changed)
		return r
	}
	for _, u := range p.order {
		r.add(now, p, u)
	}
	return r
}

func (r *room) add(now time.Time, p *Pool, u *upstream) {
	if !u.free(p.spec.MaxInFlight) || !u.usable(now, p.spec.AllowUnprobed) || !p.move.admits(u.spec.Version) {
		return
	}
	if s := u.slowdown(now, p.averagePace); !r.free || s < r.slowdown {
		r.slowdown, r.free = s, true
	}
}

// startable reports whether the call could start in the room that there is, or must wait for more. It keeps the search among
// the upstreams to the calls for which it can succeed.
func (p *Pool) startable(now time.Time, c *call, r room) bool {
	if p.move.wantsSample() {
		return true
	}
	if !p.onTimePossible(now, c) {
		return r.spare
	}
	return !now.Add(time.Duration(float64(c.work) * r.slowdown)).After(c.ask.Objective)
}

func (p *Pool) sortWaiting(now time.Time) {
	for _, c := range p.waiting {
		c.late = !p.onTimePossible(now, c)
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
