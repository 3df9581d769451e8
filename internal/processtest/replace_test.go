//go:build linux

package processtest

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice/standin"
)

// Guards against a host that is replaced under the same name and address and stays out, or is taken for its predecessor,
// while the platform's list is old and names a dead host besides.
func TestHostIsReplacedAgainAndAgain(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{Slots: 4})
	w.upstream("u2", emulator.Config{Slots: 4})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	list := w.entries("dc-1", "e1", "e2", "e3")
	w.settled(list...)
	ghost := newHost(t, "gone", "dc-1")
	w.faults(func(f *standin.Faults) { f.GhostHosts = append(f.GhostHosts, ghost.listed()) })
	l := w.newLoad()
	l.idempotent(3, list)
	l.resent(4, slices.Clone(list))
	l.more(50)
	for range 3 {
		i := 0
		for n, p := range list {
			if p == w.owner("dc-1", list...) {
				i = n
			}
		}
		before, ok := list[i].state()
		assert.True(t, ok)
		list[i].kill()
		list[i] = w.run(list[i].host)
		w.settled(list...)
		after, ok := list[i].state()
		assert.True(t, ok)
		assert.NotEqual(t, before.Self.Incarnation, after.Self.Incarnation)
		w.eventually("the view is confirmed", func() bool { s, ok := list[i].state(); return ok && s.Self.ViewConfirmed })
		l.more(50)
	}
	l.stop()
	assert.Empty(t, l.bad)
	l.assertAtMostOnce(50)
}
