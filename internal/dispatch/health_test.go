package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against work for an upstream that drags the tail of the whole pool.
func TestSlowUpstreamIsEjected(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.play(time.Second, normal)
	f.play(400*time.Millisecond, only("u002", Success, 60*time.Millisecond))
	assert.Equal(t, Ejected, f.status("u002").Health)
	assert.Equal(t, 1, f.ejected())
}

// Guards against an upstream that attracts all calls because its failures free its slots at once.
func TestFailingFastUpstreamIsEjected(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.play(time.Second, normal)
	before := f.status("u002").Grants
	f.play(500*time.Millisecond, only("u002", Failure, 0))
	assert.Equal(t, Ejected, f.status("u002").Health)
	assert.LessOrEqual(t, f.status("u002").Grants-before, uint64(5))
	f.play(10*time.Second, only("u002", Failure, 0))
	assert.LessOrEqual(t, f.status("u002").Grants-before, uint64(10), "the backoff grows")
	f.play(time.Minute, normal)
	assert.Equal(t, Healthy, f.status("u002").Health)
	assert.Equal(t, 3, f.status("u002").Allowance)
}

// Guards against an upstream that fails now and then, never in a long run.
func TestPartlyFailingUpstreamIsEjected(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	n := 0
	f.play(2*time.Second, func(u, r string) (OutcomeKind, time.Duration) {
		if u != "u002" {
			return normal(u, r)
		}
		if n++; n%2 == 0 {
			return Failure, 10 * time.Millisecond
		}
		return normal(u, r)
	})
	assert.Positive(t, f.status("u002").Ejections)
}

// Guards against ejecting upstreams for what all of them show: shared slowness and bad requests.
func TestSharedTroubleEjectsNobody(t *testing.T) {
	rng := rand.New(rand.NewSource(3))
	for name, how := range map[string]answer{
		"slow": func(string, string) (OutcomeKind, time.Duration) { return Success, 80 * time.Millisecond },
		"failing": func(string, string) (OutcomeKind, time.Duration) {
			if rng.Intn(3) == 0 {
				return Failure, 10 * time.Millisecond
			}
			return Success, 10 * time.Millisecond
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testSpec(6, 3))
			f.play(time.Second, normal)
			f.play(3*time.Second, how)
			assert.Zero(t, f.ejected())
		})
	}
}

// Guards against taking a whole upstream out, or doing nothing, when only one of its routes is slow.
func TestUpstreamSlowOnOneRouteLosesOnlyThatRoute(t *testing.T) {
	f := newFixture(t, testSpec(6, 6))
	f.play(time.Second, normal, "a", "b")
	wrong := 0
	f.play(700*time.Millisecond, func(u, r string) (OutcomeKind, time.Duration) {
		if u != "u002" || r != "b" {
			return normal(u, r)
		}
		if len(f.status(u).SlowRoutes) > 0 {
			wrong++
		}
		return Success, 60 * time.Millisecond
	}, "a", "b")
	s := f.status("u002")
	assert.NotEqual(t, Ejected, s.Health)
	assert.Equal(t, []string{"b"}, s.SlowRoutes)
	assert.Zero(t, wrong, "no call of the slow route goes there")
}

// Guards against a pool that ejects itself empty.
func TestAtMostHalfIsEjected(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.play(time.Second, normal)
	most := 0
	f.play(5*time.Second, func(u, r string) (OutcomeKind, time.Duration) {
		most = max(most, f.ejected())
		if u > "u001" {
			return Failure, time.Millisecond
		}
		return normal(u, r)
	})
	assert.LessOrEqual(t, most, 3)
	assert.Positive(t, most)
	spec := testSpec(6, 3)
	spec.Upstreams = spec.Upstreams[2:]
	f.p.Configure(f.now, spec)
	assert.LessOrEqual(t, f.ejected(), 2, "also after upstreams leave")
}

// Guards against an upstream that hangs: none of its calls ends, so nothing is measured.
func TestStuckUpstreamIsEjected(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.play(time.Second, normal)
	f.play(2*time.Second, only("u002", Success, time.Hour))
	assert.Positive(t, f.status("u002").Ejections)
}

// Guards against hedges that cancel the calls of a slow upstream and so hide it.
func TestCancelledCallsAreEvidenceOfSlowness(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.play(time.Second, normal)
	f.play(700*time.Millisecond, only("u002", Cancelled, 60*time.Millisecond))
	assert.Positive(t, f.status("u002").Ejections)
}

// Guards against a lost data centre whose pool still shows usable slots and attracts calls.
func TestUnreachablePoolShowsNoSlots(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.play(3*time.Second, func(string, string) (OutcomeKind, time.Duration) { return ConnectFailed, 0 })
	assert.Zero(t, f.p.Summary(f.now).Slots)
	assert.LessOrEqual(t, f.status("u000").Grants, uint64(10), "the backoff grows")
	f.submit(Request{Class: "urgent"})
	assert.Positive(t, f.refused[ReasonNoUpstream])
	f.p.ProbeResult(f.now, "u000", true, time.Millisecond, nil)
	assert.Equal(t, 1, f.p.Summary(f.now).Slots, "a good probe brings the first slot back")
}

// Guards against a frozen or false report that hides load or takes a good upstream's capacity away.
func TestFalseReportsAreDiscounted(t *testing.T) {
	for name, rep := range map[string]*LoadReport{
		"frozen":      {InFlight: 1, Seq: 7},
		"always cold": {Cold: true},
		"always busy": {InFlight: 3, Queued: 40},
		"always idle": {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testSpec(4, 3))
			f.play(time.Second, normal)
			seq := uint64(0)
			f.report = func(u string) *LoadReport {
				if u != "u002" {
					return nil
				}
				seq++
				r := *rep
				if r.Seq == 0 {
					r.Seq = seq
				}
				return &r
			}
			f.play(4*time.Second, func(u, r string) (OutcomeKind, time.Duration) {
				if u == "u002" && name == "always idle" {
					return Success, 25 * time.Millisecond
				}
				return normal(u, r)
			})
			s := f.status("u002")
			assert.False(t, s.ReportTrusted)
			assert.Equal(t, 3, s.Allowance, "its capacity is back")
		})
	}
}

// Guards against reports of other senders' work being ignored while views differ.
func TestReportedForeignWorkLowersTheLimit(t *testing.T) {
	f := newFixture(t, testSpec(4, 3))
	f.submit(Request{Class: "urgent"})
	f.p.Finish(f.now, 1, Outcome{Latency: 30 * time.Millisecond, Report: &LoadReport{InFlight: 3, Queued: 1, Seq: 1}})
	assert.Equal(t, 2, f.status("u000").Allowance)
	f.advance(300 * time.Millisecond)
	assert.Equal(t, 3, f.status("u000").Allowance, "an old report has no effect")
}

// Guards against probes above their budget, beside calls, from an unconfirmed owner, or in a closed pool.
func TestProbesStayWithinTheirBudget(t *testing.T) {
	spec := testSpec(4, 3)
	f := newFixture(t, spec)
	f.submit(Request{Class: "urgent"})
	probes := map[string]int{}
	for range 1000 {
		for _, name := range f.advance(10 * time.Millisecond) {
			probes[name]++
		}
	}
	assert.Zero(t, probes["u000"], "an upstream with a running call is not probed")
	for _, name := range []string{"u001", "u002", "u003"} {
		assert.InDelta(t, 9, probes[name], 2)
		assert.LessOrEqual(t, probes[name], 10)
	}
	f.p.SetConfirmed(f.now, f.now)
	assert.Empty(t, f.advance(5*time.Second))
	f.confirm()
	spec.Closed = true
	f.p.Configure(f.now, spec)
	assert.Empty(t, f.advance(5*time.Second))
}

// Guards against new work for a leaving upstream or data centre, and against full load on their return.
func TestLeavingAndReturn(t *testing.T) {
	spec := testSpec(2, 1)
	f := newFixture(t, spec)
	f.submit(Request{Class: "urgent"})
	f.submit(Request{Class: "urgent"})
	f.submit(Request{Class: "urgent"})
	spec.Upstreams[0].Leaving = true
	f.p.Configure(f.now, spec)
	assert.Empty(t, f.p.Finish(f.now, 1, Outcome{}).Grants, "a leaving upstream gets no new work")
	spec.Closed = true
	ev := f.p.Configure(f.now, spec)
	require.Len(t, ev.Refusals, 1)
	assert.Equal(t, ReasonClosed, ev.Refusals[0].Reason)
	assert.Equal(t, ReasonClosed, f.submit(Request{Class: "urgent"}).Refusals[0].Reason)
	assert.Equal(t, 1, f.p.Summary(f.now).InFlight, "running calls finish")
	assert.Zero(t, f.p.Summary(f.now).Slots, "a closed pool offers nothing")
	f.p.Finish(f.now, 2, Outcome{})
	spec = testSpec(2, 3)
	f.p.Configure(f.now, spec)
	for _, s := range f.p.Upstreams(f.now) {
		assert.Equal(t, Cold, s.Health)
		assert.Equal(t, 1, s.Allowance)
	}
}

// Guards against new work for an upstream that says that it is draining.
func TestDrainingReport(t *testing.T) {
	f := newFixture(t, testSpec(2, 3))
	f.submit(Request{Class: "urgent"})
	f.p.Finish(f.now, 1, Outcome{Report: &LoadReport{Draining: true, Seq: 1}})
	assert.Equal(t, Leaving, f.status("u000").Health)
	f.p.ProbeResult(f.now, "u000", true, 0, &LoadReport{Seq: 2})
	assert.Equal(t, Cold, f.status("u000").Health)
}

// Guards against a health endpoint that fails while calls work and takes an idle pool out.
func TestFailedProbesAloneKeepNoCallsAway(t *testing.T) {
	f := newFixture(t, testSpec(2, 3))
	for range 5 {
		for _, name := range append([]string(nil), f.advance(1200*time.Millisecond)...) {
			f.p.ProbeResult(f.now, name, false, time.Second, nil)
		}
	}
	assert.Equal(t, 2, f.p.Summary(f.now).Slots)
	f.play(time.Second, normal)
	assert.Equal(t, 6, f.p.Summary(f.now).Slots)
}

// Guards against a second probe within a second of an upstream that is removed and added again.
func TestProbeBudgetHoldsOverReconfiguration(t *testing.T) {
	spec := testSpec(2, 1)
	f := newFixture(t, spec)
	require.Contains(t, f.advance(0), "u001")
	f.p.Configure(f.now, testSpec(1, 1))
	f.advance(60 * time.Millisecond)
	f.p.Configure(f.now, spec)
	assert.NotContains(t, f.advance(60*time.Millisecond), "u001")
}

// Guards against an upstream removed from the configuration that is kept for ever, or dropped under a running call.
func TestRemovedUpstreamGoesWhenIdle(t *testing.T) {
	f := newFixture(t, testSpec(2, 1))
	f.submit(Request{Class: "urgent"})
	f.p.Configure(f.now, Spec{Upstreams: testSpec(2, 1).Upstreams[1:]})
	require.Len(t, f.p.Upstreams(f.now), 2)
	f.p.Finish(f.now, 1, Outcome{})
	f.advance(time.Second)
	assert.Len(t, f.p.Upstreams(f.now), 1)
}
