package configlog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a lifted leaving that takes a data centre out again: an entry restarts after the rule that lifted it
// has left the configuration, reads a snapshot, and an old peer passes the fact on.
func TestLiftedLeavingStaysLiftedAfterARestart(t *testing.T) {
	f := newFeeder(t)
	f.add(changeRecord("a", 0, inventoryJSON(3, "")))
	f.add(changeRecord("b", 1, inventoryJSON(4, `{"dataCentres":[{"dataCentre":"dc1","state":"active"}]}`)))
	f.add(changeRecord("c", 2, inventoryJSON(4, "")))
	data, err := json.Marshal(f.fold.exportState())
	require.NoError(t, err)
	var st state
	require.NoError(t, json.Unmarshal(data, &st))
	restarted := NewFold()
	restarted.importState(st, f.fold.Current().Inventory)
	var facts LeavingFacts
	facts.Observe(restarted.View())
	require.False(t, facts.Add(LeavingState{DataCentre: "dc1", Base: 1}))
	require.True(t, facts.Add(LeavingState{DataCentre: "dc1", Base: 2}), "a leaving after the lift")
	require.True(t, facts.Add(LeavingState{DataCentre: "dc2", Base: 1}), "never lifted")
}

// Guards against a snapshot that grows with the data centres of all earlier configurations.
func TestLiftedLeavingsAreBounded(t *testing.T) {
	f := NewFold()
	for i := range 3 * maxLifted {
		f.lifted[string(rune('A'+i))] = int64(i)
	}
	f.noteLifts(nil, nil)
	require.Len(t, f.lifted, maxLifted)
	require.Equal(t, int64(2*maxLifted), f.lifts()[0].Version, "the oldest are forgotten")
}
