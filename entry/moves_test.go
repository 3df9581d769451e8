package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/rollout"
)

// Guards against a bad version that keeps its traffic at some entries after another one has judged it, and against a
// version move that never starts between processes.
func TestBadVersionIsTakenBackEverywhere(t *testing.T) {
	w := newWorld(t)
	w.upstream("old", emulator.Config{Slots: 4})
	bad := w.upstream("new", emulator.Config{Slots: 4})
	require.NoError(t, bad.SetFaults(emulator.Faults{FailRoutes: map[string]float64{"/": 1}}))
	rule := fmt.Sprintf("rules:\n  versions: [{service: orders, from: \"1\", to: \"2\", by: %q, startPercent: 25}]\n",
		time.Now().Add(time.Hour).UTC().Format(time.RFC3339))
	w.apply(w.inventory(rule, target{"old", "dc-1", "1"}, target{"new", "dc-1", "2"}))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1")}
	w.settled(list...)
	l := w.startLoad(3, func(i int) *runningEntry { return list[i%2] })
	for _, e := range list {
		w.eventually("the move is taken back at "+e.host, func() bool {
			s := e.moves.statuses()
			return len(s) == 1 && s[0].State == rollout.RolledBack
		})
	}
	failures := l.stop()
	require.NotEmpty(t, failures, "the new version got its share")
	for _, a := range failures {
		require.Equal(t, http.StatusInternalServerError, a.status, "%+v", a)
	}
	before, _ := bad.Totals()
	for i := range 100 {
		w.call(list[i%2], http.MethodGet, "/x", nil).assertDone(t)
	}
	after, _ := bad.Totals()
	assert.Equal(t, before.Begun, after.Begun)
	for _, e := range list {
		w.eventually("the log holds the stop at "+e.host, func() bool {
			for _, m := range e.conf.Load().view.Moves {
				return m.Stopped
			}
			return false
		})
	}
}

// Guards against a stop that the log never holds because its append failed once: an entry that starts later would give the
// bad version its share again.
func TestStopReachesTheLogAfterAnOutage(t *testing.T) {
	w := newWorld(t)
	w.upstream("old", emulator.Config{Slots: 4})
	w.upstream("new", emulator.Config{Slots: 4})
	rule := fmt.Sprintf("rules:\n  versions: [{service: orders, from: \"1\", to: \"2\", by: %q, startPercent: 25}]\n",
		time.Now().Add(time.Hour).UTC().Format(time.RFC3339))
	w.apply(w.inventory(rule, target{"old", "dc-1", "1"}, target{"new", "dc-1", "2"}))
	e := w.entry("e1", "dc-1")
	w.settled(e)
	w.platform.SetFaults(standin.Faults{LogOutage: true})
	e.stops.Add(rollout.Stop{Service: "orders", Move: "1->2", Version: "2", Reason: "test", At: time.Now()})
	time.Sleep(1500 * time.Millisecond)
	w.platform.SetFaults(standin.Faults{})
	w.eventually("the log holds the stop", func() bool {
		for _, m := range e.conf.Load().view.Moves {
			return m.Stopped
		}
		return false
	})
}

// Guards against calls that are refused because the new version of a move has no usable upstream, although the old
// version could run them.
func TestCallsFallBackToTheOldVersion(t *testing.T) {
	w := newWorld(t)
	w.upstream("old", emulator.Config{Slots: 4})
	fresh := w.upstream("new", emulator.Config{Slots: 4})
	rule := fmt.Sprintf("rules:\n  versions: [{service: orders, from: \"1\", to: \"2\", by: %q, startPercent: 50}]\n",
		time.Now().Add(time.Hour).UTC().Format(time.RFC3339))
	w.apply(w.inventory(rule, target{"old", "dc-1", "1"}, target{"new", "dc-1", "2"}))
	e := w.entry("e1", "dc-1")
	w.settled(e)
	w.eventually("the new version gets calls", func() bool { return w.call(e, http.MethodGet, "/x", nil).upstream == "new" })
	fresh.Crash(time.Hour)
	for range 50 {
		got := w.call(e, http.MethodGet, "/x", nil)
		got.assertDone(t)
		require.Equal(t, "old", got.upstream)
	}
}

// Guards against a burst of appends when the log comes back: each entry may append the same stop or lease.
func TestAppendTurns(t *testing.T) {
	for _, members := range []int{1, 3, 16, 600} {
		for second := range int64(16) {
			due := 0
			for rank := range members {
				if appendTurn(time.Unix(second, 0), rank, members) {
					due++
				}
			}
			assert.Positive(t, due, "somebody has a turn each second")
			assert.LessOrEqual(t, due, max(1, members/appendTurns+1))
		}
	}
}

// Guards against statistics that lose on the way which calls were cold or not run: the judge would condemn a version for
// its cold start, or not wait for capacity.
func TestStatisticsSurviveTheWire(t *testing.T) {
	for _, s := range []rollout.Sample{
		{Route: "r", Class: "c", Version: "2", Calls: 7, Failures: 2, NotRun: 3},
		{Route: "r", Class: "c", Version: "2", Calls: 7, NotRun: 3, Cold: true},
		{Route: "r", Class: "c", Version: "2", NotRun: 1, Cold: true},
	} {
		s.Latency[3] = s.Calls
		assert.Equal(t, s, rollout.FromWire(wireSample(s)))
	}
}
