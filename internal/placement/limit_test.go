package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// limitWindow and limitAllowed are the bound on the requests to an upstream that names a limit.
const limitWindow = 4 * time.Second

func limitAllowed(perSecond float64) int { return int(1.5*limitWindow.Seconds()*perSecond + 5) }

func mostInLimitWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func between(times []time.Time, from, to time.Duration) []time.Time {
	var out []time.Time
	for _, at := range times {
		if !at.Before(epoch.Add(from)) && at.Before(epoch.Add(to)) {
			out = append(out, at)
		}
	}
	return out
}

// Guards against more requests to an upstream than the limit that its responses name, and against limits that stay after the upstream
// no longer names them.
func TestNamedLimitsAreKept(t *testing.T) {
	for _, limit := range []float64{0, 0.4, 2.4, 4.9, 40} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			s := newSimulation(27, 6)
			s.hedging, s.returning = true, true
			s.scheduleLoad(0, 30*time.Second, 700)
			s.at(5*time.Second, func() { s.limits["u03"] = limit })
			s.at(20*time.Second, func() { delete(s.limits, "u03") })
			s.simulate(31 * time.Second)
			limited := between(s.arrivals["u03"], 8*time.Second, 20*time.Second)
			assert.LessOrEqual(t, mostInLimitWindow(limited), limitAllowed(limit))
			assert.GreaterOrEqual(t, float64(len(limited)), min(0.6*limit, 12)*12-2, "the limit is used; a third of the time the upstream is slow")
			lift := time.Duration(float64(time.Second) / max(limit, minLimit)) // the next response tells that there is no limit
			if lift < 5*time.Second {
				afterwards := between(s.arrivals["u03"], 21*time.Second+lift, 30*time.Second)
				assert.Greater(t, float64(len(afterwards))/(9-lift.Seconds()), 10.0, "requests per second without the limit")
			}
			assert.Greater(t, s.share(8*time.Second, 20*time.Second, onTime), 0.85, "the other upstreams carry the load")
		})
	}
}

// Guards against requests that wait for upstreams with free slots until their deadline, although the limits of all upstreams together
// are below the load: who can't be served is refused at once.
func TestRequestsBeyondAllLimitsAreRefusedEarly(t *testing.T) {
	const limit, load = 3, 280
	s := newSimulation(27, 6)
	s.hedging, s.returning = true, true
	s.scheduleLoad(0, 20*time.Second, load)
	s.at(4*time.Second, func() {
		for id := range s.pace {
			s.limits[id] = limit
		}
	})
	s.simulate(22 * time.Second)
	for id, arrivals := range s.arrivals {
		assert.LessOrEqual(t, mostInLimitWindow(between(arrivals, 7*time.Second, 20*time.Second)), limitAllowed(limit), id)
	}
	served := s.share(8*time.Second, 20*time.Second, func(r result) bool { return r.served })
	assert.Greater(t, served, 0.8*27*limit/load, "the limits are used")
	assert.Greater(t, s.share(8*time.Second, 20*time.Second, onTime), 0.9*served, "who is served is served in time")
	late := s.share(8*time.Second, 20*time.Second, func(r result) bool { return r.refused > s.objective })
	assert.Less(t, late, 0.05, "refused after the objective")
}

// Guards against a response that started before the limit was named and arrives after it: it doesn't lift the limit.
func TestAnEarlierResponseDoesNotLiftALimit(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	p.Configure(epoch, Spec{RetryWindow: time.Second, Upstreams: []UpstreamSpec{{ID: "u", Address: "u", DataCentre: "z", Slots: 6}}})
	p.Probe(epoch, Probe{Upstream: "u", Answered: true, Healthy: true, Load: &Load{Pace: 1}})
	submit := func(now time.Time, id uint64) int {
		return len(p.Submit(now, Ask{ID: id, Route: "r", DataCentre: "z", Objective: now.Add(time.Second), Deadline: now.Add(time.Minute)}).Grants)
	}
	require.Equal(t, 1, submit(epoch, 1))
	require.Equal(t, 1, submit(epoch, 2))
	limit := 0.5
	p.Finish(epoch.Add(10*time.Millisecond), End{Ask: 2, Outcome: Success, Latency: 10 * time.Millisecond, Limit: &limit})
	p.Finish(epoch.Add(20*time.Millisecond), End{Ask: 1, Outcome: Success, Latency: 20 * time.Millisecond})
	assert.Zero(t, submit(epoch.Add(30*time.Millisecond), 3))
}

// Guards against a burst of requests by the next leader, which knows the limits from its followers.
func TestANewPoolKeepsKnownLimits(t *testing.T) {
	p := New(rand.New(rand.NewPCG(1, 1)))
	limit := 2.0
	p.Configure(epoch, Spec{RetryWindow: time.Second, Upstreams: []UpstreamSpec{{ID: "u", Address: "u", DataCentre: "z", Slots: 6, Limit: &limit}}})
	p.Probe(epoch, Probe{Upstream: "u", Answered: true, Healthy: true, Load: &Load{Pace: 1}})
	granted := 0
	finish := func(now time.Time, d Decisions) {
		for _, g := range append([]Grant(nil), d.Grants...) {
			granted++
			p.Finish(now, End{Ask: g.Ask, Outcome: Success, Latency: 5 * time.Millisecond, Limit: &limit})
		}
	}
	for i := range 300 {
		now := epoch.Add(time.Duration(i) * 10 * time.Millisecond)
		ask := Ask{ID: uint64(i + 1), Route: "r", DataCentre: "z", Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
		finish(now, p.Submit(now, ask))
		finish(now.Add(5*time.Millisecond), p.Tick(now.Add(5*time.Millisecond)))
	}
	assert.InDelta(t, 3*limit, granted, 1)
}
