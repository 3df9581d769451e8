package coordinator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// tickWindow is a part of a leader's log: its ticks and the longest time between two of them.
type tickWindow struct {
	span  time.Duration
	ticks int
	gap   time.Duration
}

// replay returns the largest sum of delays and the time after which it first reached starvedLateness, or zero.
func replay(windows []tickWindow) (largest, starvedAfter time.Duration) {
	var m latenessMeter
	start := time.Now()
	now := start
	m.observe(now)
	observe := func(gap time.Duration) {
		now = now.Add(gap)
		largest = max(largest, m.observe(now))
		if largest >= starvedLateness && starvedAfter == 0 {
			starvedAfter = now.Sub(start)
		}
	}
	for _, w := range windows {
		observe(w.gap)
		for range w.ticks - 1 {
			observe((w.span - w.gap) / time.Duration(w.ticks-1))
		}
	}
	return largest, starvedAfter
}

// Guards against a leader on a slowed host that goes on leading (yeux-sfax-grown scale-2, seed 172883276483: 0.3 to 0.4 of the credit
// for 5 s, and requests sent to upstreams 2.6 s after they had left), and against one that gives way in an ordinary burst. The windows
// are those of the hosts' logs.
func TestALeaderShortOfProcessorIsRecognized(t *testing.T) {
	const ms = time.Millisecond
	slowed := []tickWindow{{250 * ms, 16, 77 * ms}, {260 * ms, 11, 112 * ms}, {293 * ms, 9, 153 * ms}, {436 * ms, 6, 400 * ms}}
	_, after := replay(slowed)
	assert.NotZero(t, after)
	assert.LessOrEqual(t, after, time.Second)
	_, after = replay([]tickWindow{{534 * ms, 24, 304 * ms}, {269 * ms, 15, 83 * ms}, {597 * ms, 4, 572 * ms}})
	assert.NotZero(t, after)
	assert.LessOrEqual(t, after, 500*ms)

	var burst []tickWindow
	for range 20 {
		burst = append(burst, tickWindow{250 * ms, 25, 15 * ms}, tickWindow{260 * ms, 24, 38 * ms})
	}
	largest, _ := replay(burst)
	assert.Less(t, largest, starvedLateness/2)
}

// Guards against a leader that was frozen and goes on when it wakes up, while others follow the next one.
func TestALeaderThatWasFrozenIsShortOfProcessor(t *testing.T) {
	largest, _ := replay([]tickWindow{{2 * time.Second, 1, 2 * time.Second}})
	assert.GreaterOrEqual(t, largest, starvedLateness)
}

// Guards against entries that wait for a leader that is short of processor to lead again.
func TestAnEntryShortOfProcessorLetsOthersLead(t *testing.T) {
	first, second := entryOf("first", 0.8), entryOf("second", 0.8)
	if precedes(first, second) > 0 {
		first, second = second, first
	}
	_, leads := chooseLeader(candidacy{entry: second, informed: true}, []LeaderAnswer{{Self: first, Informed: true, Slow: true}})
	assert.True(t, leads)
	_, leads = chooseLeader(candidacy{entry: first, informed: true, slow: true}, []LeaderAnswer{{Self: second, Informed: true}})
	assert.False(t, leads)
	_, leads = chooseLeader(candidacy{entry: first, informed: true, slow: true}, []LeaderAnswer{{Self: second}})
	assert.True(t, leads, "without upstreams the other could place nothing while the store is out")
	_, leads = chooseLeader(candidacy{entry: first, slow: true}, nil)
	assert.True(t, leads, "nobody else is there")
	_, leads = chooseLeader(candidacy{entry: first, slow: true}, []LeaderAnswer{{Self: second, Slow: true}})
	assert.True(t, leads, "all are short of processor")
}

// Guards against a leader that is short of processor and keeps its followers, and against its return before slowMemory is over.
func TestALeaderShortOfProcessorGivesWay(t *testing.T) {
	c := startCluster(t, 4)
	slow := c.leader()
	l := slow.node.leader
	c.eventually("all entries know the upstreams and each other", 5*time.Second, func() bool {
		if !c.successorsInformed() {
			return false
		}
		for _, m := range c.members {
			if !knowsWorld(m.node, len(c.members)) {
				return false
			}
		}
		return true
	})
	l.tick(l.since.Add(newLeaderTime/2), 2*starvedLateness)
	require.Same(t, slow, c.leader(), "many entries that join at once are no reason")

	l.tick(l.since.Add(newLeaderTime), 2*starvedLateness)
	c.eventually("another leader", 3*time.Second, func() bool { return c.settled(4) && c.leader() != slow })
	next := c.leader()
	time.Sleep(rivalInterval + 200*time.Millisecond)
	assert.Same(t, next, c.leader())
}

func knowsWorld(n *Node, entries int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.informed() && len(n.world.Entries) == entries
}
