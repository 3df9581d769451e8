package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type fixture struct {
	*Pool
	now  time.Time
	next uint64
	spec Spec
}

func newFixture(upstreams ...UpstreamSpec) *fixture {
	f := &fixture{Pool: New(rand.New(rand.NewPCG(1, 1))), now: epoch}
	f.spec = Spec{Upstreams: upstreams, ColdPerSecond: 20, ColdFactor: 1.5, ColdSlack: 5, RetryRatio: 0.2, RetryBurst: 60, RetryWindow: 10 * time.Second, BadShare: 0.1, BadSlack: 50}
	f.Configure(f.now, f.spec)
	for _, u := range upstreams {
		f.healthy(u.ID)
	}
	return f
}

func up(id string) UpstreamSpec {
	return UpstreamSpec{ID: id, Address: id, DataCentre: "z", Version: "v1", Slots: 6}
}

func (f *fixture) healthy(id string) {
	f.Probe(f.now, Probe{Upstream: id, Answered: true, Healthy: true, Load: &Load{Slots: 6, Pace: 1}})
}

func (f *fixture) ask(change func(*Ask)) (Decisions, uint64) {
	f.next++
	a := Ask{ID: f.next, Route: "r", DataCentre: "z", Attempt: 1, Objective: f.now.Add(250 * time.Millisecond), Deadline: f.now.Add(time.Second)}
	if change != nil {
		change(&a)
	}
	return f.Submit(f.now, a), f.next
}

func (f *fixture) finish(id uint64, o Outcome) {
	f.Finish(f.now, End{Ask: id, Outcome: o, Latency: 50 * time.Millisecond, Load: &Load{Slots: 6, Pace: 1}})
}

// Guards against requests to upstreams that leave, are not reached, answer for another process, or were never probed.
func TestUnusableUpstreamsGetNothing(t *testing.T) {
	closed := up("closed")
	closed.Closed = true
	f := newFixture(up("good"), closed, up("gone"), up("other"))
	f.spec.Upstreams = append(f.spec.Upstreams, up("unprobed"))
	f.Configure(f.now, f.spec)
	f.Probe(f.now, Probe{Upstream: "gone"})
	f.Probe(f.now, Probe{Upstream: "other", Answered: true, Healthy: true, Other: true})
	for range 4 {
		d, _ := f.ask(nil)
		require.Len(t, d.Grants, 1)
		assert.Equal(t, "good", d.Grants[0].Upstream)
	}
	d, _ := f.ask(nil)
	assert.Empty(t, d.Grants, "the fifth would slow the others down")
}

// Guards against a request that can't be served and waits for its deadline.
func TestWhatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	f := newFixture(up("a"))
	d, _ := f.ask(func(a *Ask) { a.Exclude = []string{"a"} })
	require.Len(t, d.Refusals, 1)
	assert.Equal(t, ReasonNoUpstream, d.Refusals[0].Reason)
	d, id := f.ask(nil)
	require.Len(t, d.Grants, 1)
	f.finish(id, Success)
	d, _ = f.ask(func(a *Ask) { a.Deadline = f.now.Add(time.Millisecond) })
	require.Len(t, d.Refusals, 1)
	assert.Equal(t, ReasonDeadline, d.Refusals[0].Reason)
}

// Guards against a cold start that counts twice, in the pace that the upstream reports and beside it: then no request in
// time is placed on a cold upstream (scale-1 of yeux-sfax: pace 2 and a slowdown of 4 while others were overloaded).
func TestThePaceOfAColdUpstreamIncludesItsColdStart(t *testing.T) {
	for _, test := range []struct {
		name     string
		pace     float64 // 0: not reported
		predicts float64
	}{{"reported", 2, 2}, {"reported with a spell", 8, 8}, {"not reported", 0, coldSlowdown}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(up("a"))
			f.Pool = New(rand.New(rand.NewPCG(1, 1)))
			f.Configure(f.now, f.spec)
			f.now = f.now.Add(time.Second) // its allowance has become due
			f.Probe(f.now, Probe{Upstream: "a", Answered: true, Healthy: true, ColdLeft: time.Second, Load: &Load{Slots: 6, Pace: test.pace}})
			f.base["r"] = 20 * time.Millisecond
			d, id := f.ask(func(a *Ask) { a.Objective = f.now.Add(time.Second) })
			require.Len(t, d.Grants, 1)
			assert.InDelta(t, test.predicts*20, float64(f.calls[id].predicted)/float64(time.Millisecond), 0.1)
		})
	}
}

// Guards against too many requests in one second on a cold upstream, also while two entries place.
func TestColdUpstreamsGetALimitedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond, factor, slack := rapid.Float64Range(0.5, 40).Draw(t, "bears"), rapid.Float64Range(1, 3).Draw(t, "factor"), float64(rapid.IntRange(0, 10).Draw(t, "slack"))
		f := newFixture(up("a"))
		f.spec.ColdPerSecond, f.spec.ColdFactor, f.spec.ColdSlack = perSecond, factor, slack
		f.Configure(f.now, f.spec)
		var sent []time.Time
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			f.Probe(f.now, Probe{Upstream: "a", Answered: true, Healthy: true, ColdLeft: time.Second, Load: &Load{Pace: 1}})
			d, id := f.ask(nil)
			for range d.Grants {
				sent = append(sent, f.now)
				f.finish(id, Success)
			}
		}
		for i, at := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					n++
				}
			}
			if 2*float64(n) > perSecond*factor+slack {
				t.Fatalf("%d requests in a second", n)
			}
		}
	})
}

// Guards against an allowance for a cold upstream that grows while other leaders use the bound (spec/cold.pml, MUTATE_KEEP_GROWING): an
// entry that may draw on it again would send its burst in the same second as they.
func TestAnAllowanceDoesNotGrowWhileOthersUseTheBound(t *testing.T) {
	f := newFixture(up("a"))
	cold := func() {
		f.Probe(f.now, Probe{Upstream: "a", Answered: true, Healthy: true, ColdLeft: time.Minute, Load: &Load{Pace: 1}})
	}
	open, restricted := f.spec, f.spec
	restricted.ColdPerSecond, restricted.ColdSlack = 0, 0
	f.Configure(f.now, restricted)
	cold()
	for _, next := range []Spec{restricted, open} { // a batch of records arrives on the way
		f.now = f.now.Add(5 * time.Second)
		f.Configure(f.now, next)
	}
	cold()
	d, _ := f.ask(nil)
	assert.Empty(t, d.Grants)
	f.now = f.now.Add(2 * time.Duration(float64(time.Second)/open.coldRate()))
	d = f.Tick(f.now)
	assert.Len(t, d.Grants, 1, "the allowance grows from then on")
}

// Guards against requests that crash one upstream after the other, and against blame for connections that are merely reset.
func TestARequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	f := newFixture(up("a"), up("b"), up("c"), up("d"))
	bad := func(a *Ask) { a.Fingerprint = 7 }
	for range maxCrashes {
		f.now = f.now.Add(time.Second)
		d, id := f.ask(bad)
		require.Len(t, d.Grants, 1)
		f.finish(id, Lost)
		f.Probe(f.now, Probe{Upstream: d.Grants[0].Upstream})
	}
	d, _ := f.ask(bad)
	require.Len(t, d.Refusals, 1)
	assert.Equal(t, ReasonCrashes, d.Refusals[0].Reason)

	f = newFixture(up("a"), up("b"))
	for range 20 {
		f.now = f.now.Add(3 * time.Second)
		f.healthy("a")
		f.healthy("b")
		d, id := f.ask(bad)
		require.Len(t, d.Grants, 1, "a reset connection is no crash")
		f.finish(id, Lost)
	}
}

// Guards against upstreams that fail requests while their health is good, and against ejecting all when the cause is
// elsewhere.
func TestFailingUpstreamsAreEjected(t *testing.T) {
	f := newFixture(up("a"), up("b"), up("c"))
	for range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		d, id := f.ask(nil)
		require.Len(t, d.Grants, 1)
		if d.Grants[0].Upstream == "a" {
			f.finish(id, Failure)
		} else {
			f.finish(id, Success)
		}
	}
	assert.False(t, f.Upstreams(f.now)[0].Usable)
	assert.True(t, f.Upstreams(f.now)[1].Usable)
	for range 100 {
		f.now = f.now.Add(10 * time.Millisecond)
		if d, id := f.ask(nil); len(d.Grants) == 1 {
			f.finish(id, Failure)
		}
	}
	usable := 0
	for _, u := range f.Upstreams(f.now) {
		if u.Usable {
			usable++
		}
	}
	assert.GreaterOrEqual(t, usable, 2)
}

// Guards against waiting behind a slow spell: a request waits for a fast upstream while it can still be in time, and takes
// a slow one after that.
func TestARequestWaitsForAFasterUpstream(t *testing.T) {
	f := newFixture(up("slow"))
	f.base["r"] = 100 * time.Millisecond
	f.Probe(f.now, Probe{Upstream: "slow", Answered: true, Healthy: true, Load: &Load{Pace: 4}})
	d, _ := f.ask(nil)
	require.Empty(t, d.Grants)
	f.now = f.now.Add(50 * time.Millisecond)
	d = f.Probe(f.now, Probe{Upstream: "slow", Answered: true, Healthy: true, Load: &Load{Pace: 1}})
	require.Len(t, d.Grants, 1, "the spell is over")

	f.Probe(f.now, Probe{Upstream: "slow", Answered: true, Healthy: true, Load: &Load{Pace: 4}})
	d, _ = f.ask(nil)
	require.Empty(t, d.Grants)
	f.now = f.now.Add(200 * time.Millisecond)
	f.Probe(f.now, Probe{Upstream: "slow", Answered: true, Healthy: true, Load: &Load{Pace: 4}})
	d = f.Tick(f.now)
	require.Len(t, d.Grants, 1, "too late for the objective, so any upstream will do")
}

// Guards against more urgent requests that are served after less urgent ones.
func TestUrgentRequestsGoFirst(t *testing.T) {
	f := newFixture(UpstreamSpec{ID: "a", Address: "a", DataCentre: "z", Version: "v1", Slots: 1})
	f.base["r"] = 20 * time.Millisecond
	_, first := f.ask(nil)
	_, _ = f.ask(func(a *Ask) { a.Priority = 2 })
	_, urgent := f.ask(func(a *Ask) { a.Priority = 1 })
	d := f.Finish(f.now, End{Ask: first, Outcome: Success, Latency: 20 * time.Millisecond})
	require.Len(t, d.Grants, 1)
	assert.Equal(t, urgent, d.Grants[0].Ask)
}

type moveRun struct {
	f        *fixture
	total    int
	onNew    int
	finished MovePhase
	at       time.Duration
}

// playMove serves 200 requests a second during a move of 12 s; outcome tells how a request on the new version ends.
func playMove(outcome func(at time.Duration, route string, share float64) (Outcome, time.Duration)) moveRun {
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
		if phase, _, changed := f.AdvanceMove(f.now); changed && (phase == Done || phase == RolledBack) {
			r.finished, r.at = phase, f.now.Sub(epoch)
			if phase == Done {
				break
			}
		}
	}
	return r
}

// Guards against a good version that misses its time, and a bad one that gets more than a tenth of the requests and 50.
func TestMoves(t *testing.T) {
	good := func(time.Duration, string, float64) (Outcome, time.Duration) { return Success, 70 * time.Millisecond }
	bad := map[string]func(time.Duration, string, float64) (Outcome, time.Duration){
		"fails at once": func(time.Duration, string, float64) (Outcome, time.Duration) { return Failure, 60 * time.Millisecond },
		"slow at once":  func(time.Duration, string, float64) (Outcome, time.Duration) { return Success, 350 * time.Millisecond },
		"slow in part, beyond the deadline": func(at time.Duration, _ string, _ float64) (Outcome, time.Duration) {
			if at.Milliseconds()/5%3 == 0 {
				return Silent, 900 * time.Millisecond
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
	r := playMove(good)
	assert.Equal(t, Done, r.finished)
	// Guards against a completion that is reported too late (killed-after-acting on hokusei-gw-grown: 0.2 s before the end). A write
	// that is lost takes 0.5 s, the look at the log up to 0.5 s and the pause before the second write 0.15 s.
	const secondWrite = 1150 * time.Millisecond
	assert.LessOrEqual(t, r.at, 12*time.Second-secondWrite)
	for name, outcome := range bad {
		t.Run(name, func(t *testing.T) {
			r := playMove(outcome)
			assert.Equal(t, RolledBack, r.finished)
			assert.LessOrEqual(t, float64(r.onNew), 0.1*float64(r.total)+50)
		})
	}
}

// Guards against a good version that is taken back because a new leader knows the service time of a route badly: the first calls that
// end are the short ones, so the others look slow on both versions (killed-after-acting on hokusei-gw-grown, 1.1 s after a change of
// the leader), and against a slow version that passes for that reason.
func TestAMoveIsNotJudgedByALowEstimate(t *testing.T) {
	const median = 100 * time.Millisecond
	play := func(latencyOfNew time.Duration) MovePhase {
		m := moveState{version: "v2", phase: Trial, routes: map[string]*routeStats{}}
		for i := range 400 {
			end := func(version, route string, base, latency time.Duration) {
				c := &call{ask: Ask{Route: route}, up: &upstream{spec: UpstreamSpec{Version: version}}, pace: 1}
				m.ended(c, End{Outcome: Success, Latency: latency, Load: &Load{Pace: 1}}, base)
			}
			for range 5 {
				end("v1", "known", median, median)
			}
			end("v1", "unknown", median/3, median)
			if i%5 == 0 {
				end("v2", "unknown", median/3, latencyOfNew)
				end("v2", "known", median, latencyOfNew)
			}
			if m.judge(0) != "" {
				return RolledBack
			}
		}
		return m.phase
	}
	assert.Equal(t, Trial, play(median))
	assert.Equal(t, RolledBack, play(4*median))
}

// Guards against a move that is completed onto upstreams that can't carry the load: the old ones end at once then (inc-ffb2
// of yeux-sfax: 12 of 27 upstreams were left, and a quarter of the requests was lost until the end of the day).
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
			phase, _, _ = f.AdvanceMove(f.now)
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

// Guards against a slow new version that placement avoids, so that its answers never show how slow it is (scale-1 of
// hokusei-gw: the move was completed).
func TestASlowVersionOnTrialGetsSamples(t *testing.T) {
	r := playMove(func(time.Duration, string, float64) (Outcome, time.Duration) { return Success, 500 * time.Millisecond })
	assert.Equal(t, RolledBack, r.finished)
}

// Guards against counts that differ from the calls that run, whatever the order of events.
func TestCountsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture(up("a"), up("b"), up("c"))
		granted := map[uint64]string{}
		take := func(d Decisions) {
			for _, g := range d.Grants {
				granted[g.Ask] = g.Upstream
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				d, _ := f.ask(nil)
				take(d)
			case 2:
				for id := range granted {
					delete(granted, id)
					o := Outcome(rapid.IntRange(0, 7).Draw(t, "outcome"))
					take(f.Finish(f.now, End{Ask: id, Outcome: o, Latency: 30 * time.Millisecond}))
					break
				}
			case 3:
				take(f.Tick(f.now))
			case 4:
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
				take(f.Probe(f.now, Probe{Upstream: id, Answered: rapid.Bool().Draw(t, "answered"), Healthy: true, Load: &Load{Pace: 1}}))
			}
			counts := map[string]int{}
			for _, u := range granted {
				counts[u]++
			}
			for _, s := range f.Upstreams(f.now) {
				if s.Running != counts[s.ID] {
					t.Fatalf("%s runs %d, counted %d", s.ID, counts[s.ID], s.Running)
				}
				if s.Running > 4 {
					t.Fatalf("%s runs %d of 6 slots", s.ID, s.Running)
				}
			}
		}
	})
}

// Guards against an entry without a leader that never uses an upstream again after one failed connection, as no probe tells that
// it is back, and against requests to other data centres, which may be cut off, while near upstreams are free.
func TestWithoutProbesUnreachableUpstreamsAreTriedAgain(t *testing.T) {
	near, far := up("near"), up("far")
	far.DataCentre = "y"
	f := newFixture(near, far)
	f.spec.Unprobed = true
	f.Configure(f.now, f.spec)
	f.base["r"] = 20 * time.Millisecond
	d, id := f.ask(nil)
	require.Len(t, d.Grants, 1)
	require.Equal(t, "near", d.Grants[0].Upstream)
	f.finish(id, ConnectFailed)
	d, id = f.ask(nil)
	require.Len(t, d.Grants, 1)
	require.Equal(t, "far", d.Grants[0].Upstream, "it is avoided for a time")
	f.finish(id, Success)
	f.now = f.now.Add(maxEjection)
	d, _ = f.ask(nil)
	require.Len(t, d.Grants, 1)
	assert.Equal(t, "near", d.Grants[0].Upstream)
}
