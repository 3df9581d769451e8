package dev

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/inventory"
)

// small is an inventory on addresses that no other test process uses.
var small = strings.ReplaceAll(`
schemaVersion: 1
sites:
  - name: east
    dataCentres: [{name: e-1}, {name: e-2}]
classes:
  - {name: urgent, priority: 0, deadlineMs: 5000}
  - {name: ordinary, priority: 4, deadlineMs: 20000}
  - {name: bulk, priority: 9, deadlineMs: 60000}
customers: [{name: benches}]
services:
  - name: bench
    match: {pathPrefix: /bench}
    defaultClass: ordinary
    routes:
      - {name: lookups, pathPrefix: /bench/lookups, class: urgent, idempotent: true}
      - {name: orders, pathPrefix: /bench/orders, class: ordinary, idempotent: false}
    upstreams:
      - {name: b-1, address: "127.0.51.1:9101", dataCentre: e-1, version: "1"}
      - {name: b-2, address: "127.0.51.2:9101", dataCentre: e-2, version: "1"}
      - {name: b-3, address: "127.0.51.3:9101", dataCentre: e-1, version: "1"}
  - name: photos
    match: {pathPrefix: /archive}
    defaultClass: bulk
    upstreams:
      - {name: p-1, address: "127.0.51.11:9101", dataCentre: e-1, version: "1"}
      - {name: p-2, address: "127.0.51.12:9101", dataCentre: e-2, version: "1"}
`, "127.0.51.", network())

// network returns the first three bytes of loopback addresses that no other test process uses.
func network() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.", 64+pid%128, pid/128%256)
}

func startSmall(t *testing.T) *Installation {
	inv, findings := inventory.Check("small.yaml", []byte(small), time.Now())
	require.Empty(t, findings)
	in, err := Start(t.Context(), Options{Inventory: inv, Log: os.Stderr, LogLevel: "error", Seed: 1, Operator: "test"})
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
		defer cancel()
		assert.NoError(t, in.Stop(ctx))
	})
	return in
}

func newClient(t *testing.T, in *Installation, service string) *client.Client {
	c, err := client.New(client.Settings{Entries: in.CallerAddresses(), Service: service, Customer: "benches", AllDataCentres: true})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against parts that work alone and not together: lookups, work orders and a download through two entries, each
// with its own response, and each work order run exactly once.
func TestCallsThroughTwoEntries(t *testing.T) {
	in := startSmall(t)
	require.Len(t, in.Entries, 2)
	bench, photos := newClient(t, in, "bench"), newClient(t, in, "photos")
	var mu sync.Mutex
	used := map[string]bool{}
	var ids []string
	var wait sync.WaitGroup
	for worker := range 4 {
		wait.Go(func() {
			for i := range 15 {
				path := fmt.Sprintf("/bench/lookups/%d-%d", worker, i)
				call := client.Call{Path: path}
				if i%3 == 0 {
					path = strings.Replace(path, "lookups", "orders", 1)
					call = client.Call{Method: "POST", Path: path, Body: []byte("frame 7")}
				}
				r, err := bench.Do(t.Context(), call)
				if !assert.NoError(t, err) || !assert.Equal(t, client.Done, r.Outcome, "%s %v", r.Reason, r.Err) {
					return
				}
				body, err := r.ReadAll()
				assert.NoError(t, err)
				assert.Contains(t, string(body), path)
				mu.Lock()
				used[r.Address] = true
				if i%3 == 0 {
					ids = append(ids, r.RequestID)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	assert.Len(t, used, 2, "both entries took calls")
	for _, id := range ids {
		assert.Equal(t, emulator.Execution{Begun: 1, Completed: 1}, in.Executions(id), id)
	}
	const size = 3 << 20
	for range 2 {
		r, err := photos.Do(t.Context(), client.Call{Path: fmt.Sprint("/archive/", size)})
		require.NoError(t, err)
		require.Equal(t, client.Done, r.Outcome)
		assert.NoError(t, emulator.CheckArchive(r.Body, size))
		_ = r.Body.Close()
	}
}

// Guards against a planned stop that interrupts calls: orders are sent without pause while one of two entries stops.
func TestPlannedStopOfAnEntryInterruptsNoCall(t *testing.T) {
	in := startSmall(t)
	bench := newClient(t, in, "bench")
	stopped := make(chan struct{})
	var mu sync.Mutex
	ends := map[client.Outcome]int{}
	var ids []string
	var wait sync.WaitGroup
	for worker := range 3 {
		wait.Go(func() {
			after := 0 // calls after the stop
			for i := 0; after < 5; i++ {
				r, err := bench.Do(t.Context(), client.Call{Method: "POST", Path: fmt.Sprintf("/bench/orders/%d-%d", worker, i)})
				if !assert.NoError(t, err) {
					return
				}
				select {
				case <-stopped:
					after++
				default:
				}
				mu.Lock()
				ends[r.Outcome]++
				if r.Outcome != client.Done {
					t.Logf("%s: %s %s after %d attempts at %s: %v", r.RequestID, r.Outcome, r.Reason, r.Attempts, r.Address, r.Err)
				}
				ids = append(append(ids, r.GivenUp...), r.RequestID)
				mu.Unlock()
			}
		})
	}
	require.NoError(t, in.StopEntry(1))
	close(stopped)
	wait.Wait()
	assert.Zero(t, ends[client.NotRun]+ends[client.Unknown], ends)
	assert.Greater(t, ends[client.Done], 50)
	for _, id := range ids {
		assert.LessOrEqual(t, in.Executions(id).Begun, 1, id)
	}
}

// Guards against an upstream of a later configuration that isn't there, and a data centre that still gets work after the
// urgent command.
func TestLaterUpstreamsAndUrgentLeaving(t *testing.T) {
	in := startSmall(t)
	port := &operators.Client{Addresses: in.OperatorAddresses()}
	r, err := port.Leave(t.Context(), operators.Leaving{DataCentre: "e-2", Reason: "smoke", Operator: "test"})
	require.NoError(t, err)
	assert.True(t, r.Logged)
	require.Eventually(t, func() bool { return leaves(t, in, "e-2") }, 10*time.Second, 50*time.Millisecond)
	bench := newClient(t, in, "bench")
	for i := range 10 {
		r, err := bench.Do(t.Context(), client.Call{Path: fmt.Sprint("/bench/lookups/", i)})
		require.NoError(t, err)
		assert.Equal(t, client.Done, r.Outcome, r.Reason)
		assert.NotEqual(t, "b-2", r.Header.Get("X-Upstream"))
	}
	_, err = port.Leave(t.Context(), operators.Leaving{DataCentre: "e-9", Reason: "smoke"})
	assert.ErrorContains(t, err, "no such data centre")

	more := strings.Replace(small, "  - name: photos", `      - {name: b-4, address: "`+network()+`4:9101", dataCentre: e-1, version: "1"}`+"\n  - name: photos", 1)
	inv, findings := inventory.Check("more.yaml", []byte(more), time.Now())
	require.Empty(t, findings)
	require.NoError(t, in.upstreams.ensure(inv))
	assert.NotNil(t, in.Upstream("b-4"))
}

// leaves reports whether all entries have taken the data centre out.
func leaves(t *testing.T, in *Installation, name string) bool {
	for _, address := range in.OperatorAddresses() {
		port := operators.Client{Addresses: []string{address}}
		s, err := port.Status(t.Context())
		if err != nil {
			return false
		}
		for _, d := range s.DataCentres {
			if d.Name == name && !d.Leaving {
				return false
			}
		}
	}
	return true
}

// Guards against an installation that starts in part, or leaves ports open after it failed.
func TestStartReportsWhatCannotBeEmulated(t *testing.T) {
	far := strings.NewReplacer(network()+"1:", "192.0.2.1:", network()+"12:", "192.0.2.2:").Replace(small)
	inv, findings := inventory.Check("far.yaml", []byte(far), time.Now())
	require.Empty(t, findings)
	_, err := Start(t.Context(), Options{Inventory: inv})
	assert.ErrorContains(t, err, "upstream b-1: 192.0.2.1:9101 is no loopback address")
	assert.ErrorContains(t, err, "upstream p-2")
}
