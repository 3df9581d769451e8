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
	"boragehinge.example/boragehinge/internal/responsecheck/responsetest"
	"boragehinge.example/boragehinge/platform"
	"boragehinge.example/boragehinge/platform/standin"
)

func startProber(t *testing.T, address, id string) <-chan placement.Probe {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	results := make(chan placement.Probe, 1000)
	p := &probe.Prober{Headers: platform.Names(), Interval: func() time.Duration { return 5 * time.Millisecond }}
	go p.Run(ctx, coordinator.ProbeTarget{ID: id, Address: address, HealthPath: "/health"}, func(r placement.Probe) { results <- r })
	return results
}

func waitForResult(t *testing.T, results <-chan placement.Probe, matches func(placement.Probe) bool) {
	t.Helper()
	timeout := time.After(5 * time.Second)
	for {
		select {
		case r := <-results:
			if matches(r) {
				return
			}
		case <-timeout:
			require.Fail(t, "no matching probe result within 5 s")
		}
	}
}

// Guards against probes that misread health, load or cold start, or don't detect another instance at the address.
func TestProbeResults(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	results := startProber(t, u.Address(), "u1")
	waitForResult(t, results, func(r placement.Probe) bool { return r.Answered && r.Healthy && !r.WrongInstance && r.ColdLeft == 0 })
	u.Set(standin.Behaviour{Unhealthy: true, Cold: "1500"})
	waitForResult(t, results, func(r placement.Probe) bool {
		return r.Answered && !r.Healthy && r.ColdLeft == 1500*time.Millisecond && r.Load != nil && r.Load.Slots == 6
	})
	other := startProber(t, u.Address(), "u2")
	assert.True(t, (<-other).WrongInstance)
}

// Guards against reporting an upstream as unreachable because a persistent connection was closed, and against not detecting an
// upstream that has stopped or recovered.
func TestLostConnectionsAndUnreachableUpstreams(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	address := u.Address()
	results := startProber(t, address, "u1")
	waitForResult(t, results, func(r placement.Probe) bool { return r.Answered })
	u.Stop()
	waitForResult(t, results, func(r placement.Probe) bool { return !r.Answered })
	again, err := standin.StartUpstream("u1", address, 6)
	require.NoError(t, err)
	t.Cleanup(again.Stop)
	waitForResult(t, results, func(r placement.Probe) bool { return r.Answered })
}

// Guards against an upstream that counts as healthy although it closes its connections in the middle of the response's header.
func TestResponseCutInItsHeaderIsNoAnswer(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	u.Set(standin.Behaviour{CutHead: 60})
	result := <-startProber(t, u.Address(), "u1")
	assert.False(t, result.Answered)
	assert.False(t, result.Healthy)
}

// Guards against an upstream that counts as healthy because its impossible status begins with 200.
func TestInvalidStatusIsNotHealthy(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	for _, status := range []string{"000", "099", "20", "2000", "200x", "999"} {
		u.Set(standin.Behaviour{RawStatus: status})
		assert.False(t, (<-startProber(t, u.Address(), "u1")).Healthy, status)
	}
}

// Guards against taking an upstream beyond its limit of connections for a crashed one, or a crashed one for that, and against a probe
// that proves nothing about the process because the age of its connection is missing.
func TestProbesTellResetsAndTheAgeOfTheirConnections(t *testing.T) {
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	results := startProber(t, u.Address(), "u1")
	waitForResult(t, results, func(r placement.Probe) bool {
		return r.Answered && r.Took > 0 && r.ConnAge > 20*time.Millisecond && r.ConnAge > r.Took
	})
	u.Set(standin.Behaviour{MaxConns: 1})
	other := startProber(t, u.Address(), "u1")
	waitForResult(t, other, func(r placement.Probe) bool { return !r.Answered && r.ConnReset })
	waitForResult(t, results, func(r placement.Probe) bool { return r.Answered && r.ConnAge > 40*time.Millisecond })
	u.Stop()
	waitForResult(t, results, func(r placement.Probe) bool { return !r.Answered && !r.ConnReset })
}

// Guards against probes that are asked for and come late, and against more of them than the bound allows.
func TestProbesThatAreAskedFor(t *testing.T) {
	const soonest, asking = 20 * time.Millisecond, 400 * time.Millisecond
	u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
	require.NoError(t, err)
	t.Cleanup(u.Stop)
	wake, results := make(chan struct{}), make(chan placement.Probe, 1000)
	p := &probe.Prober{Headers: platform.Names(), Interval: func() time.Duration { return time.Hour }, Soonest: func() time.Duration { return soonest }}
	go p.Run(t.Context(), coordinator.ProbeTarget{ID: "u1", Address: u.Address(), HealthPath: "/health", Wake: wake}, func(r placement.Probe) { results <- r })
	<-results
	for end := time.After(asking); ; {
		select {
		case wake <- struct{}{}:
			continue
		case <-end:
		}
		break
	}
	assert.Greater(t, len(results), 1)
	assert.LessOrEqual(t, len(results), int(asking/soonest)+1)
}

// Guards against a health response that HTTP/1.1 doesn't allow and that is believed: the responses to requests, which come from the same
// upstream, are rejected.
func TestMalformedHealthResponsesAreNoResponses(t *testing.T) {
	for _, line := range responsetest.MalformedFields {
		u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
		require.NoError(t, err)
		t.Cleanup(u.Stop)
		results := startProber(t, u.Address(), "u1")
		waitForResult(t, results, func(r placement.Probe) bool { return r.Healthy })
		u.Set(standin.Behaviour{HeaderLine: line})
		waitForResult(t, results, func(r placement.Probe) bool { return !r.Answered && !r.Healthy && !r.ConnReset })
		u.Set(standin.Behaviour{HeaderLine: "X-Cache: 1"})
		waitForResult(t, results, func(r placement.Probe) bool { return r.Healthy })
	}
}

// Guards against health responses without an end that are read until the time of the probe is over: they must cost neither memory nor the
// processor time that other probes need.
func TestHealthResponsesWithoutEnd(t *testing.T) {
	const probes = 5
	for _, part := range []standin.Endless{standin.EndlessLine, standin.EndlessHeader, standin.EndlessInterim} {
		t.Run(part.String(), func(t *testing.T) {
			u, err := standin.StartUpstream("u1", "127.0.0.1:0", 6)
			require.NoError(t, err)
			t.Cleanup(u.Stop)
			u.Set(standin.Behaviour{EndlessHealth: part})
			results := startProber(t, u.Address(), "u1")
			for range probes {
				result := <-results
				assert.False(t, result.Answered && result.Healthy)
			}
			assert.Less(t, u.EndlessSent(), int64(probes*responsetest.MaxBuffered))
		})
	}
}
