package placement

import "time"

const (
	// lateReserve is the fraction of the slots that is reserved for calls that can still meet their objective. A late call on
	// a currently slow upstream would still occupy its slot once the upstream is fast again.
	lateReserve = 0.2
	// overloadDelay is how long there must have been no slot free beyond the reserve before the pool counts as overloaded.
	overloadDelay = 150 * time.Millisecond
	// maxLateWorkPerSlot limits the total service time of queued calls that can no longer meet their objective, per slot. They
	// only get capacity that other calls leave unused, so more of them would wait in vain.
	maxLateWorkPerSlot = 120 * time.Millisecond
	// overloadQueueShare is the fraction of the slack of a call that it may be expected to wait under overload. A longer queue adds
	// no throughput then, but all calls in it would start so late that ordinary variation of their service times makes them miss
	// the objective.
	overloadQueueShare = 0.7
	// slowPaceRatio is the ratio of the pace of an upstream to the usual pace above which the upstream counts as slow.
	slowPaceRatio = 1.5
	// slotCountMaxAge is the age at which a cached slotCount expires.
	slotCountMaxAge = 5 * time.Millisecond
)

// slotCount is a cached count of slots. It is cached because counting visits every upstream.
type slotCount struct {
	at       time.Time
	capacity float64 // throughput of all reachable upstreams that aren't closed, in concurrent requests
	slowdown float64 // of requests while all slots are occupied
	usable   slotUse // slots of those upstreams that may get requests now
	fast     slotUse // those among them whose upstreams aren't slower than usual
}

// slotUse counts the slots of some upstreams.
type slotUse struct{ total, free int }

func (s *slotUse) add(total, occupied int) {
	s.total += total
	s.free += max(0, total-occupied)
}

// spare reports whether slots are free beyond the reserve for calls that can meet their objective.
func (s *slotUse) spare() bool { return float64(s.free) > lateReserve*float64(s.total) }

// countSlots returns the cached count, or a new one if the cache has expired.
func (p *Pool) countSlots(now time.Time) *slotCount {
	if age := now.Sub(p.slots.at); p.slots.at.IsZero() || age < 0 || age > slotCountMaxAge {
		p.recountSlots(now)
	}
	return &p.slots
}

func (p *Pool) recountSlots(now time.Time) {
	count := slotCount{at: now, slowdown: 1}
	slowPace := slowPaceRatio * p.usualPace(now)
	slots := 0
	for _, u := range p.sortedUpstreams {
		if u.spec.Closed || !u.reachable {
			continue
		}
		n := p.occupancy.limit(u.spec.Slots)
		slots += n
		count.capacity += p.occupancy.throughput(u.spec.Slots)
		if !p.acceptsRequests(now, u) {
			continue
		}
		count.usable.add(n, u.occupied())
		if u.currentPace(now, p.averagePace) <= slowPace {
			count.fast.add(n, u.occupied())
		}
	}
	if count.capacity > 0 {
		count.slowdown = float64(slots) / count.capacity
	}
	p.slots = count
	if count.fast.spare() {
		p.lastSpareAt = now
	}
}

func (p *Pool) acceptsRequests(now time.Time, u *upstream) bool {
	return u.usable(now, p.spec.AllowUnprobed) && p.move.allows(u.spec.Version)
}

// usualPace is the harmonic mean of the paces of the upstreams that may get requests, which is the pace of their throughput.
func (p *Pool) usualPace(now time.Time) float64 {
	n, speed := 0, 0.0
	for _, u := range p.sortedUpstreams {
		if p.acceptsRequests(now, u) {
			n++
			speed += 1 / u.currentPace(now, p.averagePace)
		}
	}
	if n == 0 {
		return 1
	}
	return float64(n) / speed
}

// capacity is the throughput of the upstreams, as the number of requests that run concurrently without slowing down.
func (p *Pool) capacity(now time.Time) float64 { return max(1, p.countSlots(now).capacity) }

// overloaded reports whether there has been no spare slot for overloadDelay. Free slots of slow upstreams don't count: requests
// that can meet their objective are not sent there, so such slots are free under any load.
func (p *Pool) overloaded(now time.Time) bool {
	return !p.countSlots(now).fast.spare() && now.Sub(p.lastSpareAt) > overloadDelay
}

// spareForLateCalls reports whether calls that can't meet their objective may start. Under overload they don't start on slow
// upstreams, where they would occupy slots that soon are fast again.
func (p *Pool) spareForLateCalls(now time.Time) bool {
	count := p.countSlots(now)
	return count.fast.spare() || count.usable.spare() && !p.overloaded(now)
}

// slack is the time for which a call could wait after it was queued and still meet its objective on a busy upstream.
func (p *Pool) slack(now time.Time, c *call) time.Duration {
	service := time.Duration(serviceTimeMargin * p.countSlots(now).slowdown * float64(p.serviceTime(c)))
	return c.ask.Objective.Sub(c.queuedAt) - service
}

// queueTooLong reports whether a call should be refused under overload rather than queued.
func (p *Pool) queueTooLong(now time.Time, c *call) bool {
	return float64(p.expectedWait(now, c)) > overloadQueueShare*float64(p.slack(now, c))
}

// waitedTooLong reports whether a queued call should be refused under overload, because it would be late on a busy upstream.
func (p *Pool) waitedTooLong(now time.Time, c *call) bool {
	return now.Sub(c.queuedAt) > p.slack(now, c)
}

// maxLateWork limits the work of queued calls that can't meet their objective. Under overload it is 0.
func (p *Pool) maxLateWork(now time.Time) time.Duration {
	if p.overloaded(now) {
		return 0
	}
	return time.Duration(p.capacity(now) * float64(maxLateWorkPerSlot))
}
