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
func (p *Pool) expectedWait(c *call) time.Duration {
	var work time.Duration
	for rank := range rankOf(c) + 1 {
		work += p.work[rank]
	}
	return time.Duration(float64(work) * averageSlowdown / float64(p.capacity()))
}

// capacity is the number of requests that the upstreams run at the same time without slowing down.
func (p *Pool) capacity() int {
	slots := 0
	for _, u := range p.order {
		if !u.spec.Closed && u.reachable {
			slots += u.slots(p.spec.MaxInFlight)
		}
	}
	return max(1, slots)
}

// admits reports whether the call may wait: it is expected to be answered before its deadline, and if it will be late, few
// others that are late wait already.
func (p *Pool) admits(now time.Time, c *call) bool {
	if len(p.waiting) >= maxWaiting {
		return false
	}
	end := now.Add(p.expectedWait(c) + p.serviceTime(c))
	if end.After(c.ask.Deadline) {
		return false
	}
	return !end.After(c.ask.Objective) || p.lateWork(now) < p.lateLimit()
}

func (p *Pool) lateLimit() time.Duration {
	return time.Duration(p.capacity()) * lateBacklog
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
	limit, late := p.lateLimit(), time.Duration(0)
	p.dequeue(func(c *call) bool {
		switch {
		case !p.anyFor(c):
			p.refuse(c, ReasonNoUpstream)
			return true
		case now.Add(p.serviceTime(c)).After(c.ask.Deadline):
			p.refuse(c, ReasonDeadline)
			return true
		case p.onTimePossible(now, c):
			return false
		}
		if late += c.work; late > limit {
			p.refuse(c, ReasonOverload)
			return true
		}
		return false
	})
}

// dispatch places waiting calls while an upstream is free: those that can still meet their objective first, by priority and
// then by objective; the others after them.
func (p *Pool) dispatch(now time.Time) {
	fastest, free := p.fastestFree(now)
	if !free || !slices.ContainsFunc(p.waiting, func(c *call) bool { return p.startable(now, c, fastest) }) {
		return
	}
	p.sortWaiting(now)
	p.dequeue(func(c *call) bool {
		if !free || !p.startable(now, c, fastest) {
			return false
		}
		u := p.choose(now, c)
		if u == nil {
			return false
		}
		p.grant(now, c, u)
		fastest, free = p.fastestFree(now)
		return true
	})
}

// fastestFree returns the least slowdown of the upstreams that may get a request now.
func (p *Pool) fastestFree(now time.Time) (slowdown float64, free bool) {
	for _, u := range p.order {
		if !u.free(p.spec.MaxInFlight) || !u.usable(now, p.spec.Unprobed) || !p.move.admits(u.spec.Version) {
			continue
		}
		if s := u.slowdown(now, p.averagePace); !free || s < slowdown {
			slowdown, free = s, true
		}
	}
	return slowdown, free
}

// startable reports whether the call could start on an upstream with the given slowdown, or must wait for a faster one. It
// keeps the search among the upstreams to the calls for which it can succeed.
func (p *Pool) startable(now time.Time, c *call, slowdown float64) bool {
	end := now.Add(time.Duration(float64(p.serviceTime(c)) * slowdown))
	return !end.After(c.ask.Objective) || !p.onTimePossible(now, c) || p.move.wantsSample()
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
