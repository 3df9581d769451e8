package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/emulator"
)

// BenchmarkCall compares a direct call to the upstream with a call through the pool's owner and a call that another entry
// forwards to the owner. The upstream's service time is the same in all three, so the differences are the overhead of the
// entries.
func BenchmarkCall(b *testing.B) {
	tc := newTestCluster(b)
	tc.upstream("u1", emulator.Config{Slots: 64, Routes: []emulator.Route{{Prefix: "/", Time: emulator.Distribution{Kind: emulator.Fixed, Typical: time.Microsecond}}}})
	tc.apply(tc.inventory("", target{"u1", "dc-1", "1"}))
	list := []*runningEntry{tc.startEntry("e1", "dc-1"), tc.startEntry("e2", "dc-1")}
	tc.awaitReady(list...)
	owner, other := list[0], list[1]
	if tc.owner("dc-1", list...) == other {
		owner, other = other, owner
	}
	address := func(e *runningEntry) string {
		callers, _, _ := e.Addresses()
		return callers
	}
	for _, c := range []struct{ name, address string }{
		{"upstream", tc.upstreams["u1"].Address()}, {"owner", address(owner)}, {"forwarded", address(other)},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				resp, err := tc.client.Get("http://" + c.address + "/x")
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, resp.StatusCode)
				_ = resp.Body.Close()
			}
		})
	}
}
