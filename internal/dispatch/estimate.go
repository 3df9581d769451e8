package dispatch

import (
	"slices"
	"time"
)

// estimate is an exponential moving average with its mean deviation, in seconds.
type estimate struct {
	mean, deviation float64
	n               int // number of samples
}

// estimateGain is the weight of a new sample; about 40 samples make up most of the estimate.
const estimateGain = 0.05

func (e *estimate) add(seconds float64) {
	e.n++
	gain := max(estimateGain, 1/float64(e.n+1))
	diff := seconds - e.mean
	e.mean += gain * diff
	if diff < 0 {
		diff = -diff
	}
	e.deviation += gain * (diff - e.deviation)
}

// eventRate is a decaying average of events per second.
type eventRate struct {
	value float64
	last  time.Time
}

// rateWindowSeconds is the averaging window of an eventRate.
const rateWindowSeconds = 0.5

func (r *eventRate) decay(now time.Time) {
	dt := now.Sub(r.last).Seconds()
	if dt <= 0 {
		return
	}
	r.value *= max(0, 1-dt/rateWindowSeconds)
	r.last = now
}

func (r *eventRate) add(now time.Time) {
	r.decay(now)
	r.value += 1 / rateWindowSeconds
}

func (r *eventRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// serviceTime estimates how long a call of the class takes once granted, with a margin for its variation.
func (p *Pool) serviceTime(class int) time.Duration {
	e := &p.classes[class].serviceEstimate
	if e.n == 0 {
		e = &p.serviceEstimate
	}
	return time.Duration((e.mean + e.deviation) * float64(time.Second))
}

func (p *Pool) maxServiceTime() time.Duration {
	longest := time.Duration(0)
	for i := range p.classes {
		longest = max(longest, p.serviceTime(i))
	}
	return longest
}

// medianMembers are the choices of the members for a median, in the order in which they are tried.
var medianMembers = [...]func(*upstream) bool{
	func(u *upstream) bool { return !u.cold },
	func(u *upstream) bool { return u.cold },
	func(*upstream) bool { return true },
}

// updateMedians recomputes each version's median latency per route.
func (p *Pool) updateMedians() {
	for _, g := range p.groups {
		for route := range min(len(p.routes)+1, maxRoutes) {
			p.updateMedian(g, route)
		}
	}
}

// updateMedian recomputes the median over the warm upstreams if there are enough of them, else over the cold ones, else over all.
func (p *Pool) updateMedian(g *versionGroup, route int) {
	for _, include := range medianMembers {
		if median := p.median(g, route, include); median > 0 {
			g.medianLatency[route] = median
			return
		}
	}
}

// median returns the lower median of the members' mean latencies on a route, so that of two members it is the faster
// one's. For a version with a single upstream it is that upstream's own baseline, if known.
func (p *Pool) median(g *versionGroup, route int, include func(*upstream) bool) float64 {
	if len(g.members) == 1 {
		if m := g.members[0].baselineMedian(route); m > 0 {
			return m
		}
	}
	p.medianScratch = p.medianScratch[:0]
	for _, u := range g.members {
		if s := &u.routeStats[route]; include(u) && s.n >= minSamples/2 {
			p.medianScratch = append(p.medianScratch, s.mean)
		}
	}
	if len(p.medianScratch) < min(2, len(g.members)) {
		return 0
	}
	slices.Sort(p.medianScratch)
	return p.medianScratch[(len(p.medianScratch)-1)/2]
}
