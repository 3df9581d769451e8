package placement

import (
	"math"
	"slices"
	"time"
)

// hasCandidate reports whether any upstream can run the call, now or later, as far as is known.
func (p *Pool) hasCandidate(c *call) bool {
	if p.spec.UpstreamsUnknown {
		return true
	}
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
	if !u.usable(now, p.spec.AllowUnprobed) || p.freeSlots(now, u) < 1 || slices.Contains(c.ask.Exclude, u.spec.ID) {
		return false
	}
	if !p.move.admits(u.spec.Version) || !p.admitsBytes(c, u) {
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

const (
	// maxCompared limits the open upstreams that are compared for one request, so that the cost of a request doesn't grow with the
	// number of upstreams. A sample of this size contains some upstreams that are near and not slowed down.
	maxCompared = 128
	// lateCost ranks the upstreams on which a request will be late behind all others. Without it, an upstream that refuses no requests but
	// is slow could be the best one, on which the request isn't started while fast ones are free.
	lateCost = time.Minute
	// maxJitter spreads requests over upstreams that are equally fast.
	maxJitter = time.Millisecond
)

// best returns the eligible upstream with the lowest cost, which is the predicted latency plus penalties. A non-empty version
// limits the choice to upstreams of that version. If there are many upstreams, the comparison starts at a random one.
func (p *Pool) best(now time.Time, c *call, version string) *upstream {
	candidates := p.currentCandidates(now)
	offset := 0
	if len(candidates) > maxCompared {
		offset = p.rng.IntN(len(candidates))
	}
	s := p.newSearch(now, c, version)
	s.compare(candidates[offset:])
	s.compare(candidates[:offset])
	return s.best
}

// search is a search for the best upstream for a call.
type search struct {
	pool        *Pool
	now         time.Time
	call        *call
	version     string        // if not empty, only this version is searched
	serviceTime float64       // in nanoseconds
	transfer    time.Duration // cost of a transfer to another data centre; 0 if it isn't weighed
	left        time.Duration // until the objective
	allowed     time.Duration // from the arrival to the objective
	compared    int
	best        *upstream
	lowest      time.Duration // cost of best
}

// newSearch returns a search that has compared nothing yet. If version isn't empty, only that version is searched.
func (p *Pool) newSearch(now time.Time, c *call, version string) search {
	return search{
		pool: p, now: now, call: c, version: version, serviceTime: float64(p.serviceTime(c)), transfer: p.transferCost(c),
		left: c.ask.Objective.Sub(now), allowed: c.ask.Objective.Sub(c.queuedAt), lowest: math.MaxInt64,
	}
}

// compare continues the search with the given candidates until maxCompared were compared. Those found to be ineligible don't count.
func (s *search) compare(candidates []candidate) {
	for i := range candidates {
		k := &candidates[i]
		if !k.open() || s.version != "" && k.version != s.version || !s.pool.move.admits(k.version) {
			continue
		}
		if s.compared >= maxCompared {
			return
		}
		if cost := s.cost(k); cost < s.lowest {
			// The exact check comes last, because it takes longer.
			if !s.pool.eligible(s.now, s.call, k.upstream) {
				continue
			}
			s.best, s.lowest = k.upstream, cost
		}
		s.compared++
	}
}

func (s *search) cost(k *candidate) time.Duration {
	latency := time.Duration(s.serviceTime * k.slowdown)
	cost := time.Duration(float64(latency)*refusalPenalty(k.accepted)) + k.jitter
	if time.Duration(float64(latency)*s.pool.relativeRefusals(k)) > s.left {
		cost += lateCost
	}
	remote := k.dataCentre != s.call.ask.DataCentre
	if remote {
		cost += s.pool.remotePenalty(s.call)
	}
	cost = s.weighTransfer(cost, latency, remote) + s.failureCost(k)
	// Prefers less occupied upstreams, which slow down less if other senders add load.
	return cost + time.Duration(len(k.upstream.running))*time.Millisecond
}

// minAcceptedShare bounds refusalPenalty, to a factor of 100. An upstream that refuses all requests would have an infinite cost.
const minAcceptedShare = 0.1

// acceptedShare is the share of its requests that an upstream is assumed to accept.
func acceptedShare(refusedShare float64) float64 { return max(minAcceptedShare, 1-refusedShare) }

// refusalPenalty is the factor by which the cost of an upstream rises that accepts only a share of its requests. It is quadratic
// because a refusal costs both the time of another attempt and one attempt from the budget.
func refusalPenalty(accepted float64) float64 { return 1 / (accepted * accepted) }

// relativeRefusals is the factor by which a request needs more attempts on an upstream than on average. It is about 1 where all
// upstreams refuse alike.
func (p *Pool) relativeRefusals(k *candidate) float64 { return max(1, p.meanAccepted/k.accepted) }

// shouldStartNow reports whether the call should start on u now rather than wait for a faster upstream.
func (p *Pool) shouldStartNow(now time.Time, c *call, u *upstream) bool {
	predicted := p.predict(now, c, u)
	if !now.Add(predicted).After(c.ask.Objective) {
		return true
	}
	if p.canMeetObjective(now, c) {
		return false
	}
	var spare bool
	if c.ask.Repeated {
		spare = p.lateRetryHeadroom(now).allows(now, c.ask.Deadline)
	} else {
		spare = p.spareForLateCalls(now)
	}
	return spare && !now.Add(predicted).After(c.ask.Deadline)
}

// canMeetObjective reports whether an upstream that isn't slowed down could still meet the objective of the call.
func (p *Pool) canMeetObjective(now time.Time, c *call) bool {
	lateFrom := c.lateFrom
	if lateFrom.IsZero() { // it isn't queued
		lateFrom = c.lateAt(p.serviceTime(c))
	}
	return !now.After(lateFrom)
}

// lateAt is the time after which a call with the given service time can't meet its objective on any upstream.
func (c *call) lateAt(work time.Duration) time.Time {
	return c.ask.Objective.Add(-time.Duration(float64(work) * serviceTimeMargin))
}
