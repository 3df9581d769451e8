package coordinator

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/placement"
)

const crashingFingerprint = 4711

// crashHistoryOf returns the history of a request that has crashed n upstream processes.
func crashHistoryOf(n int) []ServiceHistory {
	h := placement.CrashHistory{Fingerprint: crashingFingerprint}
	for i := range n {
		h.Processes = append(h.Processes, placement.UpstreamProcess{ID: "u0", Born: int64(i + 1)})
	}
	return []ServiceHistory{{Service: "s", Crashes: []placement.CrashHistory{h}}}
}

// refusesCrasher reports whether an entry refuses the crashing request.
func refusesCrasher(t *testing.T, n *Node) bool {
	t.Helper()
	now := time.Now()
	ask := Ask{Service: "s", Route: "r", DataCentre: "z1", Attempt: 1, Fingerprint: crashingFingerprint}
	p, err := n.Place(t.Context(), ask, now.Add(time.Second), now.Add(2*time.Second))
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason == placement.ReasonCrashes
	}
	require.NoError(t, err)
	p.Finish(placement.Cancelled, 0, nil)
	return false
}

// Guards against a request that crashes upstreams and is let through again by each new leader, because only the leader knew of the
// crashes.
func TestCrashesAreRememberedAcrossLeaders(t *testing.T) {
	c := startCluster(t, 4)
	c.eventually("successors with upstreams", 5*time.Second, c.successorsHaveUpstreams)
	first := c.leader()
	assert.False(t, refusesCrasher(t, first.node))
	first.node.leader.coordinator.AdoptHistories(time.Now(), crashHistoryOf(3))
	c.eventually("followers know the crashes", 2*time.Second, func() bool {
		for _, m := range without(c.members, first) {
			known := m.node.currentHistories()
			if len(known) == 0 || known[0].empty() {
				return false
			}
		}
		return true
	})
	first.kill()
	c.members = without(c.members, first)
	c.eventually("the next leader", 10*time.Second, func() bool { return c.settled(3) })
	second := c.leader()
	for _, m := range c.members {
		assert.True(t, refusesCrasher(t, m.node))
	}

	second.node.Leave()
	c.eventually("a leader after a planned stop", 10*time.Second, func() bool {
		l := c.leader()
		return l != nil && l != second && len(l.node.leader.currentFollowers()) == 2
	})
	assert.True(t, refusesCrasher(t, c.leader().node))
}

// Guards against an entry without a leader that lets a crashing request through although a leader has told of the crashes.
func TestCrashesAreKnownWithoutALeader(t *testing.T) {
	n, _ := newStartedNode(t)
	require.NotNil(t, n.AwaitConfig(t.Context(), time.Second))
	n.learnHistories(crashHistoryOf(3))
	assert.True(t, refusesCrasher(t, n))
}
