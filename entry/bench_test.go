package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/emulator"
)

// BenchmarkCall compares a call to the upstream itself with one through its owner and one that another entry forwards.
// The upstream's own time is the same for all three; the difference is what the entries add.
func BenchmarkCall(b *testing.B) {
	w := newWorld(b)
	w.upstream("u1", emulator.Config{Slots: 64, Routes: []emulator.Route{{Prefix: "/", Time: emulator.Distribution{Kind: emulator.Fixed, Typical: time.Microsecond}}}})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1")}
	w.settled(list...)
	owner, other := list[0], list[1]
	if w.owner("dc-1", list...) == other {
		owner, other = other, owner
	}
	address := func(e *runningEntry) string {
		callers, _, _ := e.Addresses()
		return callers
	}
	for _, c := range []struct{ name, address string }{
		{"upstream", w.ups["u1"].Address()}, {"owner", address(owner)}, {"forwarded", address(other)},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				resp, err := w.client.Get("http://" + c.address + "/x")
				require.NoError(b, err)
				require.Equal(b, http.StatusOK, resp.StatusCode)
				_ = resp.Body.Close()
			}
		})
	}
}
