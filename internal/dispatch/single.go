package dispatch

const (
	// baselineGain is the weight of a new sample in an upstream's baseline. It is far below sampleGain, so that the
	// baseline hardly moves while current behaviour changes.
	baselineGain = 0.005
	// minBaselineSamples is the number of samples before an upstream is compared with its own baseline latency.
	minBaselineSamples = 40
)

// baseline is the long-term mean of an upstream's latency or failure rate. It replaces the comparison with peers when
// no other upstream has the same version. It is kept across ejections.
type baseline struct {
	mean float64
	n    int
}

func (s *baseline) add(sample float64) {
	s.n++
	s.mean += max(baselineGain, 1/float64(s.n)) * (sample - s.mean)
}

// withoutPeers reports whether no other upstream has the same version.
func (u *upstream) withoutPeers() bool { return len(u.versionGroup.members) == 1 }

// otherVersionAvailable reports whether another version of the pool can take the calls of an upstream without peers.
// Calls that are already assigned to a version cannot switch; their upstream is kept, and the rollout between versions
// evaluates it.
func (p *Pool) otherVersionAvailable(u *upstream) bool {
	if u.lastCallPinned {
		return false
	}
	for _, g := range p.groups {
		if g != u.versionGroup && g.slotsByTier[tierWarm] > 0 {
			return true
		}
	}
	return false
}

// baselineMedian returns the baseline that replaces the peers' median for an upstream without peers, or 0 while there
// are too few samples.
func (u *upstream) baselineMedian(route int) float64 {
	if s := &u.routeStats[route].baseline; s.n >= minBaselineSamples {
		return s.mean
	}
	return 0
}

// routeNormalInOtherVersions reports whether an upstream of another version serves the route about as fast as its own
// baseline. If none does, the slowness has a shared cause.
func (p *Pool) routeNormalInOtherVersions(u *upstream, route int) bool {
	for _, g := range p.groups {
		if g == u.versionGroup {
			continue
		}
		for _, m := range g.members {
			s := &m.routeStats[route]
			if s.n >= minSamples && s.baseline.n >= minBaselineSamples && s.mean < degradedRatio*s.baseline.mean {
				return true
			}
		}
	}
	return false
}

// expectedFailures returns the failure rate to compare an upstream with: the mean of its peers or, without peers, the
// larger of its own baseline and the mean of the other versions.
func (p *Pool) expectedFailures(u *upstream) float64 {
	if peers := len(u.versionGroup.members) - 1; peers > 0 {
		return (u.versionGroup.failureRateSum - u.failureRate) / float64(peers)
	}
	sum, n := 0.0, 0
	for _, g := range p.groups {
		if g != u.versionGroup {
			sum += g.failureRateSum
			n += len(g.members)
		}
	}
	return max(u.failureBaseline.mean, sum/float64(max(n, 1)))
}
