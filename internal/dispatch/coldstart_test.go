package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against full load on an upstream whose responses show that it is in cold start.
func TestColdStartIsRecognised(t *testing.T) {
	for name, outcomes := range map[string][]Outcome{
		"crash":              {{Kind: Crashed}},
		"refused connection": {{Kind: ConnectFailed}},
		"refusals":           {{Kind: NotRun}, {Kind: NotRun}},
		"own report":         {{Report: &LoadReport{Cold: true, Seq: 1}}},
		"restart":            {{Report: &LoadReport{Seq: 1000}}, {Report: &LoadReport{Seq: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testSpec(1, 6))
			for _, o := range outcomes {
				require.Len(t, f.submit(Request{Class: "urgent"}).Grants, 1)
				f.pool.Finish(f.now, f.id, o)
			}
			f.advance(time.Second)
			s := f.status("u000")
			assert.Equal(t, Cold, s.Health)
			assert.Equal(t, 1, s.Allowance)
		})
	}
}

// Guards against full load on an upstream whose unannounced cold start shows only in its latency.
func TestHighLatencyLowersTheAllowance(t *testing.T) {
	f := newFixture(t, testSpec(6, 6))
	f.runTraffic(time.Second, normalResponse)
	f.runTraffic(500*time.Millisecond, onlyUpstream("u002", Success, 50*time.Millisecond))
	assert.Less(t, f.status("u002").Allowance, 6)
}

// Guards against a ramp that rises without successes, exceeds the slots or never ends.
func TestAllowanceRamp(t *testing.T) {
	spec := testSpec(1, 6)
	spec.Upstreams[0].Cold = true
	f := newFixture(t, spec)
	var steps []int
	for range 29 {
		steps = append(steps, f.status("u000").Allowance)
		f.submit(Request{Class: "urgent"})
		f.pool.Finish(f.now, f.id, Outcome{Latency: time.Millisecond})
	}
	assert.Equal(t, []int{1, 1, 1, 1, 2}, steps[:5])
	assert.Equal(t, []int{2, 4}, steps[11:13])
	assert.Equal(t, []int{4, 6}, steps[27:29])
	assert.Equal(t, Healthy, f.status("u000").Health)
}

// Guards against a cold upstream that keeps its allowance although it refuses calls or is slow.
func TestAllowanceHalves(t *testing.T) {
	spec := testSpec(4, 8)
	f := newFixture(t, spec)
	f.runTraffic(time.Second, normalResponse)
	u := f.pool.upstreamByName["u000"]
	for name, o := range map[string]Outcome{
		"refusal": {Kind: NotRun},
		"slow":    {Kind: Success, Latency: 45 * time.Millisecond},
	} {
		u.cold, u.allowance = true, 4
		f.pool.updateFreeList(u)
		ev := f.submit(Request{Class: "ordinary", Route: "r", Exclude: []string{"u001", "u002", "u003"}})
		require.Equal(t, "u000", ev.Grants[0].Upstream)
		f.pool.Finish(f.now, f.id, o)
		assert.Equal(t, 2, u.allowance, name)
	}
}

// Guards against concurrent calls on a cold upstream from two owners whose views differ.
func TestColdUpstreamsNeedAConfirmedView(t *testing.T) {
	spec := testSpec(2, 3)
	spec.Upstreams[0].Cold = true
	f := newFixture(t, spec)
	f.pool.SetConfirmed(f.now, f.now)
	for range 3 {
		require.Equal(t, "u001", f.submit(Request{Class: "ordinary"}).Grants[0].Upstream)
	}
	assert.Empty(t, f.submit(Request{Class: "ordinary"}).Grants)
	f.submit(Request{Class: "ordinary", Exclude: []string{"u001"}})
	assert.Equal(t, 1, f.refused[ReasonCold], "a call that only cold upstreams can run is refused at once")
	f.confirm()
	f.advance(10 * time.Millisecond)
	assert.Equal(t, 1, f.grants["u000"])
}

// Guards against overload of the warm upstreams when many are cold: the warm ones must keep to their slots, the cold
// ones to their allowance, and excess calls must be refused early.
func TestManyColdUpstreamsDoNotOverloadTheRest(t *testing.T) {
	spec := testSpec(25, 3)
	for i := range 24 {
		spec.Upstreams[i].Cold = true
	}
	f := newFixture(t, spec)
	for range 500 {
		f.submit(Request{Class: "ordinary", Deadline: f.now.Add(50 * time.Millisecond)})
	}
	for _, s := range f.pool.Upstreams(f.now) {
		assert.LessOrEqual(t, s.InFlight, s.Allowance)
	}
	assert.Equal(t, 24+3, f.pool.Summary(f.now).InFlight)
	assert.Greater(t, f.refused[ReasonOverload], 300)
}

// Guards against full load at once on an upstream that is added to a running pool.
func TestAddedUpstreamIsCold(t *testing.T) {
	f := newFixture(t, testSpec(1, 3))
	f.pool.Configure(f.now, testSpec(2, 3))
	assert.Equal(t, Healthy, f.status("u000").Health)
	assert.Equal(t, Cold, f.status("u001").Health)
}

// Guards against two faults: a whole pool that counts as cold, and so serves nothing without a confirmed view, because
// another owner fills its slots while views differ; and calls wasted on the only upstream that refuses them.
func TestNotRunResponsesAreComparedWithPeers(t *testing.T) {
	refuse := func(string, string) (OutcomeKind, time.Duration) { return NotRun, time.Millisecond }
	f := newFixture(t, testSpec(6, 3))
	f.runTraffic(time.Second, normalResponse)
	f.runTraffic(300*time.Millisecond, refuse)
	cold := 0
	for _, s := range f.pool.Upstreams(f.now) {
		if s.Health != Healthy {
			cold++
		}
	}
	assert.LessOrEqual(t, cold, 3)
	f = newFixture(t, testSpec(6, 3))
	f.runTraffic(time.Second, normalResponse)
	f.runTraffic(300*time.Millisecond, onlyUpstream("u002", NotRun, time.Millisecond))
	assert.Equal(t, Ejected, f.status("u002").Health)
	assert.Equal(t, 1, f.ejected())
}

// Guards against full load on an upstream that returns after it was leaving.
func TestReturnedUpstreamIsCold(t *testing.T) {
	spec := testSpec(2, 3)
	f := newFixture(t, spec)
	spec.Upstreams[0].Leaving = true
	f.pool.Configure(f.now, spec)
	f.pool.Configure(f.now, testSpec(2, 3))
	assert.Equal(t, Cold, f.status("u000").Health)
	assert.Equal(t, Healthy, f.status("u001").Health)
}

// Guards against calls to an ejected upstream whose last probe failed.
func TestFailedProbeExtendsAnEjection(t *testing.T) {
	f := newFixture(t, testSpec(6, 3))
	f.runTraffic(time.Second, normalResponse)
	f.runTraffic(100*time.Millisecond, onlyUpstream("u002", Failure, 0))
	require.Equal(t, 1, f.status("u002").Ejections)
	f.pool.ProbeResult(f.now, "u002", false, 0, nil)
	f.advance(1500 * time.Millisecond)
	assert.Equal(t, Ejected, f.status("u002").Health)
	assert.Equal(t, 2, f.status("u002").Ejections)
}
