package placement

import (
	"math"
	"slices"
	"time"
)

// hasCandidate reports whether any upstream can run the call, now or later.
func (p *Pool) hasCandidate(c *call) bool {
	for _, u := range p.sortedUpstreams {
		if !u.spec.Closed && u.reachable && p.move.allows(u.spec.Version) && !slices.Contains(c.ask.Exclude, u.spec.ID) {
			return true
		}
	}
	return false
}

// serviceTime returns the usual service time of the call's route. While none is known, it assumes a quarter of the time to the
// objective.
func (p *Pool) serviceTime(c *call) time.Duration {
	if base := p.base[c.ask.Route]; base > 0 {
		return base
	}
	return max(time.Millisecond, c.ask.Objective.Sub(c.queuedAt)/4)
}

func (p *Pool) eligible(now time.Time, c *call, u *upstream) bool {
	if !u.usable(now, p.spec.AllowUnprobed) || !u.free(&p.occupancy) || slices.Contains(c.ask.Exclude, u.spec.ID) {
		return false
	}
	if !p.move.admits(u.spec.Version) {
		return false
	}
	if u.cold(now) {
		u.refillColdTokens(now, p.spec.coldRate())
		return u.coldTokens >= 1
	}
	return true
}

func (p *Pool) predict(now time.Time, c *call, u *upstream) time.Duration {
	return time.Duration(float64(p.serviceTime(c)) * p.startSlowdown(now, u))
}

// startSlowdown is the factor by which a request that starts on u now is expected to take longer than usual.
func (p *Pool) startSlowdown(now time.Time, u *upstream) float64 {
	return u.slowdown(now, p.averagePace) * p.occupancy.slowdown(u.spec.Slots, u.occupied())
}

// choose returns the upstream on which to start the call now, or nil if the call should wait.
func (p *Pool) choose(now time.Time, c *call) *upstream {
	if p.move.wantsSample() {
		// A version on trial gets its share even if it is predicted to be slow, because only its responses show whether it is.
		if u := p.best(now, c, p.move.version); u != nil {
			return u
		}
	}
	u := p.best(now, c, "")
	if u == nil || !p.shouldStartNow(now, c, u) {
		return nil
	}
	return u
}

// maxCompared limits the eligible upstreams that are compared for one request, so that the cost of a request doesn't grow with
// the number of upstreams. A sample of this size contains some upstreams that are near and not slowed down.
const maxCompared = 128

// best returns the eligible upstream with the lowest cost, which is the predicted latency plus penalties. A non-empty version
// limits the choice to upstreams of that version. If there are many upstreams, the comparison starts at a random one.
func (p *Pool) best(now time.Time, c *call, version string) *upstream {
	var best *upstream
	lowestCost := time.Duration(math.MaxInt64)
	compared, offset := 0, 0
	if len(p.sortedUpstreams) > maxCompared {
		offset = p.rng.IntN(len(p.sortedUpstreams))
	}
	for i := range p.sortedUpstreams {
		u := p.sortedUpstreams[(offset+i)%len(p.sortedUpstreams)]
		if version != "" && u.spec.Version != version || !p.eligible(now, c, u) {
			continue
		}
		if compared++; compared > maxCompared {
			break
		}
		cost := shedPenalty(p.predict(now, c, u), u.currentShedRate(now)) + time.Duration(p.rng.Int64N(int64(time.Millisecond)))
		if u.spec.DataCentre != c.ask.DataCentre {
			cost += p.remotePenalty(c)
		}
		// Prefers less occupied upstreams, which slow down less if other senders add load.
		cost += time.Duration(len(u.running)) * time.Millisecond
		if cost < lowestCost {
			best, lowestCost = u, cost
		}
	}
	return best
}

// remotePenalty is the cost added for an upstream in another data centre.
func (p *Pool) remotePenalty(c *call) time.Duration {
	switch {
	case p.spec.AllowUnprobed:
		return unprobedRemotePenalty
	case c.ask.Large:
		return largeRemotePenalty
	}
	return defaultRemotePenalty
}

// shedPenalty raises the cost of an upstream that refuses a share of its requests. The penalty is quadratic because a refusal
// costs both the time of another attempt and one attempt from the budget.
func shedPenalty(cost time.Duration, refusedShare float64) time.Duration {
	acceptedShare := max(0.1, 1-refusedShare)
	return time.Duration(float64(cost) / (acceptedShare * acceptedShare))
}

// shouldStartNow reports whether the call should start on u now rather than wait for a faster upstream.
func (p *Pool) shouldStartNow(now time.Time, c *call, u *upstream) bool {
	predicted := p.predict(now, c, u)
	if !now.Add(predicted).After(c.ask.Objective) {
		return true
	}
	if p.canMeetObjective(now, c) {
		return false
	}
	return p.spareForLateCalls(now) && !now.Add(predicted).After(c.ask.Deadline)
}

// canMeetObjective reports whether an upstream that isn't slowed down could still meet the objective of the call.
func (p *Pool) canMeetObjective(now time.Time, c *call) bool {
	work := c.work
	if work == 0 {
		work = p.serviceTime(c)
	}
	return !now.After(c.lateAt(work))
}

// lateAt is the time after which a call with the given service time can't meet its objective on any upstream.
func (c *call) lateAt(work time.Duration) time.Time {
	return c.ask.Objective.Add(-time.Duration(float64(work) * serviceTimeMargin))
}
