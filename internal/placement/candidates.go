package placement

import "time"

// candidatesMaxAge is the age from which all candidates are computed again, because they also change as time passes.
const candidatesMaxAge = 10 * time.Millisecond

// candidate is what a search needs to know of an upstream. It is kept because computing it takes longer than comparing it: under
// load, a search looks at all upstreams of a large service. It is updated with each event of its upstream, so it is at most
// candidatesMaxAge old.
type candidate struct {
	upstream            *upstream
	dataCentre, version string
	inService           bool // reachable and not closed
	usable              bool
	slots, free         int     // used slots as occupancy decides, and those of them that may get a request now
	pace                float64 // see upstream.currentPace
	slowdown            float64 // see Pool.startSlowdown
	accepted            float64 // see acceptedShare
	results             recentResults
	jitter              time.Duration
	requestBytes        int64 // see Pool.freeRequestBytes
}

// open reports whether the upstream may get another request.
func (k *candidate) open() bool { return k.usable && k.free > 0 }

// currentCandidates returns the candidates, in the order of sortedUpstreams.
func (p *Pool) currentCandidates(now time.Time) []candidate {
	age := now.Sub(p.candidatesAt)
	if len(p.candidates) == len(p.sortedUpstreams) && age >= 0 && age <= candidatesMaxAge {
		return p.candidates
	}
	p.candidatesAt = now
	p.candidates = p.candidates[:0]
	accepted, usable := 0.0, 0
	var results recentResults
	for i, u := range p.sortedUpstreams {
		u.index = i
		k := p.newCandidate(now, u)
		p.candidates = append(p.candidates, k)
		if k.usable {
			accepted += k.accepted
			results.failed += k.results.failed
			results.total += k.results.total
			usable++
		}
	}
	p.meanAccepted = accepted / float64(max(1, usable))
	p.failures = results.rate()
	return p.candidates
}

// updateCandidate computes the candidate of an upstream again after an event.
func (p *Pool) updateCandidate(now time.Time, u *upstream) {
	if u.index < len(p.candidates) && p.candidates[u.index].upstream == u {
		p.candidates[u.index] = p.newCandidate(now, u)
	}
}

// expireCandidates makes the next search compute all candidates again.
func (p *Pool) expireCandidates() { p.candidates = p.candidates[:0] }

func (p *Pool) newCandidate(now time.Time, u *upstream) candidate {
	return candidate{
		upstream: u, dataCentre: u.spec.DataCentre, version: u.spec.Version,
		inService: !u.spec.Closed && u.reachable, usable: u.usable(now, p.spec.AllowUnprobed),
		slots: p.occupancy.limit(u.spec.Slots), free: p.freeSlots(now, u),
		pace: u.currentPace(now, p.averagePace), slowdown: p.startSlowdown(now, u),
		accepted: acceptedShare(u.currentShedRate(now)), results: u.results.decayed(now),
		jitter: time.Duration(p.rng.Int64N(int64(maxJitter))), requestBytes: p.freeRequestBytes(u),
	}
}
