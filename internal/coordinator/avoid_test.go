package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/placement"
)

// upstreamsUsed places requests on a node for some time and counts them by upstream.
func upstreamsUsed(t *testing.T, n *Node, requests int) map[string]int {
	t.Helper()
	used := map[string]int{}
	for range requests {
		p, err := place(t, n)
		require.NoError(t, err)
		used[p.Upstream]++
		p.Finish(placement.Success, time.Millisecond, nil)
	}
	return used
}

// Guards against requests to an upstream that says in its responses that it leaves, while its record in the store doesn't say so: at
// the leader, through other entries, and after a change of the leader.
func TestUpstreamsThatSayTheyLeaveGetNoRequests(t *testing.T) {
	c := startCluster(t, 4)
	c.eventually("the next leaders have upstream records", 3*time.Second, c.successorsHaveUpstreams)
	follower := without(c.members, c.leader())[0]
	p, err := place(t, follower.node)
	require.NoError(t, err)
	leaving := p.Upstream
	p.Finish(placement.Success, time.Millisecond, &placement.Report{Leaving: true})
	assert.Zero(t, upstreamsUsed(t, follower.node, 100)[leaving], "through the entry that was told, at once")
	time.Sleep(100 * time.Millisecond)
	for _, m := range c.members {
		assert.Zero(t, upstreamsUsed(t, m.node, 100)[leaving], "through all entries, from the leader's view")
	}
	leader := c.leader()
	leader.kill()
	c.members = without(c.members, leader)
	assert.Zero(t, upstreamsUsed(t, follower.node, 50)[leaving], "without a leader")
	c.eventually("another leader", 5*time.Second, func() bool { return c.settled(3) })
	for _, m := range c.members {
		assert.Zero(t, upstreamsUsed(t, m.node, 100)[leaving], "from the next leader's view")
	}
}

// Guards against avoiding a process for what an earlier one with the same ID has said.
func TestARestartedUpstreamIsUsedAgain(t *testing.T) {
	n, store := newStartedNode(t)
	store.PutUpstream("u", "v1", 9000, 1)
	require.NotNil(t, n.AwaitConfig(t.Context(), 10*time.Second))
	p, err := place(t, n)
	require.NoError(t, err)
	p.Finish(placement.Success, time.Millisecond, &placement.Report{Leaving: true})
	_, err = place(t, n)
	require.Error(t, err, "the only upstream leaves")
	n.mu.Lock()
	u := n.view.Upstreams["u"]
	u.Born++
	n.view.Upstreams["u"] = u
	n.configurePools(time.Now())
	n.mu.Unlock()
	p, err = place(t, n)
	require.NoError(t, err)
	p.Finish(placement.Success, time.Millisecond, nil)
}

// Guards against requests to an upstream that has turned one of this entry away and asked for a pause: at the leader, at a follower and
// without a leader. Other entries may go on.
func TestRequestedPausesAreKept(t *testing.T) {
	const pauseTime = 700 * time.Millisecond
	c := startCluster(t, 3)
	follower := without(c.members, c.leader())[0]
	for name, m := range map[string]*member{"leader": c.leader(), "follower": follower} {
		t.Run(name, func(t *testing.T) {
			p, err := place(t, m.node)
			require.NoError(t, err)
			refused := time.Now()
			p.Finish(placement.NotRun, time.Millisecond, &placement.Report{RetryAfter: pauseTime, Load: &placement.Load{Slots: 6}})
			used := 0
			for time.Since(refused) < pauseTime-100*time.Millisecond {
				used += upstreamsUsed(t, m.node, 10)[p.Upstream]
			}
			assert.Zero(t, used)
			// An upstream that has refused a request is used less at first.
			c.eventually("it is used after the pause", 5*time.Second, func() bool { return upstreamsUsed(t, m.node, 100)[p.Upstream] > 0 })
		})
	}
}

// Guards against requests that wait although all upstreams of their service have asked for a pause: they are refused at once, and
// told when the first pause ends.
func TestRequestsAreRefusedWhileAllUpstreamsPause(t *testing.T) {
	n, store := newStartedNode(t)
	store.PutUpstream("u", "v1", 9000, 1)
	require.NotNil(t, n.AwaitConfig(t.Context(), 10*time.Second))
	p, err := place(t, n)
	require.NoError(t, err)
	p.Finish(placement.NotRun, time.Millisecond, &placement.Report{RetryAfter: time.Second})
	began := time.Now()
	_, err = place(t, n)
	var refused *RefusedError
	require.ErrorAs(t, err, &refused)
	assert.Less(t, time.Since(began), 200*time.Millisecond)
	assert.InDelta(t, time.Second, refused.RetryAfter, float64(200*time.Millisecond))
}
