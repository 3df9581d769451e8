//go:build linux

package processtest

import (
	"fmt"
	"net/http"
	"sync"
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

// Guards against an owner that wakes and sends to cold upstreams on its old right, beside the new owner. The upstreams
// handle one request at a time, and their own record shows each request above that.
func TestFrozenOwnerSendsNothingToColdUpstreams(t *testing.T) {
	w := newWorld(t)
	cold := emulator.Cold{Allowance: 1, Step: 1 << 20, CollapseAt: 1 << 20} // one at a time until the end of the test
	for _, name := range []string{"u1", "u2"} {
		w.upstream(name, emulator.Config{Slots: 1, StartCold: true, Cold: cold, Routes: []emulator.Route{route("/x", 150*time.Millisecond)}})
	}
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	list := w.entries("dc-1", "e1", "e2", "e3")
	w.settled(list...)
	frozen := w.owner("dc-1", list...)
	rest := without(list, frozen)
	w.eventually("the owner serves the cold upstreams", func() bool {
		return w.call(frozen.callers, http.MethodGet, "/x/before", nil).outcome == "done"
	})
	goOn := frozen.freeze()
	w.eventually("another entry owns the pool and serves", func() bool {
		p := w.owner("dc-1", rest...)
		return p != nil && w.call(p.callers, http.MethodGet, "/x/meanwhile", nil).outcome == "done"
	})
	// The new owner is kept busy, and calls wait in the sockets of the frozen entry.
	l := w.newLoad()
	for n := range 4 {
		l.loop(func(i int) { w.call(rest[i%2].callers, http.MethodGet, fmt.Sprintf("/x/new/%d/%d", n, i), nil) })
	}
	var waiting sync.WaitGroup
	for n := range 8 {
		waiting.Go(func() { w.call(frozen.callers, http.MethodGet, fmt.Sprintf("/x/old/%d", n), nil) })
	}
	time.Sleep(time.Second)
	before := w.begun("u1", "u2")
	goOn()
	w.settled(list...)
	w.eventually("the upstreams run calls", func() bool { return w.begun("u1", "u2") > before+20 })
	l.stop()
	waiting.Wait()
	for name, u := range w.ups {
		assert.Equal(t, 1, u.State().MaxInFlight, "requests at a time on %s", name)
		_, shed := u.Totals()
		assert.Zero(t, shed, "requests refused by %s because it was full", name)
	}
	t.Logf("%d requests begun by the upstreams, %d of them after the entry woke", w.begun("u1", "u2"), w.begun("u1", "u2")-before)
}

func without(list []*process, gone *process) (out []*process) {
	for _, p := range list {
		if p != gone {
			out = append(out, p)
		}
	}
	return out
}
