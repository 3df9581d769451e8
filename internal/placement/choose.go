package placement

import (
	"math"
	"slices"
	"time"
)

// anyFor reports whether some upstream may run the call, now or later.
func (p *Pool) anyFor(c *call) bool {
	for _, u := range p.order {
		if !u.spec.Closed && u.reachable && p.move.allows(u.spec.Version) && !slices.Contains(c.ask.Exclude, u.spec.ID) {
			return true
		}
	}
	return false
}

func (p *Pool) serviceTime(c *call) time.Duration {
	if base := p.base[c.ask.Route]; base > 0 {
		return base
	}
	return max(time.Millisecond, c.ask.Objective.Sub(c.queuedAt)/4)
}

func (p *Pool) eligible(now time.Time, c *call, u *upstream) bool {
	if !u.usable(now, p.spec.AllowUnprobed) || !u.free(p.spec.MaxInFlight) || slices.Contains(c.ask.Exclude, u.spec.ID) {
		return false
	}
	if !p.move.admits(u.spec.Version) {
		return false
	}
	if u.cold(now) {
		u.refillCold(now, p.spec.coldRate())
		return u.coldTokens >= 1
	}
	return true
}

func (p *Pool) predict(now time.Time, c *call, u *upstream) time.Duration {
	return time.Duration(float64(p.serviceTime(c)) * u.slowdown(now, p.averagePace))
}

// choose returns the upstream that the call starts on now, or nil when it should wait.
func (p *Pool) choose(now time.Time, c *call) *upstream {
	if p.move.wantsSample() {
		// A version on trial gets its share also when it looks slow, because only its answers tell whether it is.
		if u := p.best(now, c, p.move.version); u != nil {
			return u
		}
	}
	u := p.best(now, c, "")
	if u == nil || !p.worthwhile(now, c, u) {
		return nil
	}
	return u
}

// maxCompared bounds the upstreams that are compared for one request. Among so many some are near and undisturbed, and the cost
// of a request doesn't grow with the number of upstreams.
const maxCompared = 128

// best returns the upstream with the earliest predicted end, of one version unless that is empty.
func (p *Pool) best(now time.Time, c *call, version string) *upstream {
	var best *upstream
	least := time.Duration(math.MaxInt64)
	compared, from := 0, 0
	if len(p.order) > maxCompared {
		from = p.rng.IntN(len(p.order))
	}
	for i := range p.order {
		u := p.order[(from+i)%len(p.order)]
		if version != "" && u.spec.Version != version || !p.eligible(now, c, u) {
			continue
		}
		if compared++; compared > maxCompared {
			break
		}
		cost := avoidShedding(p.predict(now, c, u), u.shedding(now)) + time.Duration(p.rng.Int64N(int64(time.Millisecond)))
		if u.spec.DataCentre != c.ask.DataCentre {
			cost += p.distance(c)
		}
		// An upstream with room to spare slows down less when other senders add to it.
		cost += time.Duration(len(u.running)) * time.Millisecond
		if cost < least {
			best, least = u, cost
		}
	}
	return best
}

// distance is what a longer way costs the call.
func (p *Pool) distance(c *call) time.Duration {
	switch {
	case p.spec.AllowUnprobed:
		return nearBonusUnprobed
	case c.ask.Large:
		return nearBonusLarge
	}
	return nearBonus
}

// avoidShedding raises the cost of an upstream that refuses a share of its requests. A refusal costs the time of another
// attempt and one from the budget, hence the square.
func avoidShedding(cost time.Duration, share float64) time.Duration {
	taken := max(0.1, 1-share)
	return time.Duration(float64(cost) / (taken * taken))
}

// worthwhile reports whether the call should start on u now rather than wait for a faster upstream.
func (p *Pool) worthwhile(now time.Time, c *call, u *upstream) bool {
	predicted := p.predict(now, c, u)
	if !now.Add(predicted).After(c.ask.Objective) {
		return true
	}
	if p.onTimePossible(now, c) {
		return false
	}
	return p.countSlots(now).spare() && !now.Add(predicted).After(c.ask.Deadline)
}

// onTimePossible reports whether an upstream at its usual pace could still meet the objective.
func (p *Pool) onTimePossible(now time.Time, c *call) bool {
	work := c.work
	if work == 0 {
		work = p.serviceTime(c)
	}
	need := time.Duration(float64(work) * serviceMargin)
	return !now.Add(need).After(c.ask.Objective)
}
