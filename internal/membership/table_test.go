package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/internal/wire"
)

// randomFaults runs one data centre with pauses, one-way partitions, losses, delays, restarts and rosters that lack one
// host, and describes the first conflict of two confirmed views.
func randomFaults(t *rapid.T, cfg Config) string {
	s := newSim(rapid.IntRange(2, 7).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"), cfg)
	s.run(4 * time.Second)
	if rapid.Bool().Draw(t, "pastStart") { // from here on, a majority is enough
		s.run(cfg.RosterHold)
	}
	node := rapid.IntRange(0, len(s.nodes)-1)
	for range rapid.IntRange(5, 40).Draw(t, "events") {
		i, j := node.Draw(t, "i"), node.Draw(t, "j")
		switch rapid.IntRange(0, 8).Draw(t, "event") {
		case 0:
			s.nodes[i].paused = s.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "pauseMs")) * time.Millisecond)
		case 1, 2:
			s.cut[[2]int{i, j}] = true
		case 3:
			clear(s.cut)
		case 4:
			s.loss = rapid.Float64Range(0, 0.6).Draw(t, "loss")
		case 5:
			s.restart(i)
		case 6:
			s.delay = time.Duration(rapid.IntRange(1, 1500).Draw(t, "delayMs")) * time.Millisecond
		case 7:
			s.nodes[i].table.SetRoster(s.now, without(s.hosts, j))
		case 8:
			s.nodes[i].table.SetRoster(s.now, s.hosts)
		}
		s.run(time.Duration(rapid.IntRange(50, 3000).Draw(t, "runMs")) * time.Millisecond)
		if s.conflict != "" {
			return s.conflict
		}
	}
	return ""
}

func without(hosts []Host, i int) []Host {
	return append(append([]Host{}, hosts[:i]...), hosts[i+1:]...)
}

// Guards against two owners that both send requests to a cold upstream: two views confirmed at the same time.
func TestTwoViewsAreNeverConfirmedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if conflict := randomFaults(t, DefaultConfig()); conflict != "" {
			t.Fatal(conflict)
		}
	})
}

// splitViews moves a majority from one view to another, while the echoes that node 0 last received are still fresh.
func splitViews(cfg Config) string {
	s := newSim(3, 1, cfg)
	s.run(cfg.RosterHold + 6*time.Second) // until a majority is enough
	for _, j := range []int{1, 2} {
		s.cut[[2]int{0, j}] = true // node 0 receives heartbeats of the others, which declare it dead
	}
	s.run(10 * time.Second)
	return s.conflict
}

// Guards against a view transition or an echo freshness limit without effect: if the limit exceeds the transition, the
// same schedule confirms two views.
func TestTransitionPreventsConflict(t *testing.T) {
	require.Empty(t, splitViews(DefaultConfig()))
	broken := DefaultConfig()
	broken.ViewTransition = 0
	broken.OwnFresh = 5 * time.Second
	require.NotEmpty(t, splitViews(broken))
}

// Guards against a starting entry that considers itself a majority, and against views that are never confirmed.
func TestConfirmation(t *testing.T) {
	s := newSim(5, 1, DefaultConfig())
	alone := New(Member{Incarnation: "00000000000000ff", Host: "x", DataCentre: "east-1"}, s.cfg, s.now)
	for range 100 {
		s.step()
		alone.Tick(s.now)
		require.Zero(t, alone.ConfirmedUntil(s.now))
	}
	require.Equal(t, 5, s.confirmedNodes())
	for j := range 5 {
		s.cut[[2]int{j, 0}] = true
	}
	s.run(1100 * time.Millisecond)
	require.Zero(t, s.nodes[0].table.ConfirmedUntil(s.now), "no echo within the last second")
}

// Guards against a paused process that declares every peer dead when it resumes, or keeps its outdated view
// confirmed.
func TestPausedProcessDeclaresNobodyDead(t *testing.T) {
	s := newSim(5, 1, DefaultConfig())
	s.run(5 * time.Second)
	s.changes = nil
	s.nodes[0].paused = s.now.Add(10 * time.Second)
	s.run(9900 * time.Millisecond)
	require.Equal(t, 4, s.count(Died), "the others declare it dead")
	s.changes = nil
	for _, c := range s.nodes[0].table.Tick(s.now.Add(time.Second)) {
		require.Equal(t, Paused, c.Kind, "the first tick precedes the heartbeats that arrived during the pause")
	}
	require.Zero(t, s.nodes[0].table.ViewHash())
	require.Zero(t, s.nodes[0].table.ConfirmedUntil(s.now.Add(time.Second)))
	s.run(6 * time.Second)
	require.Zero(t, s.count(Died))
	require.Equal(t, 5, s.confirmedNodes())
}

// Guards against the failure of several hosts at once that is detected late, or that removes live members as well.
func TestRackFailure(t *testing.T) {
	s := newSim(16, 1, DefaultConfig())
	s.run(5 * time.Second)
	for i := range 4 {
		s.nodes[i].paused = s.now.Add(time.Hour)
	}
	s.changes = nil
	s.run(2400 * time.Millisecond)
	require.Equal(t, 4*12, s.count(Died))
	s.run(2 * time.Second)
	require.Equal(t, 12, s.confirmedNodes())
	require.Len(t, s.nodes[15].table.Members(), 12)
}

// Guards against dead incarnations that accumulate or stay in views, and against a replaced host that can't rejoin.
func TestReplacementsInSequence(t *testing.T) {
	s := newSim(6, 1, DefaultConfig())
	s.run(5 * time.Second)
	for i := range 240 {
		s.restart(i % 6)
		s.run(5 * time.Second)
		require.Equal(t, 6, s.confirmedNodes(), "replacement %d", i)
	}
	for _, n := range s.nodes {
		require.Len(t, n.table.Members(), 6)
		require.LessOrEqual(t, len(n.table.peers), 6)
	}
	require.Empty(t, s.conflict)
}

// Guards against a host with bad connectivity that keeps its whole data centre in transition.
func TestFlappingHostRejoinsWithDelay(t *testing.T) {
	flaps := func(hold time.Duration) int {
		cfg := DefaultConfig()
		cfg.MaxFlapHold = hold
		s := newSim(4, 1, cfg)
		for range 20 {
			s.isolate(0, true)
			s.run(2500 * time.Millisecond)
			s.isolate(0, false)
			s.run(2500 * time.Millisecond)
		}
		return s.count(Joined)
	}
	require.Less(t, flaps(30*time.Second)*2, flaps(0))
}

func (s *sim) isolate(i int, cut bool) {
	for j := range s.nodes {
		s.cut[[2]int{i, j}] = cut
	}
}

// Guards against heartbeats that exceed their budget in a large data centre.
func TestIntervalKeepsBudget(t *testing.T) {
	for _, c := range []struct{ peers, wantMs int }{{15, 250}, {42, 250}, {66, 386}, {200, 1171}} {
		s := newSim(1, 1, DefaultConfig())
		for i := range c.peers {
			m := Member{Incarnation: fmt.Sprintf("%016x", i+100), Host: fmt.Sprint("p", i), DataCentre: "east-1"}
			s.nodes[0].table.Observe(s.now, m, wire.Heartbeat{Seq: 1})
		}
		require.EqualValues(t, c.wantMs, s.nodes[0].table.Interval().Milliseconds())
	}
}

// replaceInOddRoster replaces one of three hosts by a host of another name, while two entries still use the old list.
func replaceInOddRoster(hold time.Duration) string {
	cfg := DefaultConfig()
	cfg.RosterHold = hold
	s := newSim(4, 1, cfg) // a, b, c and the replacement d of a
	old, updated := s.hosts[:3], s.hosts[1:]
	for _, n := range s.nodes {
		n.table = New(n.table.Self(), cfg, s.now)
		n.table.SetRoster(s.now, old)
	}
	s.run(5 * time.Second)
	for _, pair := range [][2]int{{0, 2}, {0, 3}, {1, 2}, {1, 3}} {
		s.cut[pair] = true
		s.cut[[2]int{pair[1], pair[0]}] = true
	}
	for _, i := range []int{2, 3} {
		s.nodes[i].table.SetRoster(s.now, updated)
	}
	s.run(10 * time.Second)
	return s.conflict
}

// Guards against the disjoint majorities {a,b} of the roster {a,b,c} and {c,d} of its successor {b,c,d}.
func TestReplacementInOddRosterDoesNotSplit(t *testing.T) {
	require.Empty(t, replaceInOddRoster(DefaultConfig().RosterHold))
	require.NotEmpty(t, replaceInOddRoster(0))
}
