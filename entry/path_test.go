package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/discovery"
	"boragehinge.example/boragehinge/internal/emulator"
)

// Guards against a daemon whose parts work and whose whole path doesn't: configuration from the log, ownership, a call
// that arrives at the owner and one that is forwarded, and the answer to an address request.
func TestCallDirectAndForwarded(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.upstream("u2", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	a, b := w.entry("e1", "dc-1"), w.entry("e2", "dc-1")
	w.settled(a, b)
	for _, e := range []*runningEntry{a, b} {
		got := w.call(e, http.MethodGet, "/lookup", map[string]string{"Boragehinge-Request-Id": "id-" + e.host})
		got.assertDone(t)
		assert.Equal(t, "id-"+e.host, got.id)
		assert.Equal(t, 1, w.executions("id-"+e.host))
	}
	owner := w.owner("dc-1", a, b)
	require.NotNil(t, owner)
	assert.Len(t, append(keys(a), keys(b)...), 1, "one pool has one owner")

	callers, _, _ := a.Addresses()
	w.eventually("all windows are known", func() bool {
		resp, err := w.client.Get("http://" + callers + AddressesPath + "?service=orders")
		require.NoError(t, err)
		defer resp.Body.Close() //nolint:errcheck // read below
		var got discovery.Answer
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
		require.Len(t, got.Addresses, 2)
		first, _, _ := owner.Addresses()
		require.Equal(t, first, got.Addresses[0].Address, "the owner comes first")
		return got.Addresses[0].RequestIDPrefix != "" && got.Addresses[1].RequestIDPrefix != ""
	})
}

func keys(e *runningEntry) (list []string) {
	for key := range e.ownership.all() {
		list = append(list, key)
	}
	return list
}
