package dispatch

import (
	"slices"
	"time"
)

// estimate is a moving mean and mean deviation in seconds.
type estimate struct {
	mean, dev float64
	n         int
}

// estimateGain weighs a new sample; about 40 samples make up most of the estimate.
const estimateGain = 0.05

func (e *estimate) add(seconds float64) {
	e.n++
	gain := max(estimateGain, 1/float64(e.n+1))
	diff := seconds - e.mean
	e.mean += gain * diff
	if diff < 0 {
		diff = -diff
	}
	e.dev += gain * (diff - e.dev)
}

// rate is a decaying count of events per second.
type rate struct {
	value float64
	last  time.Time
}

// rateWindowSeconds is the time over which a rate is averaged.
const rateWindowSeconds = 0.5

func (r *rate) decay(now time.Time) {
	dt := now.Sub(r.last).Seconds()
	if dt <= 0 {
		return
	}
	r.value *= max(0, 1-dt/rateWindowSeconds)
	r.last = now
}

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.value += 1 / rateWindowSeconds
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.value
}

// serviceTime is the time that a call of the class takes once granted, with a margin for its variation.
func (p *Pool) serviceTime(class int) time.Duration {
	e := &p.classes[class].service
	if e.n == 0 {
		e = &p.service
	}
	return time.Duration((e.mean + e.dev) * float64(time.Second))
}

func (p *Pool) maxServiceTime() time.Duration {
	longest := time.Duration(0)
	for i := range p.classes {
		longest = max(longest, p.serviceTime(i))
	}
	return longest
}

// updateMedians recomputes the peers' median latency per route, over warm upstreams if there are any.
func (p *Pool) updateMedians() {
	for _, g := range p.groups {
		for route := range min(len(p.routes)+1, maxRoutes) {
			median := p.median(g, route, false)
			if median == 0 {
				median = p.median(g, route, true)
			}
			if median > 0 {
				g.medians[route] = median
			}
		}
	}
}

// median returns the lower median of the members' mean latency on a route; with two members that is the faster one,
// and with a single one its own past.
func (p *Pool) median(g *group, route int, cold bool) float64 {
	if len(g.members) == 1 {
		if m := g.members[0].pastMedian(route); m > 0 {
			return m
		}
	}
	p.scratch = p.scratch[:0]
	for _, u := range g.members {
		if s := &u.routes[route]; u.cold == cold && s.n >= minSamples/2 {
			p.scratch = append(p.scratch, s.mean)
		}
	}
	if len(p.scratch) < min(2, len(g.members)) {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2]
}
