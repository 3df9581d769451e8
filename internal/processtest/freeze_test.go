//go:build linux

package processtest

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/internal/emulator"
)

// Guards against a frozen entry whose pools nobody takes over, against calls that run twice because the entry wakes with
// them in its memory or its sockets, and against an entry that doesn't rejoin.
func TestFrozenEntryUnderLoad(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"u1", "u2"} {
		w.upstream(name, emulator.Config{Slots: 4, Routes: []emulator.Route{route("/orders", 20*time.Millisecond)}})
	}
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	list := w.entries("dc-1", "e1", "e2", "e3")
	w.settled(list...)
	l := w.newLoad()
	l.resent(6, list)
	frozen := w.owner("dc-1", list...)
	rest := without(list, frozen)
	l.idempotent(2, list)
	l.more(50)
	goOn := frozen.freeze()
	w.eventually("another entry owns the pool", func() bool { return w.owner("dc-1", rest...) != nil })
	l.more(50)
	time.Sleep(4 * time.Second) // longer than the detection of a dead peer and the transition of views
	goOn()
	w.settled(list...)
	w.eventually("the entry owns its pool again", func() bool { return w.owner("dc-1", frozen) != nil })
	l.more(50)
	l.stop()
	assert.Empty(t, l.bad)
	l.assertAtMostOnce(50)
}

func without(list []*process, gone *process) (out []*process) {
	for _, p := range list {
		if p != gone {
			out = append(out, p)
		}
	}
	return out
}
