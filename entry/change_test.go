package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/operators"
)

const leavingRule = `rules:
  dataCentres: [{dataCentre: dc-1, state: leaving, reason: power work}]
`

// Guards against a configuration that only some entries put into force, against a data centre that still gets calls after
// it left, and against upstreams that return at full load.
func TestDataCentreLeavesAndReturnsCold(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.upstream("u2", emulator.Config{})
	targets := []target{{"u1", "dc-1", "1"}, {"u2", "dc-2", "1"}}
	w.apply(w.inventory("", targets...))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1"), w.entry("e3", "dc-2")}
	w.settled(list...)
	w.call(list[0], http.MethodGet, "/x", nil).assertDone(t)

	w.apply(w.inventory(leavingRule, targets...))
	w.settled(list...)
	before, _ := w.ups["u1"].Totals()
	for range 30 {
		for _, e := range list {
			got := w.call(e, http.MethodGet, "/x", nil)
			got.assertDone(t)
			assert.Equal(t, "u2", got.upstream)
		}
	}
	after, _ := w.ups["u1"].Totals()
	assert.Equal(t, before.Begun, after.Begun, "the leaving data centre ran new calls")

	w.apply(w.inventory("", targets...))
	w.settled(list...)
	owner := w.owner("dc-1", list...)
	require.NotNil(t, owner)
	w.eventually("the pool reopens cold", func() bool {
		status := owner.upstreamStates(time.Now())
		return len(status) > 0 && status[0].Health == dispatch.Cold && status[0].Allowance == 1
	})
	w.eventually("the data centre serves again", func() bool { return w.call(list[0], http.MethodGet, "/x", nil).upstream == "u1" })
}

// Guards against an urgent leaving that needs the log, or that only the entry that was told follows.
func TestUrgentLeavingWithoutLog(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.upstream("u2", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-2", "1"}))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-2")}
	w.settled(list...)
	faults := w.platform.Faults()
	faults.LogOutage = true
	w.platform.SetFaults(faults)
	result, err := list[1].Leave(t.Context(), operators.Leaving{DataCentre: "dc-1", Reason: "flood", Operator: "test"})
	require.NoError(t, err)
	assert.False(t, result.Logged)
	for _, e := range list {
		w.eventually("the fact is known to "+e.host, func() bool { return len(e.conf.Load().leaving) == 1 })
		w.eventually("the pool is closed", func() bool { return w.call(e, http.MethodGet, "/x", nil).upstream == "u2" })
	}
	before, _ := w.ups["u1"].Totals()
	for range 20 {
		w.call(list[0], http.MethodGet, "/x", nil).assertDone(t)
	}
	after, _ := w.ups["u1"].Totals()
	assert.Equal(t, before.Begun, after.Begun)
	w.platform.SetFaults(faultsOff(w))
	w.eventually("the log holds the fact", func() bool {
		fold, err := configlog.Load(t.Context(), w.platform)
		return err == nil && len(fold.View().Leaving) == 1
	})
}

// Guards against a removed pool that still gets calls, that keeps its connections, or whose running call is cut.
func TestRemovedPoolFinishesItsCalls(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{Routes: slowRoutes(800 * time.Millisecond)})
	w.upstream("u2", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-2", "1"}))
	e := w.entry("e1", "dc-1")
	w.settled(e)
	slow := make(chan answer, 1)
	go func() { slow <- w.call(e, http.MethodGet, "/slow/1", nil) }()
	w.eventually("the call runs", func() bool { return w.ups["u1"].State().InFlight == 1 })
	w.apply(w.inventory("", target{"u2", "dc-2", "1"}))
	w.settled(e)
	for range 20 {
		got := w.call(e, http.MethodGet, "/x", nil)
		got.assertDone(t)
		assert.Equal(t, "u2", got.upstream)
	}
	(<-slow).assertDone(t)
	w.eventually("the pool ends", func() bool { return e.ownership.find("orders/dc-1/0") == nil && w.ups["u1"].OpenConnections() == 0 })
}

// Guards against calls to an upstream that the configuration in force no longer has.
func TestRemovedUpstreamGetsNothing(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.upstream("u2", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	e := w.entry("e1", "dc-1")
	w.settled(e)
	w.apply(w.inventory("", target{"u2", "dc-1", "1"}))
	w.settled(e)
	for range 20 {
		assert.Equal(t, "u2", w.call(e, http.MethodGet, "/x", nil).upstream)
	}
}
