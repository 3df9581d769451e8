package entry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/emulator"
)

// load calls the entries that pick returns, from several callers, until it is stopped.
type load struct {
	w       *world
	wg      sync.WaitGroup
	stopped atomic.Bool
	done    atomic.Int64
	mu      sync.Mutex
	bad     []answer
}

func (w *world) startLoad(callers int, pick func(i int) *runningEntry) *load {
	l := &load{w: w}
	for c := range callers {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			for i := 0; !l.stopped.Load(); i++ {
				l.take(w.call(pick(c+i), http.MethodGet, fmt.Sprintf("/x/%d/%d", c, i), nil))
				time.Sleep(2 * time.Millisecond)
			}
		}()
	}
	return l
}

func (l *load) take(a answer) {
	if a.err == nil && a.status == http.StatusOK && a.outcome == "done" {
		l.done.Add(1)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bad = append(l.bad, a)
}

func (l *load) stop() []answer {
	l.stopped.Store(true)
	l.wg.Wait()
	return l.bad
}

func slowRoutes(d time.Duration) []emulator.Route {
	return []emulator.Route{{Prefix: "/slow", Time: emulator.Distribution{Kind: emulator.Fixed, Typical: d}}}
}

// Guards against a planned stop that cuts or refuses requests: those that run, those of callers that still hold the old
// address, and those that other entries forward until they know the new owner.
func TestPlannedStopUnderLoad(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"u1", "u2"} {
		w.upstream(name, emulator.Config{Slots: 4, Routes: slowRoutes(700 * time.Millisecond)})
	}
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	a, b := w.entry("e1", "dc-1"), w.entry("e2", "dc-1")
	w.settled(a, b)
	leaving, other := a, b
	if w.owner("dc-1", a, b) == b {
		leaving, other = b, a
	}
	var known atomic.Bool // callers keep the address for the promised time, and not longer
	known.Store(true)
	l := w.startLoad(3, func(i int) *runningEntry {
		if i%2 == 0 && known.Load() {
			return leaving
		}
		return other
	})
	w.eventually("load runs", func() bool { return l.done.Load() > 50 })
	slow := make(chan answer, 1)
	go func() { slow <- w.call(leaving, http.MethodGet, "/slow/1", nil) }()
	leaving.stop()
	time.AfterFunc(leaving.opt.keep, func() { known.Store(false) })
	select {
	case <-leaving.done:
	case <-time.After(patience):
		t.Fatal("the entry doesn't stop")
	}
	require.NoError(t, leaving.err)
	(<-slow).assertDone(t)
	w.listHosts()
	enough := l.done.Load() + 50
	w.eventually("the other entry serves alone", func() bool { return l.done.Load() > enough })
	assert.Empty(t, l.stop())
}

// Guards against a replacement of all entries, one after the other, that cuts or refuses a request.
func TestRollingReplacementUnderLoad(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"u1", "u2"} {
		w.upstream(name, emulator.Config{Slots: 4})
	}
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}))
	current := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1"), w.entry("e3", "dc-1")}
	w.settled(current...)
	var mu sync.Mutex
	named := append([]*runningEntry{}, current...) // what callers' address answers name
	l := w.startLoad(4, func(i int) *runningEntry {
		mu.Lock()
		defer mu.Unlock()
		return named[i%len(named)]
	})
	for i := range current {
		next := w.entry(fmt.Sprintf("n%d", i+1), "dc-1")
		w.eventually("the new entry is ready", func() bool { ok, _ := next.Ready(); return ok })
		old := current[i]
		mu.Lock()
		named = append(named, next)
		mu.Unlock()
		old.stop()
		time.AfterFunc(old.opt.keep, func() {
			mu.Lock()
			defer mu.Unlock()
			named = named[1:]
		})
		<-old.done
		require.NoError(t, old.err)
		w.listHosts()
		current[i] = next
	}
	for _, e := range current {
		w.eventually("the new entries know each other", func() bool { return len(e.node.View().Members) == len(current) })
	}
	enough := l.done.Load() + 50
	w.eventually("the new entries serve", func() bool { return l.done.Load() > enough })
	assert.Empty(t, l.stop())
}

// Guards against a second signal that waits for running requests, or that doesn't report what it cut.
func TestSecondSignalEndsAtOnce(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{Routes: slowRoutes(20 * time.Second)})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}))
	e := w.entry("e1", "dc-1")
	w.settled(e)
	slow := make(chan answer, 1)
	go func() { slow <- w.call(e, http.MethodGet, "/slow/1", nil) }()
	w.eventually("the call runs", func() bool { return w.ups["u1"].State().InFlight == 1 })
	e.stop()
	e.cut()
	<-e.done
	assert.ErrorIs(t, e.err, ErrCut)
	got := <-slow
	assert.False(t, got.err == nil && got.outcome == "done")
}
