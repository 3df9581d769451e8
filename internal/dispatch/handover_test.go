package dispatch

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// successor returns a fixture of the next owner of the same upstreams, at the same time.
func (f *fixture) successor(spec Spec, options ...Option) *fixture {
	next := &fixture{t: f.t, rng: f.rng, now: f.now, id: 1 << 32, grants: map[string]int{}, refused: map[Reason]int{}}
	next.p = New(spec, rand.New(rand.NewSource(1)), options...)
	next.confirm()
	return next
}

// offer submits calls that can use only one upstream and returns the IDs that were granted.
func (f *fixture) offer(calls int) (granted []uint64) {
	for range calls {
		for _, g := range f.submit(Request{Class: "ordinary"}).Grants {
			granted = append(granted, g.RequestID)
		}
	}
	return granted
}

func coldSpec() Spec {
	spec := testSpec(1, 6)
	spec.Upstreams[0].Cold = true
	return spec
}

// Guards against a planned hand over after which a cold upstream runs the allowance of the new owner beside the calls
// of the old one, or counts as warm.
func TestHandoverKeepsColdUpstreamsWithinTheirAllowance(t *testing.T) {
	old := newFixture(t, coldSpec())
	for range successesPerStep {
		old.p.Finish(old.now, old.offer(1)[0], Outcome{Latency: time.Millisecond})
	}
	require.Len(t, old.offer(1), 1)
	data, err := json.Marshal(old.p.Handover(old.now))
	require.NoError(t, err)
	var h Handover
	require.NoError(t, json.Unmarshal(data, &h))
	spec := testSpec(1, 6)
	next := old.successor(spec, WithHandover(old.now, h))
	assert.Len(t, next.offer(4), 1, "allowance 2, one call of the old owner")
	next.p.ProbeResult(next.now, "u000", true, time.Millisecond, &LoadReport{Cold: true, InFlight: 1, Seq: 9})
	assert.Equal(t, 1, next.p.inFlight, "the old owner's call may still run")
	next.p.ProbeResult(next.now, "u000", true, time.Millisecond, &LoadReport{Cold: true, Seq: 10})
	assert.Equal(t, Cold, next.status("u000").Health)
	assert.Equal(t, 1, next.status("u000").InFlight, "its own report returns the allowance to 1")
}

// Guards against a count of the old owner's calls that outlives their deadlines when the upstream reports nothing.
func TestHandoverCountEndsWithTheDeadlines(t *testing.T) {
	old := newFixture(t, coldSpec())
	require.Len(t, old.offer(1), 1)
	next := old.successor(coldSpec(), WithHandover(old.now, old.p.Handover(old.now)))
	require.Empty(t, next.offer(1))
	next.advance(9900 * time.Millisecond)
	assert.Zero(t, next.p.inFlight)
	next.advance(100 * time.Millisecond)
	assert.Len(t, next.offer(1), 1)
}

// Guards against an ejected upstream that gets full load from the next owner at once, and against one that the previous
// owner never saw and that counts as warm.
func TestHandoverKeepsEjections(t *testing.T) {
	old := newFixture(t, testSpec(4, 3))
	old.p.eject(old.now, old.p.byName["u001"], "failing")
	old.advance(time.Millisecond)
	next := old.successor(testSpec(5, 3), WithHandover(old.now, old.p.Handover(old.now)))
	s := next.status("u001")
	assert.Equal(t, Ejected, s.Health)
	assert.Equal(t, "failing", s.Reason)
	assert.Equal(t, 1, s.Ejections)
	assert.Equal(t, Cold, next.status("u004").Health)
	next.advance(2 * time.Second)
	assert.Equal(t, 1, next.status("u001").Allowance)
}

// Guards against a new owner that adds its allowance to the calls of a lost owner: nothing until a probe shows them,
// and they count until a probe shows fewer.
func TestTakeoverWaitsForAProbeOfColdUpstreams(t *testing.T) {
	old := newFixture(t, coldSpec())
	require.Len(t, old.offer(1), 1)
	next := old.successor(coldSpec(), WithTakeover(old.now, old.now.Add(-2*time.Second)))
	require.Empty(t, next.offer(1))
	require.Equal(t, []string{"u000"}, next.advance(time.Second), "a probe is due at once")
	probe := func(running int, seq uint64) {
		next.p.ProbeResult(next.now, "u000", true, time.Millisecond, &LoadReport{Cold: true, InFlight: running, Seq: seq})
	}
	probe(1, 1)
	next.advance(4500 * time.Millisecond)
	require.Empty(t, next.offer(1), "the old call still runs")
	probe(0, 2)
	assert.Len(t, next.offer(1), 1)
}

// Guards against a cold upstream without reports that never gets calls after a take-over, and against a failed probe
// that counts as one that shows no calls.
func TestTakeoverWaitIsBounded(t *testing.T) {
	old := newFixture(t, coldSpec())
	next := old.successor(coldSpec(), WithTakeover(old.now, old.now.Add(-2*time.Second)))
	next.advance(time.Second)
	next.p.ProbeResult(next.now, "u000", false, time.Millisecond, nil)
	next.advance(3900 * time.Millisecond)
	require.Empty(t, next.offer(1))
	next.advance(100 * time.Millisecond)
	assert.Len(t, next.offer(1), 1)
}

// Guards against full load on an upstream that was cold under the lost owner, and against a long wait for warm ones.
func TestTakeoverLearnsFromTheFirstReports(t *testing.T) {
	f := newFixture(t, testSpec(2, 3))
	next := f.successor(testSpec(2, 3), WithTakeover(f.now, f.now.Add(-2*time.Second)))
	next.p.SetConfirmed(next.now, time.Time{})
	ids := next.offer(6)
	require.Len(t, ids, 2, "one call for each upstream whose state is unknown")
	next.p.Finish(next.now, ids[0], Outcome{Latency: time.Millisecond, Report: &LoadReport{Cold: true, Seq: 1}})
	next.p.Finish(next.now, ids[1], Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: 1}})
	next.confirm()
	next.advance(10 * time.Millisecond)
	assert.Zero(t, next.status("u000").InFlight, "cold, and the lost owner's calls are unknown")
	assert.Equal(t, 3, next.status("u001").InFlight)
}

// Guards against a limit that a change of owner lets through twice: once at each owner.
func TestBucketsSurviveAChangeOfOwner(t *testing.T) {
	spec := testSpec(25, 3)
	spec.Limits = []LimitSpec{{Customer: "a", Rate: 2, Burst: 10}, {Customer: "*", Rate: 3, Burst: 20}}
	passed := func(f *fixture, customer string) int {
		n := 0
		for range 30 {
			n += len(f.submit(Request{Class: "ordinary", Customer: customer}).Grants)
		}
		return n
	}
	old := newFixture(t, spec)
	require.Equal(t, 10, passed(old, "a"))
	require.Equal(t, 20, passed(old, "b"))
	old.advance(time.Second)
	h := old.p.Handover(old.now)
	planned := old.successor(spec, WithHandover(old.now, h))
	assert.Equal(t, 2, passed(planned, "a"))
	assert.Equal(t, 3, passed(planned, "b"))
	assert.Equal(t, 20, passed(planned, "c"), "a customer without calls keeps its burst")
	lost := old.successor(spec, WithTakeover(old.now, old.now.Add(-2*time.Second)))
	assert.Equal(t, 4, passed(lost, "a"))
	assert.Equal(t, 6, passed(lost, "c"))
}

// Guards against a hand over that is too large for one message, and against limits that it then lets through again.
func TestHandoverFitsOneMessage(t *testing.T) {
	spec := testSpec(32, 3)
	spec.Limits = []LimitSpec{{Customer: "*", Rate: 0.001, Burst: 2}}
	f := newFixture(t, spec)
	f.p.SetConfirmed(f.now, time.Time{})
	for i := range 2000 {
		name := fmt.Sprintf("%064d", i)
		f.submit(Request{Class: "ordinary", Customer: name})
		f.p.Cancel(f.now, f.id)
	}
	h := f.p.Handover(f.now)
	data, err := json.Marshal(h)
	require.NoError(t, err)
	t.Logf("%d bytes for %d upstreams and %d buckets", len(data), len(h.Upstreams), len(h.Buckets))
	assert.Less(t, len(data), 256<<10)
	assert.InDelta(t, 0.5, h.RestFill, 1e-3, "customers past the bound don't get a fresh burst")
}

// Guards against calls that a new owner refuses although every upstream is warm, because the calls that the previous owner
// ran at the time of the hand over, and that have ended since, take up all slots until a probe (TestRollingReplacement).
func TestHandoverOfBusyWarmUpstreamsServesAtOnce(t *testing.T) {
	spec := testSpec(2, 4)
	old := newFixture(t, spec).successor(spec, WithTakeover(benchStart, time.Time{}))
	require.Len(t, old.offer(2), 2, "one call on each upstream, until their first reports")
	next := old.successor(spec, WithHandover(old.now, old.p.Handover(old.now)))
	for seq := range successesPerStep {
		granted := next.offer(2)
		require.Len(t, granted, 2)
		for _, id := range granted {
			next.p.Finish(next.now, id, Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: uint64(seq + 1)}})
		}
	}
	assert.Len(t, next.offer(5), 4, "the allowance has doubled, and the reports show that the previous owner's calls have ended")
}
