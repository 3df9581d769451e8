package proxy

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"

	"github.com/stretchr/testify/require"
)

// injectFaults changes the faults of upstreams until stop is closed.
func injectFaults(t *testing.T, rng *rand.Rand, upstreams []*emulator.Server, stop <-chan struct{}) {
	t.Helper()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
		}
		u := upstreams[rng.IntN(len(upstreams))]
		faults := []emulator.Faults{{}, {}, {Shed: true}, {SilenceOpen: true}, {BecomeCold: true}, {TruncateOn: "/"},
			{Shed: true, NoNotRunProof: true}}[rng.IntN(7)]
		if rng.IntN(4) == 0 {
			u.Crash(time.Duration(rng.IntN(50)) * time.Millisecond)
		}
		if err := u.SetFaults(faults); err != nil {
			t.Error(err)
		}
	}
}

// Guards against a non-idempotent call that runs twice, and against a false "not run", while upstreams crash, stop
// responding, shed load, truncate responses and turn cold, and callers resend calls that aren't done.
func TestAtMostOnceUnderFaults(t *testing.T) {
	var upstreams []*emulator.Server
	d := newFakePolicy()
	for i := range 3 {
		u := startUpstream(t, emulator.Config{Seed: uint64(i), Slots: 8})
		upstreams = append(upstreams, u)
		d.addUpstream("p", u.Address())
	}
	registrarEntry := startEntry(t, d, Config{}, ServerConfig{})
	other := newFakePolicy()
	other.registrarPeer = registrarEntry.peer
	entries := []*entry{registrarEntry, startEntry(t, other, Config{}, ServerConfig{})}
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { injectFaults(t, rand.New(rand.NewPCG(11, 0)), upstreams, stop) })
	var mu sync.Mutex
	last := map[string]Outcome{}
	for g := range 8 {
		callers.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("order-%d-%d", g, i)
				outcome := Unknown
				for resend := 0; resend < 4 && outcome != Done; resend++ {
					got, err := send(t, newCall(t, entries[(i+resend)%2].address, "POST", "/x", "order",
						HeaderRequestID, id, HeaderDeadline, "300"))
					outcome = Unknown
					if err == nil {
						outcome = got.outcome()
					}
				}
				mu.Lock()
				last[id] = outcome
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	eventually(t, func() bool { return registrarEntry.openGrants() == 0 })
	count := map[Outcome]int{}
	for id, outcome := range last {
		runs := 0
		for _, u := range upstreams {
			runs += u.Executions(id).Begun
		}
		require.LessOrEqual(t, runs, 1, id)
		if outcome == NotRun {
			require.Zero(t, runs, "%s was reported as not run", id)
		}
		count[outcome]++
	}
	t.Logf("outcomes: %v", count)
	require.Positive(t, count[Done])
}
