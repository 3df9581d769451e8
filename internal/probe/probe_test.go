package probe_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/probe"
	"boragehinge.example/boragehinge/platform"
	"boragehinge.example/boragehinge/platform/standin"
)

func watch(t *testing.T, address, id string) <-chan placement.Probe {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	results := make(chan placement.Probe, 1000)
	p := &probe.Prober{Headers: platform.Names(), Interval: func() time.Duration { return 5 * time.Millisecond }}
	go p.Run(ctx, coordinator.ProbeTarget{ID: id, Address: address, HealthPath: "/health"}, func(r placement.Probe) { results <- r })
	return results
}

func eventually(t *testing.T, results <-chan placement.Probe, holds func(placement.Probe) bool) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case r := <-results:
			if holds(r) {
				return
			}
		case <-timeout:
			require.Fail(t, "no such result")
		}
	}
}

// Guards against probes that misread health, load and cold start, or miss that another process has the address.
func TestResults(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	results := watch(t, u.Address(), "u1")
	eventually(t, results, func(r placement.Probe) bool { return r.Answered && r.Healthy && !r.WrongInstance && r.ColdLeft == 0 })
	u.Set(standin.Behaviour{Unhealthy: true, Cold: "1500"})
	eventually(t, results, func(r placement.Probe) bool {
		return r.Answered && !r.Healthy && r.ColdLeft == 1500*time.Millisecond && r.Load != nil && r.Load.Slots == 6
	})
	other := watch(t, u.Address(), "u2")
	assert.True(t, (<-other).WrongInstance)
}

// Guards against an upstream that counts as lost because a kept connection was closed, and one that is lost and isn't seen.
func TestLostConnectionsAndLostUpstreams(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	address := u.Address()
	results := watch(t, address, "u1")
	eventually(t, results, func(r placement.Probe) bool { return r.Answered })
	u.Stop()
	eventually(t, results, func(r placement.Probe) bool { return !r.Answered })
	again, err := standin.StartUpstream("u1", address, 6)
	require.NoError(t, err)
	t.Cleanup(again.Stop)
	eventually(t, results, func(r placement.Probe) bool { return r.Answered })
}
