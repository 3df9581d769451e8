package dispatch

const (
	// pastGain weighs a new sample in an upstream's own past. It is far below sampleGain, so that the past stays while
	// the present changes.
	pastGain = 0.005
	// minPastSamples is the number of samples before an upstream is judged against its past latency.
	minPastSamples = 40
)

// past is the long-term mean of an upstream, which stands in for peers when its version has no other upstream. It
// survives ejections.
type past struct {
	mean float64
	n    int
}

func (s *past) add(sample float64) {
	s.n++
	s.mean += max(pastGain, 1/float64(s.n)) * (sample - s.mean)
}

// alone reports whether the upstream has no peers.
func (u *upstream) alone() bool { return len(u.group.members) == 1 }

// replaceable reports whether the calls of an upstream without peers can go to another version of the pool. Calls whose
// version was chosen already cannot; their upstream is kept, and the move of versions judges it.
func (p *Pool) replaceable(u *upstream) bool {
	if u.bound {
		return false
	}
	for _, g := range p.groups {
		if g != u.group && g.slots[kindWarm] > 0 {
			return true
		}
	}
	return false
}

// pastMedian is the value of the peers' median for an upstream without peers, or 0 while its past is short.
func (u *upstream) pastMedian(route int) float64 {
	if s := &u.routes[route].past; s.n >= minPastSamples {
		return s.mean
	}
	return 0
}

// normalElsewhereInPool reports whether an upstream of another version runs the route as fast as in its own past. If
// none does, the cause of slowness is shared.
func (p *Pool) normalElsewhereInPool(u *upstream, route int) bool {
	for _, g := range p.groups {
		if g == u.group {
			continue
		}
		for _, m := range g.members {
			s := &m.routes[route]
			if s.n >= minSamples && s.past.n >= minPastSamples && s.mean < avoidRatio*s.past.mean {
				return true
			}
		}
	}
	return false
}

// expectedFailures is the failure rate that an upstream is compared with: that of its peers, or else the larger one of
// its own past and the other versions' mean.
func (p *Pool) expectedFailures(u *upstream) float64 {
	if peers := len(u.group.members) - 1; peers > 0 {
		return (u.group.failSum - u.failRate) / float64(peers)
	}
	sum, n := 0.0, 0
	for _, g := range p.groups {
		if g != u.group {
			sum += g.failSum
			n += len(g.members)
		}
	}
	return max(u.pastFailures.mean, sum/float64(max(n, 1)))
}
