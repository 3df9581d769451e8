package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two entries of different data centres that both send requests to cold upstreams of a failed third one,
// and against an entry that does so while entries of that data centre are alive behind a network partition.
func TestFallbackToColdPoolsOfOtherDataCentres(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Distance = func(_, b string) time.Duration {
		return map[string]time.Duration{"near": 1, "alsoNear": 1, "far": 2}[b] * time.Millisecond
	}
	now := time.Unix(1000, 0)
	confirmed := func(own, pool string, others ...string) bool {
		self := Member{Incarnation: "0000000000000001", Host: "self", DataCentre: own}
		table := New(self, cfg, now)
		hosts := []Host{{Name: "self", DataCentre: own}}
		for _, dc := range others {
			hosts = append(hosts, Host{Name: "host-" + dc, DataCentre: dc})
		}
		table.SetRoster(now, hosts)
		at := now
		for range 100 {
			at = at.Add(100 * time.Millisecond)
			table.Tick(at)
			table.Heartbeat(at)
		}
		require.False(t, table.ConfirmedUntil(at).IsZero(), "the local data centre is confirmed")
		return table.ConfirmedFor(at, PoolID{Service: "s", DataCentre: pool}).After(at)
	}
	require.True(t, confirmed("near", "near"), "a pool of the local data centre")
	require.True(t, confirmed("near", "lost"), "no other data centre on the roster")
	require.True(t, confirmed("near", "lost", "far"), "the nearest of two data centres")
	require.False(t, confirmed("far", "lost", "near"), "a nearer data centre may own it, reachable or not")
	require.False(t, confirmed("near", "lost", "alsoNear"), "two data centres at the same distance")
	require.False(t, confirmed("near", "lost", "lost"), "entries of that data centre may be alive behind a partition")
}
