package coordinator

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/platform/standin"
)

// Guards against a leader that was cut off and writes its own result of a move over the one that another leader has written: a version
// that was rolled back was reported as completed, and the service had no upstream left.
func TestTheFirstResultOfAMoveIsFinal(t *testing.T) {
	c := startCluster(t, 1)
	leader := c.leader()
	c.store.PutUpstream("n1", "v2", 9100, 1)
	c.eventually("an upstream of the new version", 5*time.Second, func() bool {
		leader.node.mu.Lock()
		defer leader.node.mu.Unlock()
		_, known := leader.node.view.Upstreams["n1"]
		return known
	})
	c.store.OrderMove("s", "v2", 2*time.Second)
	phase := func() (phase placement.MovePhase) {
		leader.node.leader.coordinator.WithPool("s", func(p *placement.Pool) { _, phase = p.Move() })
		return phase
	}
	reported := func() string { return c.store.ReportedMove("s") }
	c.eventually("running", 5*time.Second, func() bool { return strings.Contains(reported(), standin.MoveRunning) })
	leader.faultyStore.setSilent(true)
	c.eventually("completed without the store", 10*time.Second, func() bool { return phase() == placement.Done })
	c.store.ReportMove("s", "v2", standin.MoveRolledBack)
	leader.faultyStore.setSilent(false)
	c.eventually("the other leader's result", 10*time.Second, func() bool { return phase() == placement.RolledBack })
	time.Sleep(10 * statusWriteInterval)
	assert.Contains(t, reported(), standin.MoveRolledBack)
	assert.Equal(t, placement.RolledBack, phase())
}

// Guards against a leader that completes moves although most entries may follow another one, and against one that never completes any
// because entries are gone for good.
func TestMovesWaitForAMajority(t *testing.T) {
	l := &leadership{startedAt: time.Now().Add(-time.Minute)}
	now := time.Now()
	l.observeMajority(now, false)
	assert.True(t, l.mayFinishMoves(now))
	l.observeMajority(now, true)
	l.observeMajority(now.Add(time.Second), true)
	assert.False(t, l.mayFinishMoves(now.Add(time.Second)), "also for one that has led for long")
	assert.True(t, l.mayFinishMoves(now.Add(minorityTimeout)))
	l.observeMajority(now.Add(minorityTimeout), false)
	l.observeMajority(now.Add(minorityTimeout+time.Second), true)
	assert.False(t, l.mayFinishMoves(now.Add(minorityTimeout+time.Second)))
}
