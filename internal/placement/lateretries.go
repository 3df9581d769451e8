package placement

import (
	"math"
	"time"
)

const (
	// maxQueuedLateRetries limits the queued late retries, so that the queue has room for calls in time.
	maxQueuedLateRetries = maxWaiting / 2
	lateRetryLevel       = priorityLevels // of late retries in Pool.work
	// lateRetryReserve is the fraction of the slots that is reserved for calls in time while late retries wait. It is larger than
	// lateReserve, so that calls in time find fast upstreams and room for hedges.
	lateRetryReserve = 0.35
	// nearDeadlineReserve replaces lateRetryReserve for a call whose deadline is less than nearDeadline away, since it isn't answered at all if
	// it doesn't start.
	nearDeadlineReserve = 0.05
	nearDeadline        = 1500 * time.Millisecond
	// lateRetryRateMemory is the time constant of lateRetries.rate.
	lateRetryRateMemory = 500 * time.Millisecond
	// lateRetryMargin is the ratio of the expected wait of a queued late retry to the time until its deadline above which it is refused. The
	// expectation varies with the load, and the caller doesn't come back.
	lateRetryMargin = 2
)

// lateRetries are the queued calls that their callers have repeated and that can't meet their objective any more. After an outage of
// some seconds all callers repeat at once. The objective of most of these calls has passed before they arrive, so they only need to be
// answered before their deadline: they start after the calls that can be in time, while slots are to spare. They are not
// refused for overload, because their callers would not come back.
type lateRetries struct {
	calls    int
	rate     float64 // moving average of lateRetryWorkRate while there are any
	rateAt   time.Time
	deadline time.Time // none of them has an earlier one
}

// lateRetryHeadroom says which of the late retries may start.
type lateRetryHeadroom struct{ all, nearDeadline bool }

func (p *Pool) lateRetryHeadroom(now time.Time) lateRetryHeadroom {
	count := p.countSlots(now)
	return lateRetryHeadroom{
		all:          count.fast.spareBeyond(lateRetryReserve) && count.usable.spareBeyond(lateRetryReserve),
		nearDeadline: count.fast.spareBeyond(nearDeadlineReserve),
	}
}

// allows reports whether a late retry with the given deadline may start.
func (s lateRetryHeadroom) allows(now, deadline time.Time) bool {
	return s.all || s.nearDeadline && deadline.Sub(now) < nearDeadline
}

// isLateRetry reports whether a call that arrives is late and repeated.
func (p *Pool) isLateRetry(now time.Time, c *call) bool {
	return c.ask.Repeated && now.After(c.lateAt(p.serviceTime(c)))
}

// canQueueLateRetry reports whether a late retry is expected to meet its deadline if it starts after all queued calls, and those in time
// that arrive meanwhile.
func (p *Pool) canQueueLateRetry(now time.Time, c *call) bool {
	if p.lateRetries.calls >= maxQueuedLateRetries {
		return false
	}
	var work time.Duration
	for _, w := range p.work {
		work += w
	}
	wait := min(float64(maxWait), float64(work)/max(p.lateRetryWorkRate(now), minWorkRate))
	return !now.Add(time.Duration(wait) + p.serviceTime(c)).After(c.ask.Deadline)
}

// lateRetryWorkRate is the service time per unit of time that the upstreams complete beside the calls in time. It isn't positive if these
// need all upstreams.
func (p *Pool) lateRetryWorkRate(now time.Time) float64 {
	return (1-nearDeadlineReserve)*p.capacity(now)/p.countSlots(now).pace - p.arrivals.above(now, priorityLevels)
}

// updateLateRetryRate updates lateRetries.rate.
func (p *Pool) updateLateRetryRate(now time.Time) {
	r := &p.lateRetries
	weight := 1 - math.Exp(-float64(now.Sub(r.rateAt))/float64(lateRetryRateMemory))
	r.rate += weight * (p.lateRetryWorkRate(now) - r.rate)
	r.rateAt = now
}

// missesDeadline reports whether the expected wait of a late retry, if the given work starts before it, exceeds the time until its
// deadline by lateRetryMargin.
func (r *lateRetries) missesDeadline(now time.Time, c *call, before time.Duration) bool {
	wait := float64(before) / max(r.rate, minWorkRate)
	return wait > lateRetryMargin*float64(c.ask.Deadline.Sub(now))
}

// updateLateRetry makes a queued call that has become late a late retry if its caller has repeated it.
func (p *Pool) updateLateRetry(now time.Time, c *call) {
	if c.level == lateRetryLevel || !c.ask.Repeated {
		return
	}
	p.removeWork(c)
	p.addWork(now, c)
}

// addWork accounts for a call that is queued.
func (p *Pool) addWork(now time.Time, c *call) {
	c.level = priorityLevel(c)
	if c.late && c.ask.Repeated {
		c.level = lateRetryLevel
		if p.lateRetries.calls == 0 {
			p.lateRetries.rate, p.lateRetries.rateAt = p.lateRetryWorkRate(now), now
		}
		p.lateRetries.calls++
		p.lateRetries.deadline = earlier(p.lateRetries.deadline, c.ask.Deadline)
	}
	p.work[c.level] += c.work
}

// removeWork undoes addWork for a call that leaves the queue.
func (p *Pool) removeWork(c *call) {
	if c.level == lateRetryLevel {
		p.lateRetries.calls--
	}
	p.work[c.level] -= c.work
}

// LateRetries returns the number of queued late retries.
func (p *Pool) LateRetries() int { return p.lateRetries.calls }
