package cluster

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/peer"
	"boragehinge.example/boragehinge/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// world runs nodes in two regions of two data centres with three hosts each.
type world struct {
	network *peer.MemoryNetwork
	hosts   []membership.Host
	nodes   []*running

	mu       sync.Mutex
	changes  []membership.Change
	requests int
}

type running struct {
	*Node
	stop context.CancelFunc
	done chan struct{}
}

func newWorld() *world {
	w := &world{network: peer.NewMemoryNetwork()}
	for i := range 12 {
		w.hosts = append(w.hosts, membership.Host{Name: fmt.Sprint("h", i), DataCentre: fmt.Sprint("dc", i/3), PeerAddress: fmt.Sprint("a", i)})
	}
	w.nodes = make([]*running, len(w.hosts))
	for i := range w.hosts {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	h := w.hosts[i]
	n := New(Settings{
		Self:       membership.Member{Host: h.Name, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress},
		Membership: membership.DefaultConfig(), Facts: facts.DefaultConfig(),
		Links: peer.Settings{Transport: w.network.Transport(h.PeerAddress)},
		Callbacks: Callbacks{
			Changes:        func(c []membership.Change) { w.locked(func() { w.changes = append(w.changes, c...) }) },
			NewerVersion:   func(from membership.Member, v int) { w.fetch(i, from, v) },
			RecordsRequest: func(from membership.Member, _ wire.RecordsRequest) { w.answer(i, from) },
			Records:        func(_ membership.Member, r wire.Records) { w.nodes[i].SetVersion(r.Records[0].Offset) },
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.nodes[i] = &running{n, cancel, make(chan struct{})}
	n.SetRoster(w.hosts)
	w.network.Listen(h.PeerAddress, n.Mesh().Accept)
	go func(r *running) {
		defer close(r.done)
		n.Run(ctx)
	}(w.nodes[i])
}

func (w *world) fetch(i int, from membership.Member, version int) {
	e := wire.Envelope{Type: wire.EnvelopeTypeRecordsRequest, RecordsRequest: &wire.RecordsRequest{From: version}}
	_ = w.nodes[i].Send(from.Incarnation, e)
}

func (w *world) answer(i int, from membership.Member) {
	w.locked(func() { w.requests++ })
	r := &wire.Records{Records: []wire.LogRecord{{Offset: w.nodes[i].View().Self.Version}}}
	_ = w.nodes[i].Send(from.Incarnation, wire.Envelope{Type: wire.EnvelopeTypeRecords, Records: r})
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (w *world) count(kind membership.ChangeKind) int {
	count := 0
	w.locked(func() {
		for _, c := range w.changes {
			if c.Kind == kind {
				count++
			}
		}
	})
	return count
}

func (w *world) forget() { w.locked(func() { w.changes = nil }) }

func (w *world) stop(i int) {
	w.nodes[i].stop()
	<-w.nodes[i].done
}

func (w *world) close() {
	for i := range w.nodes {
		w.nodes[i].stop()
	}
	for i := range w.nodes {
		<-w.nodes[i].done
	}
}

func (w *world) each(f func(v *View)) {
	for _, n := range w.nodes {
		f(n.View())
	}
}

// cutRegions cuts or restores all paths between the first and the second half of the hosts.
func (w *world) cutRegions(cut bool) {
	for i := range 6 {
		for j := 6; j < 12; j++ {
			w.network.Cut(w.hosts[i].PeerAddress, w.hosts[j].PeerAddress, cut)
			w.network.Cut(w.hosts[j].PeerAddress, w.hosts[i].PeerAddress, cut)
		}
	}
}

func inWorld(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		time.Sleep(6 * time.Second)
		f(t, w)
		w.close()
	})
}

// Guards against nodes that don't find each other, disagree on owners, or never hold a confirmed view.
func TestNodesAgree(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		pool := membership.PoolID{Service: "s", DataCentre: "dc2"}
		owner, _ := w.nodes[0].View().Owners.Owner(pool)
		require.Equal(t, "dc2", owner.DataCentre)
		w.each(func(v *View) {
			require.Len(t, v.Members, 12)
			require.True(t, time.Now().Before(v.ConfirmedUntil))
			got, ok := v.Owners.Owner(pool)
			require.True(t, ok)
			require.Equal(t, owner.Incarnation, got.Incarnation)
		})
	})
}

// Guards against a region cut that spreads into the data centres' own views, and against sides that never meet again.
func TestRegionsMeetAgain(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.forget()
		w.cutRegions(true)
		time.Sleep(3 * time.Minute)
		w.each(func(v *View) {
			require.Len(t, v.Members, 6)
			require.True(t, time.Now().Before(v.ConfirmedUntil))
		})
		require.Zero(t, w.count(membership.Died))
		w.nodes[0].AddFact(wire.Envelope{Type: wire.EnvelopeTypeLeavingFact, LeavingFact: &wire.LeavingFact{DataCentre: "dc0", Base: 1}})
		time.Sleep(time.Second)
		require.Len(t, w.nodes[3].View().Leaving, 1)
		require.Empty(t, w.nodes[11].View().Leaving)
		w.cutRegions(false)
		time.Sleep(20 * time.Second)
		w.each(func(v *View) {
			require.Len(t, v.Members, 12)
			require.Len(t, v.Leaving, 1, "facts are sent again on new links")
		})
	})
}

// Guards against a lost data centre that stays among the members or whose pools have no owner.
func TestDataCentreLost(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.network.CutWhere(func(from, to string) bool { return inFirstCentre(from) || inFirstCentre(to) })
		time.Sleep(15 * time.Second)
		for _, n := range w.nodes[3:] {
			require.Len(t, n.View().Members, 9)
			owner, ok := n.View().Owners.Owner(membership.PoolID{Service: "s", DataCentre: "dc0"})
			require.True(t, ok)
			require.NotEqual(t, "dc0", owner.DataCentre)
		}
	})
}

func inFirstCentre(address string) bool {
	return address == "a0" || address == "a1" || address == "a2"
}

// Guards against a version that stays behind in one data centre, and against requests for records that never end.
func TestVersionReachesEveryNode(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.nodes[4].SetVersion(9)
		time.Sleep(5 * time.Second)
		w.each(func(v *View) {
			require.Equal(t, 9, v.Self.Version)
			require.Equal(t, 9, v.LowestVersion)
		})
		var before int
		w.locked(func() { before = w.requests })
		time.Sleep(5 * time.Second)
		w.locked(func() { require.Equal(t, before, w.requests) })
	})
}

// Guards against a planned stop that is found only by silence, and against a restart under the same address that is
// locked out or leaves its earlier incarnation behind.
func TestRestartUnderSameAddress(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		for round := range 5 {
			w.stop(0)
			require.Len(t, w.nodes[1].View().Members, 11, "round %d: goodbye", round)
			w.start(0)
			time.Sleep(8 * time.Second)
			w.each(func(v *View) {
				require.Len(t, v.Members, 12)
				require.True(t, time.Now().Before(v.ConfirmedUntil))
			})
		}
		require.Zero(t, w.count(membership.Died))
	})
}

// Guards against a leaving entry that keeps its pools.
func TestLeavingEntryOwnsNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.nodes[3].SetLeaving()
		time.Sleep(3 * time.Second)
		w.each(func(v *View) {
			for shard := range 20 {
				owner, ok := v.Owners.Owner(membership.PoolID{Service: "s", DataCentre: "dc1", Shard: shard})
				require.True(t, ok)
				require.NotEqual(t, "h3", owner.Host)
			}
		})
	})
}

// Guards against the late report of a replaced link that takes the current one out of use: its peer would get no
// heartbeats. With 600 nodes, the race delayed the first complete views by 10 s.
func TestLateUnlinkedKeepsCurrentLink(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.forget()
		w.nodes[0].Unlinked(w.nodes[1].View().Self.Wire())
		time.Sleep(5 * time.Second)
		require.Zero(t, w.count(membership.Died))
	})
}
