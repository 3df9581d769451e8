package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against ignoring a reported cold start because the load figures in the same report lag behind the calls.
func TestLaggingLoadFiguresDoNotHideColdStart(t *testing.T) {
	f := newFixture(t, testSpec(1, 6))
	seq := uint64(0)
	idleReport := func(cold bool) *LoadReport {
		seq++
		return &LoadReport{Seq: seq, Cold: cold}
	}
	var running []uint64
	finishOldest := func(rep *LoadReport) {
		f.pool.Finish(f.now, running[0], Outcome{Latency: 10 * time.Millisecond, Report: rep})
		running = running[1:]
	}
	for range 100 {
		for len(running) < 4 {
			running = append(running, f.submitCalls(1)...)
		}
		f.advance(time.Millisecond)
		finishOldest(idleReport(false))
	}
	require.False(t, f.status("u000").ReportTrusted)
	finishOldest(idleReport(true))
	assert.Equal(t, Cold, f.status("u000").Health)
}

// Guards against taking the response of a long call, whose report has an older sequence number, for a restart; and
// against missing a restart after few reports.
func TestRestartIsDistinguishedFromALateReport(t *testing.T) {
	f := newFixture(t, testSpec(1, 6))
	long := f.submitCalls(1)[0]
	finish := func(id uint64, seq uint64, cold bool) {
		f.advance(time.Millisecond)
		f.pool.Finish(f.now, id, Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: seq, Cold: cold, InFlight: 1}})
		f.advance(time.Millisecond)
	}
	finish(f.submitCalls(1)[0], 500, false)
	finish(long, 1, false)
	require.Equal(t, Healthy, f.status("u000").Health)
	running := f.submitCalls(1)[0]
	finish(f.submitCalls(1)[0], 501, false)
	finish(running, 490, true)
	assert.Equal(t, Cold, f.status("u000").Health, "a lower sequence number with a reported cold start")

	f = newFixture(t, testSpec(1, 6))
	finish(f.submitCalls(1)[0], 5, false)
	finish(f.submitCalls(1)[0], 1, false)
	assert.Equal(t, Cold, f.status("u000").Health, "a lower sequence number in the response to a later call")
}

// Guards against simultaneous restarts that are each detected only by calls over the limit. After two of them, the
// other upstreams must be limited to one call at a time until their next response, or for 200 ms without one.
func TestCorrelatedColdStartsLimitThePeers(t *testing.T) {
	f := newFixture(t, testSpec(5, 3))
	reportColdStart := func() {
		ev := f.submit(Request{Class: "ordinary"})
		require.Len(t, ev.Grants, 1)
		f.pool.Finish(f.now, f.id, Outcome{Latency: time.Millisecond, Report: &LoadReport{Cold: true, Seq: 1}})
	}
	reportColdStart()
	require.Equal(t, 12+1, f.pool.Summary(f.now).Slots)
	f.pool.SetConfirmed(f.now, time.Time{})
	reportColdStart()
	ids := f.submitCalls(9)
	require.Len(t, ids, 3, "one call for each of the three upstreams that are not known to be cold")
	f.pool.Finish(f.now, ids[0], Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: 1}})
	assert.Equal(t, 5, f.pool.Summary(f.now).InFlight, "a response that does not show a cold start ends the limit")
	f.advance(suspicionTimeout + maintenanceInterval)
	f.advance(suspicionTimeout + maintenanceInterval)
	assert.Equal(t, 8, f.pool.Summary(f.now).InFlight)
}
