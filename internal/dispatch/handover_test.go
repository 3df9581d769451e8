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

// nextOwner returns a fixture for the next owner of the same upstreams, at the same time.
func (f *fixture) nextOwner(spec Spec, options ...Option) *fixture {
	next := &fixture{t: f.t, rng: f.rng, now: f.now, id: 1 << 32, grants: map[string]int{}, refused: map[Reason]int{}}
	next.pool = New(spec, rand.New(rand.NewSource(1)), options...)
	next.confirm()
	return next
}

// submitCalls submits the given number of calls and returns the IDs of all calls that were granted.
func (f *fixture) submitCalls(calls int) (granted []uint64) {
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

// Guards against a planned handover after which a cold upstream counts as warm, or runs its full allowance of new calls
// in addition to those of the previous owner.
func TestHandoverKeepsColdUpstreamsWithinTheirAllowance(t *testing.T) {
	old := newFixture(t, coldSpec())
	for range successesPerRampStep {
		old.pool.Finish(old.now, old.submitCalls(1)[0], Outcome{Latency: time.Millisecond})
	}
	require.Len(t, old.submitCalls(1), 1)
	data, err := json.Marshal(old.pool.Handover(old.now))
	require.NoError(t, err)
	var h Handover
	require.NoError(t, json.Unmarshal(data, &h))
	spec := testSpec(1, 6)
	next := old.nextOwner(spec, WithHandover(old.now, h))
	assert.Len(t, next.submitCalls(4), 1, "allowance 2, of which a call of the previous owner uses one")
	next.pool.ProbeResult(next.now, "u000", true, time.Millisecond, &LoadReport{Cold: true, InFlight: 1, Seq: 9})
	assert.Equal(t, 1, next.pool.inFlight, "the previous owner's call may still run")
	next.pool.ProbeResult(next.now, "u000", true, time.Millisecond, &LoadReport{Cold: true, Seq: 10})
	assert.Equal(t, Cold, next.status("u000").Health)
	assert.Equal(t, 1, next.status("u000").InFlight, "its own report returns the allowance to 1")
}

// Guards against counting the calls of the previous owner beyond their deadlines when the upstream sends no report.
func TestHandoverCountEndsWithTheDeadlines(t *testing.T) {
	old := newFixture(t, coldSpec())
	require.Len(t, old.submitCalls(1), 1)
	next := old.nextOwner(coldSpec(), WithHandover(old.now, old.pool.Handover(old.now)))
	require.Empty(t, next.submitCalls(1))
	next.advance(9900 * time.Millisecond)
	assert.Zero(t, next.pool.inFlight)
	next.advance(100 * time.Millisecond)
	assert.Len(t, next.submitCalls(1), 1)
}

// Guards against full load from the next owner on an ejected upstream, and against treating an upstream that the
// previous owner did not know as warm.
func TestHandoverKeepsEjections(t *testing.T) {
	old := newFixture(t, testSpec(4, 3))
	old.pool.eject(old.now, old.pool.upstreamByName["u001"], "failing")
	old.advance(time.Millisecond)
	next := old.nextOwner(testSpec(5, 3), WithHandover(old.now, old.pool.Handover(old.now)))
	s := next.status("u001")
	assert.Equal(t, Ejected, s.Health)
	assert.Equal(t, "failing", s.Reason)
	assert.Equal(t, 1, s.Ejections)
	assert.Equal(t, Cold, next.status("u004").Health)
	next.advance(2 * time.Second)
	assert.Equal(t, 1, next.status("u001").Allowance)
}

// Guards against a new owner that uses the full allowance of a cold upstream in addition to the calls of a lost owner.
// It must send nothing until a probe shows these calls, and must count them until a probe shows fewer.
func TestTakeoverWaitsForAProbeOfColdUpstreams(t *testing.T) {
	old := newFixture(t, coldSpec())
	require.Len(t, old.submitCalls(1), 1)
	next := old.nextOwner(coldSpec(), WithTakeover(old.now, old.now.Add(-2*time.Second)))
	require.Empty(t, next.submitCalls(1))
	require.Equal(t, []string{"u000"}, next.advance(time.Second), "a probe is due at once")
	probe := func(running int, seq uint64) {
		next.pool.ProbeResult(next.now, "u000", true, time.Millisecond, &LoadReport{Cold: true, InFlight: running, Seq: seq})
	}
	probe(1, 1)
	next.advance(4500 * time.Millisecond)
	require.Empty(t, next.submitCalls(1), "the call of the lost owner still runs")
	probe(0, 2)
	assert.Len(t, next.submitCalls(1), 1)
}

// Guards against a cold upstream without reports that never gets calls after a takeover, and against a failed probe
// that counts as proof that no calls run.
func TestTakeoverWaitIsBounded(t *testing.T) {
	old := newFixture(t, coldSpec())
	next := old.nextOwner(coldSpec(), WithTakeover(old.now, old.now.Add(-2*time.Second)))
	next.advance(time.Second)
	next.pool.ProbeResult(next.now, "u000", false, time.Millisecond, nil)
	next.advance(3900 * time.Millisecond)
	require.Empty(t, next.submitCalls(1))
	next.advance(100 * time.Millisecond)
	assert.Len(t, next.submitCalls(1), 1)
}

// Guards against full load on an upstream that was cold under the lost owner, and against a long delay for warm ones.
func TestTakeoverLearnsFromTheFirstReports(t *testing.T) {
	f := newFixture(t, testSpec(2, 3))
	next := f.nextOwner(testSpec(2, 3), WithTakeover(f.now, f.now.Add(-2*time.Second)))
	next.pool.SetConfirmed(next.now, time.Time{})
	ids := next.submitCalls(6)
	require.Len(t, ids, 2, "one call for each upstream whose state is unknown")
	next.pool.Finish(next.now, ids[0], Outcome{Latency: time.Millisecond, Report: &LoadReport{Cold: true, Seq: 1}})
	next.pool.Finish(next.now, ids[1], Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: 1}})
	next.confirm()
	next.advance(10 * time.Millisecond)
	assert.Zero(t, next.status("u000").InFlight, "cold, and the lost owner's calls are unknown")
	assert.Equal(t, 3, next.status("u001").InFlight)
}

// Guards against a rate limit that is granted twice, once by each owner, when the owner changes.
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
	h := old.pool.Handover(old.now)
	planned := old.nextOwner(spec, WithHandover(old.now, h))
	assert.Equal(t, 2, passed(planned, "a"))
	assert.Equal(t, 3, passed(planned, "b"))
	assert.Equal(t, 20, passed(planned, "c"), "a customer without calls keeps its burst")
	lost := old.nextOwner(spec, WithTakeover(old.now, old.now.Add(-2*time.Second)))
	assert.Equal(t, 4, passed(lost, "a"))
	assert.Equal(t, 6, passed(lost, "c"))
}

// Guards against a handover that is too large for one message, and against limits that are granted again because their
// buckets were left out.
func TestHandoverFitsOneMessage(t *testing.T) {
	spec := testSpec(32, 3)
	spec.Limits = []LimitSpec{{Customer: "*", Rate: 0.001, Burst: 2}}
	f := newFixture(t, spec)
	f.pool.SetConfirmed(f.now, time.Time{})
	for i := range 2000 {
		name := fmt.Sprintf("%064d", i)
		f.submit(Request{Class: "ordinary", Customer: name})
		f.pool.Cancel(f.now, f.id)
	}
	h := f.pool.Handover(f.now)
	data, err := json.Marshal(h)
	require.NoError(t, err)
	t.Logf("%d bytes for %d upstreams and %d buckets", len(data), len(h.Upstreams), len(h.Buckets))
	assert.Less(t, len(data), 256<<10)
	assert.InDelta(t, 0.5, h.RestFill, 1e-3, "customers beyond the bound do not get another burst")
}

// Guards against a new owner that refuses calls although every upstream is warm. The calls that the previous owner ran
// at the handover would occupy all slots until a probe, although they have ended (TestRollingReplacement).
func TestHandoverOfBusyWarmUpstreamsServesAtOnce(t *testing.T) {
	spec := testSpec(2, 4)
	old := newFixture(t, spec).nextOwner(spec, WithTakeover(testStart, time.Time{}))
	require.Len(t, old.submitCalls(2), 2, "one call on each upstream, until their first reports")
	next := old.nextOwner(spec, WithHandover(old.now, old.pool.Handover(old.now)))
	for seq := range successesPerRampStep {
		granted := next.submitCalls(2)
		require.Len(t, granted, 2)
		for _, id := range granted {
			next.pool.Finish(next.now, id, Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: uint64(seq + 1)}})
		}
	}
	assert.Len(t, next.submitCalls(5), 4, "the allowance has doubled, and the previous owner's calls have ended")
}
