package cluster

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/peer"
	"boragehinge.example/boragehinge/internal/wire"
)

// wantInterval is the interval at which the wanted links are chosen anew.
const wantInterval = time.Second

// goodbyeTime is the time for goodbyes to leave before links are closed.
const goodbyeTime = 200 * time.Millisecond

// Settings of a node.
type Settings struct {
	// Self is the own member; an empty Incarnation is drawn at random.
	Self       membership.Member
	Membership membership.Config
	Facts      facts.Config
	Callbacks  Callbacks
	// Links holds the transport, timeouts and bounds of the mesh. Self and Handler are set by New.
	Links peer.Settings
	// Peers are addresses of entries to which links are kept in addition to those that the list names.
	Peers []string
}

// View is what an entry knows at one moment. It is immutable; fields must not be changed.
type View struct {
	Self    membership.Member
	Members []membership.Member // live, all data centres, sorted by data centre and host
	Owners  *membership.Owners
	// Hash is the hash of the view of the own data centre; 0 in transition.
	Hash int
	// ConfirmedUntil is the time before which the view of the own data centre is confirmed. It stays valid until then
	// whatever happens; compare it with the time of each grant. It says nothing about pools of other data centres.
	ConfirmedUntil time.Time
	// LowestVersion is the lowest configuration version of all live members.
	LowestVersion int
	Stops         []wire.StopFact
	Leaving       []wire.LeavingFact
}

// Node runs the membership of one entry. Run must be called once.
type Node struct {
	settings Settings
	mesh     *peer.Mesh
	view     atomic.Pointer[View]
	hello    atomic.Pointer[wire.Member]

	mu         sync.Mutex
	core       *Core
	generation uint64 // of the members in the last view
	stale      bool   // the owner function of the last view is out of date
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() string {
	var b [wire.IncarnationDigits / 2]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// New returns a node that has no links before Run.
func New(s Settings) *Node {
	if s.Self.Incarnation == "" {
		s.Self.Incarnation = NewIncarnation()
	}
	n := &Node{settings: s}
	s.Links.Self = func() wire.Member { return *n.hello.Load() }
	s.Links.Handler = n
	n.mesh = peer.NewMesh(s.Links)
	send := func(to string, e wire.Envelope) { _ = n.mesh.Send(to, e) }
	n.core = NewCore(s.Self, s.Membership, s.Facts, s.Callbacks, send, time.Now())
	n.publish(time.Now())
	return n
}

// Mesh returns the mesh, for accepting links.
func (n *Node) Mesh() *peer.Mesh { return n.mesh }

// View returns the current view. It takes no lock.
func (n *Node) View() *View { return n.view.Load() }

// Run ticks until ctx ends, then says goodbye and closes all links.
func (n *Node) Run(ctx context.Context) {
	ticker := time.NewTicker(n.settings.Membership.TickInterval)
	defer ticker.Stop()
	var wanted time.Time
	for {
		now := time.Now()
		if now.Sub(wanted) >= wantInterval {
			wanted = now
			n.mesh.Want(n.targets(now))
		}
		n.do(func(now time.Time) { n.core.Tick(now) })
		select {
		case <-ctx.Done():
			n.do(func(time.Time) { n.core.Goodbye("stopping") })
			time.Sleep(goodbyeTime)
			n.mesh.Close()
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) targets(now time.Time) []peer.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	var targets []peer.Target
	known := map[string]bool{n.settings.Self.PeerAddress: true}
	for _, h := range n.core.Table().WantedHosts(now) {
		if h.PeerAddress == "" {
			continue
		}
		known[h.PeerAddress] = true
		targets = append(targets, peer.Target{Host: h.Name, Address: h.PeerAddress})
	}
	for _, address := range n.settings.Peers {
		if !known[address] {
			targets = append(targets, peer.Target{Host: address, Address: address})
		}
	}
	return targets
}

// do runs f with the core locked, publishes the view and calls the callbacks without the lock.
func (n *Node) do(f func(now time.Time)) {
	n.mu.Lock()
	now := time.Now()
	f(now)
	n.publish(now)
	calls := n.core.Deferred()
	n.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

func (n *Node) publish(now time.Time) {
	table := n.core.Table()
	self := table.Self()
	hello := self.Wire()
	n.hello.Store(&hello)
	members, owners := n.members()
	n.view.Store(&View{
		Self: self, Members: members, Owners: owners, Hash: table.ViewHash(), ConfirmedUntil: table.ConfirmedUntil(now),
		LowestVersion: table.LowestVersion(), Stops: n.core.Facts().Stops(), Leaving: n.core.Facts().Leaving(),
	})
}

// members returns the members and owner function, those of the last view when nothing changed.
func (n *Node) members() ([]membership.Member, *membership.Owners) {
	generation := n.core.Table().Generation()
	if last := n.view.Load(); last != nil && n.generation == generation && !n.stale {
		return last.Members, last.Owners
	}
	n.stale = false
	n.generation = generation
	members := n.core.Table().Members()
	return members, membership.NewOwners(members, n.settings.Membership.Distance)
}

// SetRoster sets the entry hosts of the platform's list.
func (n *Node) SetRoster(hosts []membership.Host) {
	n.do(func(now time.Time) { n.core.Table().SetRoster(now, hosts) })
}

// SetVersion sets the configuration version in force. It never falls.
func (n *Node) SetVersion(version int) {
	n.do(func(time.Time) { n.core.SetVersion(version) })
}

// SetMoves sets the version moves of the configuration in force, as service and move name, which lifts the stop facts
// of all others.
func (n *Node) SetMoves(moves map[[2]string]bool) {
	n.do(func(time.Time) { n.core.Facts().SetMoves(moves) })
}

// Refresh builds the owner function anew, after the distances of the data centres changed.
func (n *Node) Refresh() {
	n.do(func(time.Time) { n.stale = true })
}

// SetLeaving declares that the entry leaves. It owns no pools from now on.
func (n *Node) SetLeaving() {
	n.do(func(now time.Time) { n.core.Table().SetLeaving(now) })
}

// ConfirmedFor is View().ConfirmedUntil for one pool, also of another data centre; see membership.Table.ConfirmedFor. It
// takes the lock of Node, so that it must not be called with a lock held that a callback takes.
func (n *Node) ConfirmedFor(pool membership.PoolID) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Table().ConfirmedFor(time.Now(), pool)
}

// AddFact adds a stop, leaving or poison fact and spreads it.
func (n *Node) AddFact(e wire.Envelope) facts.Verdict {
	var verdict facts.Verdict
	n.do(func(now time.Time) { verdict = n.core.AddFact(now, e) })
	return verdict
}

// Send sends a message to one peer, with the errors of peer.Mesh.Send.
func (n *Node) Send(incarnation string, e wire.Envelope) error {
	return n.mesh.Send(incarnation, e)
}

// Linked implements peer.Handler.
func (n *Node) Linked(p wire.Member) {
	n.do(func(now time.Time) { n.core.Linked(now, membership.FromWire(p)) })
}

// Received implements peer.Handler. Heartbeats don't publish the view: the next tick does, at most 50 ms later.
func (n *Node) Received(p wire.Member, e *wire.Envelope) {
	n.mu.Lock()
	n.core.Receive(time.Now(), membership.FromWire(p), e)
	calls := n.core.Deferred()
	n.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// Unlinked implements peer.Handler. The mesh is asked under the lock: a link that replaces the lost one is either
// registered by now, or calls Linked later. Otherwise a peer with a link could get no heartbeats.
func (n *Node) Unlinked(p wire.Member) {
	n.do(func(time.Time) {
		if !n.mesh.HasLink(p.Incarnation) {
			n.core.Unlinked(p.Incarnation)
		}
	})
}

// Unreachable implements peer.Handler.
func (n *Node) Unreachable(host string) {
	n.do(func(now time.Time) { n.core.Table().Unreachable(now, host) })
}
