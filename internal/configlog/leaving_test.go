package configlog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a cancelled leaving that takes a data centre out of service again: an entry restarts from a snapshot after
// the cancelling rule was removed from the configuration, and a peer with outdated state forwards the fact.
func TestLiftedLeavingStaysLiftedAfterARestart(t *testing.T) {
	f := newRecordAppender(t)
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
	require.True(t, facts.Add(LeavingState{DataCentre: "dc1", Base: 2}), "a leaving after the cancellation")
	require.True(t, facts.Add(LeavingState{DataCentre: "dc2", Base: 1}), "never cancelled")
}

// Guards against a snapshot that grows with the data centres of all earlier configurations.
func TestLiftedLeavingsAreBounded(t *testing.T) {
	f := NewFold()
	for i := range 3 * maxLifted {
		f.lifted[string(rune('A'+i))] = int64(i)
	}
	f.recordLifts(nil, nil)
	require.Len(t, f.lifted, maxLifted)
	require.Equal(t, int64(2*maxLifted), f.lifts()[0].Version, "the oldest are discarded")
}
