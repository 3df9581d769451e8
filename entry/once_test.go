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

// Guards against two runs of a non-idempotent call and against a false "not run": callers resend each call to other
// entries while upstreams lose connections, an entry is killed and another one stops as planned.
func TestAtMostOnceUnderFaults(t *testing.T) {
	w := newWorld(t)
	for _, name := range []string{"u1", "u2", "u3"} {
		w.upstream(name, emulator.Config{Slots: 4})
	}
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}, target{"u2", "dc-1", "1"}, target{"u3", "dc-1", "1"}))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1"), w.entry("e3", "dc-1")}
	w.settled(list...)
	var stopped atomic.Bool
	var mu sync.Mutex
	results := map[string][]answer{}
	var callers sync.WaitGroup
	for c := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for i := 0; !stopped.Load(); i++ {
				id := fmt.Sprintf("opaque-%d-%d", c, i)
				if c%2 == 0 {
					id = fmt.Sprintf("%s.%d-%d", list[i%3].registrar.registry.Prefix(time.Now()), c, i)
				}
				var answers []answer
				for attempt := range 3 {
					header := map[string]string{"Boragehinge-Request-Id": id}
					if attempt == 0 {
						header["Boragehinge-First-Attempt"] = "true"
					}
					answers = append(answers, w.call(list[(i+attempt)%3], http.MethodPost, "/orders/1", header))
				}
				mu.Lock()
				results[id] = answers
				mu.Unlock()
			}
		}()
	}
	for _, name := range []string{"u1", "u2", "u3", "u1", "u2"} {
		time.Sleep(150 * time.Millisecond)
		w.ups[name].Crash(100 * time.Millisecond)
	}
	list[2].kill()
	w.listHosts()
	time.Sleep(500 * time.Millisecond)
	list[1].stop()
	<-list[1].done
	w.listHosts()
	time.Sleep(500 * time.Millisecond)
	stopped.Store(true)
	callers.Wait()

	outcomes := map[string]int{}
	for id, answers := range results {
		runs := w.executions(id)
		assert.LessOrEqual(t, runs, 1, "%s ran %d times: %+v", id, runs, answers)
		last := answers[len(answers)-1]
		for _, a := range answers {
			outcomes[a.outcome]++
			if a.outcome == "done" {
				assert.Equal(t, 1, runs, "%s is done without a run: %+v", id, answers)
			}
		}
		if last.outcome == "not-run" {
			assert.Zero(t, runs, "%s ran, but is not run: %+v", id, answers)
		}
	}
	t.Log("calls", len(results), "answers by outcome", outcomes)
	require.Greater(t, outcomes["done"], 50)
}

// Guards against a resend that runs again, or waits in vain, after its entry has stopped as planned: the successor knows
// the record and replays the answer.
func TestRecordsAreHandedOver(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1"), w.entry("e3", "dc-1")}
	w.settled(list...)
	own := list[0].registrar.registry.Prefix(time.Now()) + ".1"
	never := list[0].registrar.registry.Prefix(time.Now()) + ".2"
	w.call(list[0], http.MethodPost, "/orders/1", map[string]string{"Boragehinge-Request-Id": own}).assertDone(t)
	list[0].stop()
	<-list[0].done
	require.NoError(t, list[0].err)
	for _, e := range list[1:] {
		w.call(e, http.MethodPost, "/orders/1", map[string]string{"Boragehinge-Request-Id": own}).assertDone(t)
		assert.Equal(t, 1, w.executions(own))
		got := w.call(e, http.MethodPost, "/orders/1", map[string]string{"Boragehinge-Request-Id": never})
		assert.Equal(t, "not-run", got.outcome, "%+v", got)
	}
}

// Guards against the end of an entry that leaves its pools without an owner, and against an ID of the dead entry that is
// run although its record is lost.
func TestPoolsOfKilledEntryAreTakenOver(t *testing.T) {
	w := newWorld(t)
	w.upstream("u1", emulator.Config{})
	w.apply(w.inventory("", target{"u1", "dc-1", "1"}))
	a, b := w.entry("e1", "dc-1"), w.entry("e2", "dc-1")
	w.settled(a, b)
	dead, other := a, b
	if w.owner("dc-1", a, b) == b {
		dead, other = b, a
	}
	id := dead.registrar.registry.Prefix(time.Now()) + ".1"
	dead.kill()
	w.eventually("the other entry serves", func() bool {
		got := w.call(other, http.MethodGet, "/x", nil)
		return got.outcome == "done" && w.owner("dc-1", other) == other
	})
	got := w.call(other, http.MethodPost, "/orders/1", map[string]string{"Boragehinge-Request-Id": id})
	assert.Equal(t, "unknown", got.outcome)
	assert.Equal(t, http.StatusConflict, got.status)
	assert.Zero(t, w.executions(id))
}

// Guards against a request that crashes one upstream after the other, and against a block that other entries don't learn.
func TestPoisonRequestIsBlockedEverywhere(t *testing.T) {
	w := newWorld(t)
	var targets []target
	for i := range 4 {
		name := fmt.Sprintf("u%d", i+1)
		u := w.upstream(name, emulator.Config{})
		require.NoError(t, u.SetFaults(emulator.Faults{CrashOn: "poison", CrashDownMs: 400}))
		targets = append(targets, target{name, "dc-1", "1"})
	}
	w.apply(w.inventory("", targets...))
	list := []*runningEntry{w.entry("e1", "dc-1"), w.entry("e2", "dc-1")}
	w.settled(list...)
	crashes := func() (n int) {
		for _, u := range w.ups {
			n += u.Crashes()
		}
		return n
	}
	blocked := func(e *runningEntry) bool {
		return w.call(e, http.MethodGet, "/poison", nil).reason == "poison"
	}
	w.eventually("the request is blocked", func() bool { return blocked(list[0]) })
	w.eventually("the other entry knows", func() bool { return blocked(list[1]) })
	before := crashes()
	for range 10 {
		assert.True(t, blocked(list[0]) && blocked(list[1]))
	}
	assert.Equal(t, before, crashes())
}
