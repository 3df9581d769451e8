package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a report of cold start that is ignored because the load figures beside it lag behind the calls.
func TestLaggingFiguresDontHideColdStart(t *testing.T) {
	f := newFixture(t, testSpec(1, 6))
	seq := uint64(0)
	idle := func(cold bool) *LoadReport {
		seq++
		return &LoadReport{Seq: seq, Cold: cold}
	}
	var open []uint64
	end := func(rep *LoadReport) {
		f.p.Finish(f.now, open[0], Outcome{Latency: 10 * time.Millisecond, Report: rep})
		open = open[1:]
	}
	for range 100 {
		for len(open) < 4 {
			open = append(open, f.offer(1)...)
		}
		f.advance(time.Millisecond)
		end(idle(false))
	}
	require.False(t, f.status("u000").ReportTrusted)
	end(idle(true))
	assert.Equal(t, Cold, f.status("u000").Health)
}

// Guards against a long call, whose report is older than that of later calls, being taken for a restart; and against a
// restart that is overlooked because few reports came before it.
func TestRestartIsToldFromALateReport(t *testing.T) {
	f := newFixture(t, testSpec(1, 6))
	long := f.offer(1)[0]
	finish := func(id uint64, seq uint64, cold bool) {
		f.advance(time.Millisecond)
		f.p.Finish(f.now, id, Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: seq, Cold: cold, InFlight: 1}})
		f.advance(time.Millisecond)
	}
	finish(f.offer(1)[0], 500, false)
	finish(long, 1, false)
	require.Equal(t, Healthy, f.status("u000").Health)
	running := f.offer(1)[0]
	finish(f.offer(1)[0], 501, false)
	finish(running, 490, true)
	assert.Equal(t, Cold, f.status("u000").Health, "a lower number that says cold")

	f = newFixture(t, testSpec(1, 6))
	finish(f.offer(1)[0], 5, false)
	finish(f.offer(1)[0], 1, false)
	assert.Equal(t, Cold, f.status("u000").Health, "a lower number in a response to a later call")
}

// Guards against many restarts at once that are each found by calls over the limit: after two, the others run one call
// at a time until their next response, and no longer than 200 ms without one.
func TestCommonColdStartsLimitThePeers(t *testing.T) {
	f := newFixture(t, testSpec(5, 3))
	sign := func() {
		ev := f.submit(Request{Class: "ordinary"})
		require.Len(t, ev.Grants, 1)
		f.p.Finish(f.now, f.id, Outcome{Latency: time.Millisecond, Report: &LoadReport{Cold: true, Seq: 1}})
	}
	sign()
	require.Equal(t, 12+1, f.p.Summary(f.now).Slots)
	f.p.SetConfirmed(f.now, time.Time{})
	sign()
	ids := f.offer(9)
	require.Len(t, ids, 3, "one call for each of the three upstreams that are not known to be cold")
	f.p.Finish(f.now, ids[0], Outcome{Latency: time.Millisecond, Report: &LoadReport{Seq: 1}})
	assert.Equal(t, 5, f.p.Summary(f.now).InFlight, "a response without a sign ends the limit")
	f.advance(suspectFor + maintenanceInterval)
	f.advance(suspectFor + maintenanceInterval)
	assert.Equal(t, 8, f.p.Summary(f.now).InFlight)
}
