package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// moveRun is the result of a simulated move.
type moveRun struct {
	f        *fixture
	total    int
	onNew    int
	finished MovePhase
	at       time.Duration
}

// simulateMove serves 200 requests per second during a move of 12 s. outcome determines how requests on the new version end.
func simulateMove(outcome func(at time.Duration, route string, share float64) (Outcome, time.Duration)) moveRun {
	var ups []UpstreamSpec
	for i := range 6 {
		u := up(fmt.Sprint("old", i))
		n := up(fmt.Sprint("new", i))
		n.Version = "v2"
		ups = append(ups, u, n)
	}
	r := moveRun{f: newFixture(ups...)}
	f := r.f
	rng := rand.New(rand.NewPCG(5, 5))
	f.StartMove(f.now, "v2", 12*time.Second)
	type pending struct {
		at time.Time
		e  End
	}
	var running []pending
	for step := range 12 * 200 {
		f.now = epoch.Add(time.Duration(step) * 5 * time.Millisecond)
		for len(running) > 0 && !running[0].at.After(f.now) {
			f.Finish(f.now, running[0].e)
			running = running[1:]
		}
		if step%8 == 0 {
			for _, u := range ups {
				f.healthy(u.ID)
			}
		}
		route := []string{"r1", "r2"}[step%2]
		d, id := f.ask(func(a *Ask) { a.Route = route })
		r.total++
		for _, g := range d.Grants {
			o, latency := Success, time.Duration(50+rng.IntN(40))*time.Millisecond
			if g.Upstream[:3] == "new" {
				r.onNew++
				o, latency = outcome(f.now.Sub(epoch), route, float64(r.onNew)/float64(r.total))
			}
			running = append(running, pending{f.now.Add(latency), End{Ask: id, Outcome: o, Latency: latency, Load: &Load{Pace: 1}}})
		}
		if phase, _, changed := f.AdvanceMove(f.now, true); changed && (phase == Done || phase == RolledBack) {
			r.finished, r.at = phase, f.now.Sub(epoch)
			if phase == Done {
				break
			}
		}
	}
	return r
}

// Guards against a move to a good version that isn't complete at its deadline, and against a bad version that gets more than a
// tenth of the requests plus 50.
func TestMoves(t *testing.T) {
	good := func(time.Duration, string, float64) (Outcome, time.Duration) { return Success, 70 * time.Millisecond }
	bad := map[string]func(time.Duration, string, float64) (Outcome, time.Duration){
		"fails at once": func(time.Duration, string, float64) (Outcome, time.Duration) { return Failure, 60 * time.Millisecond },
		"slow at once":  func(time.Duration, string, float64) (Outcome, time.Duration) { return Success, 350 * time.Millisecond },
		"slow in part, beyond the deadline": func(at time.Duration, _ string, _ float64) (Outcome, time.Duration) {
			if at.Milliseconds()/5%3 == 0 {
				return TimedOut, 900 * time.Millisecond
			}
			return Success, 70 * time.Millisecond
		},
		"fails later": func(at time.Duration, _ string, _ float64) (Outcome, time.Duration) {
			if at > 5*time.Second {
				return Failure, 60 * time.Millisecond
			}
			return Success, 70 * time.Millisecond
		},
		"fails on one route": func(_ time.Duration, route string, _ float64) (Outcome, time.Duration) {
			if route == "r2" {
				return Failure, 60 * time.Millisecond
			}
			return Success, 70 * time.Millisecond
		},
		"fails under load": func(_ time.Duration, _ string, share float64) (Outcome, time.Duration) {
			if share > 0.04 {
				return Failure, 60 * time.Millisecond
			}
			return Success, 70 * time.Millisecond
		},
	}
	r := simulateMove(good)
	assert.Equal(t, Done, r.finished)
	// The completion must leave time for a second write to the store; it once came only 0.2 s before the deadline
	// (killed-after-acting on hokusei-gw-grown). A lost write takes 0.5 s, reading the log up to 0.5 s and the pause before the
	// second write 0.15 s.
	const secondWrite = 1150 * time.Millisecond
	assert.LessOrEqual(t, r.at, 12*time.Second-secondWrite)
	for name, outcome := range bad {
		t.Run(name, func(t *testing.T) {
			r := simulateMove(outcome)
			assert.Equal(t, RolledBack, r.finished)
			assert.LessOrEqual(t, float64(r.onNew), 0.1*float64(r.total)+50)
		})
	}
}

// Guards against rolling back a good version because a new leader underestimates the service time of a route: short calls end
// first, so the others look slow on both versions. It happened 1.1 s after a change of leader (killed-after-acting on
// hokusei-gw-grown). Guards as well against a slow version that is accepted for that reason.
func TestLowServiceTimeEstimateDoesNotRollBackAMove(t *testing.T) {
	const median = 100 * time.Millisecond
	phaseAfter := func(latencyOfNew time.Duration) MovePhase {
		m := moveState{version: "v2", phase: Trial, routes: map[string]*routeStats{}}
		for i := range 400 {
			end := func(version, route string, base, latency time.Duration) {
				c := &call{ask: Ask{Route: route}, target: &upstream{spec: UpstreamSpec{Version: version}}, pace: 1}
				m.recordEnd(c, End{Outcome: Success, Latency: latency, Load: &Load{Pace: 1}}, base)
			}
			for range 5 {
				end("v1", "known", median, median)
			}
			end("v1", "unknown", median/3, median)
			if i%5 == 0 {
				end("v2", "unknown", median/3, latencyOfNew)
				end("v2", "known", median, latencyOfNew)
			}
			if m.evaluate(0) != "" {
				return RolledBack
			}
		}
		return m.phase
	}
	assert.Equal(t, Trial, phaseAfter(median))
	assert.Equal(t, RolledBack, phaseAfter(4*median))
}

// Guards against completing a move while the upstreams of the new version can't carry the load, since the old ones are stopped
// then. In one incident 12 of 27 upstreams were left, and a quarter of the requests was lost for the rest of the day (inc-ffb2 of
// yeux-sfax).
func TestAMoveWaitsForEnoughUpstreams(t *testing.T) {
	var ups []UpstreamSpec
	for i := range 8 {
		ups = append(ups, up(fmt.Sprint("old", i)))
	}
	n := up("new")
	n.Version = "v2"
	f := newFixture(append(ups, n)...)
	f.StartMove(f.now, "v2", 2*time.Second)
	for range 12 {
		_, _ = f.ask(func(a *Ask) { a.Exclude = []string{"new"} })
	}
	advance := func(d time.Duration) (phase MovePhase) {
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
			phase, _, _ = f.AdvanceMove(f.now, true)
		}
		return phase
	}
	assert.Equal(t, Trial, advance(4*time.Second))
	for i := range 6 {
		more := up(fmt.Sprint("new", i))
		more.Version = "v2"
		f.spec.Upstreams = append(f.spec.Upstreams, more)
	}
	f.Configure(f.now, f.spec)
	for i := range uint64(12) {
		f.finish(i+1, Success)
	}
	assert.Equal(t, Done, advance(4*time.Second))
}

// Guards against a leader that is cut off from the others and completes a move without the responses that they see, and against one
// that doesn't roll back a version that fails before its eyes.
func TestALeaderInTheMinorityOnlyRollsBack(t *testing.T) {
	n := up("new")
	n.Version = "v2"
	f := newFixture(up("old"), n)
	f.StartMove(f.now, "v2", 2*time.Second)
	for range 100 {
		f.now = f.now.Add(100 * time.Millisecond)
		phase, _, changed := f.AdvanceMove(f.now, false)
		assert.False(t, changed)
		assert.Equal(t, Trial, phase)
	}
	phase, _, _ := f.AdvanceMove(f.now, true)
	assert.Equal(t, Final, phase, "as soon as it may")

	f.StartMove(f.now, "v2", 60*time.Second)
	for range 400 {
		d, id := f.ask(nil)
		require.Len(t, d.Grants, 1)
		outcome := Success
		if d.Grants[0].Upstream == "new" {
			outcome = Failure
		}
		f.finish(id, outcome)
		f.now = f.now.Add(50 * time.Millisecond)
		f.healthy("old")
		f.healthy("new")
		phase, _, _ = f.AdvanceMove(f.now, false)
	}
	assert.Equal(t, RolledBack, phase)
}

// Guards against completing a move to a slow version because placement avoids its upstreams, so that there are no responses that
// show how slow it is. Such a move was completed (scale-1 of hokusei-gw).
func TestASlowVersionOnTrialGetsSamples(t *testing.T) {
	r := simulateMove(func(time.Duration, string, float64) (Outcome, time.Duration) { return Success, 500 * time.Millisecond })
	assert.Equal(t, RolledBack, r.finished)
}
