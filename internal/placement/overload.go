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
	// overloadQueueShare is the fraction of the time until a call is late that it may be expected to wait under overload. A longer queue adds
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
	pace     float64 // usual pace of the upstreams that may get requests now
	usable   slotUse // slots of those upstreams that may get requests now
	fast     slotUse // those among them whose upstreams aren't slower than usual
}

// slotUse counts the slots of some upstreams.
type slotUse struct{ total, free int }

func (s *slotUse) add(total, free int) {
	s.total += total
	s.free += free
}

// spare reports whether slots are free beyond the reserve for calls that can meet their objective.
func (s *slotUse) spare() bool { return s.spareBeyond(lateReserve) }

// spareBeyond reports whether more than the given fraction of the slots is free.
func (s *slotUse) spareBeyond(reserve float64) bool {
	return float64(s.free) > reserve*float64(s.total)
}

// countSlots returns the cached count, or a new one if the cache has expired.
func (p *Pool) countSlots(now time.Time) *slotCount {
	if age := now.Sub(p.slots.at); p.slots.at.IsZero() || age < 0 || age > slotCountMaxAge {
		p.recountSlots(now)
	}
	return &p.slots
}

func (p *Pool) recountSlots(now time.Time) {
	count := slotCount{at: now, slowdown: 1, pace: 1}
	slots, speed := 0.0, 0.0
	accepting := 0
	candidates := p.currentCandidates(now)
	for i := range candidates {
		k := &candidates[i]
		if !k.inService {
			continue
		}
		throughput := p.throughput(k.upstream)
		count.capacity += throughput
		if k.upstream.limit.named {
			slots += throughput // it has fewer requests than slots, so it isn't slowed down
		} else {
			slots += float64(k.slots)
		}
		if !p.accepts(k) {
			continue
		}
		count.usable.add(k.slots, k.free)
		accepting++
		speed += 1 / k.pace
	}
	// The harmonic mean is the pace of the throughput of all of them.
	usualPace := float64(accepting) / speed
	if accepting > 0 {
		count.pace = usualPace
	}
	for i := range candidates {
		if k := &candidates[i]; p.accepts(k) && k.pace <= slowPaceRatio*usualPace {
			count.fast.add(k.slots, k.free)
		}
	}
	if count.capacity > 0 {
		count.slowdown = slots / count.capacity
	}
	p.slots = count
	if count.fast.spare() {
		p.lastSpareAt = now
	}
}

// accepts reports whether the upstream may get requests, apart from its occupied slots.
func (p *Pool) accepts(k *candidate) bool { return k.usable && p.move.allows(k.version) }

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

// lateAtWhenBusy is the time after which a call can't meet its objective on a busy upstream.
func (p *Pool) lateAtWhenBusy(now time.Time, c *call) time.Time {
	return c.lateAt(time.Duration(p.countSlots(now).slowdown * float64(p.serviceTime(c))))
}

// queueTooLong reports whether a new call should be refused under overload rather than queued.
func (p *Pool) queueTooLong(now time.Time, c *call) bool {
	slack := p.lateAtWhenBusy(now, c).Sub(now)
	return float64(p.expectedWait(now, c)) > overloadQueueShare*float64(slack)
}

// maxLateWork limits the work of queued calls that can't meet their objective. Under overload it is 0.
func (p *Pool) maxLateWork(now time.Time) time.Duration {
	if p.overloaded(now) {
		return 0
	}
	return time.Duration(p.capacity(now) * float64(maxLateWorkPerSlot))
}
