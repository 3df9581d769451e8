package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// unreachableAfter is the number of failed attempts in a row after which Handler.Unreachable is called, and called again.
const unreachableAfter = 3

const forever = 1<<63 - 1

// Mesh keeps the links of one entry. Close it to end all of them.
type Mesh struct {
	s       Settings
	ctx     context.Context
	stop    context.CancelCauseFunc
	running sync.WaitGroup
	count   counters

	mu      sync.Mutex
	closed  bool
	open    int              // connections, those in the exchange of Hello included
	links   map[string]*link // by incarnation of the peer
	targets map[string]*target
	// replacements holds, by incarnation of a peer, the channel that is closed when a new link replaces one that may have been
	// refused as a duplicate.
	replacements map[string]chan struct{}
}

type target struct {
	Target
	stop   context.CancelFunc
	linked chan struct{} // holds a token when a link may have ended
}

// NewMesh returns a mesh without links. Want and Accept add some.
func NewMesh(s Settings) *Mesh {
	m := &Mesh{
		s: s.withDefaults(), links: map[string]*link{}, targets: map[string]*target{}, replacements: map[string]chan struct{}{},
	}
	m.ctx, m.stop = context.WithCancelCause(context.Background())
	return m
}

// Want sets the hosts to which the mesh keeps links. Links to other hosts that this mesh dialled end, so that links don't
// pile up as the choice changes; a peer that wants such a link dials it again. Links that peers dialled stay.
func (m *Mesh) Want(targets []Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	wanted := map[string]bool{}
	for _, t := range targets {
		wanted[t.Host] = true
		old := m.targets[t.Host]
		if old != nil && old.Target == t {
			continue
		}
		if old != nil {
			old.stop()
		}
		m.start(t)
	}
	for host, t := range m.targets {
		if !wanted[host] {
			t.stop()
			delete(m.targets, host)
		}
	}
	m.endUnwanted(targets)
}

func (m *Mesh) endUnwanted(targets []Target) {
	self := m.s.Self().Incarnation
	hosts, addresses := map[string]bool{}, map[string]bool{}
	for _, t := range targets {
		hosts[t.Host] = true
		addresses[t.Address] = true
	}
	for _, l := range m.links {
		if l.initiator == self && !hosts[l.peer.Host] && !addresses[l.peer.PeerAddress] {
			l.cancel(ErrUnwanted)
		}
	}
}

func (m *Mesh) start(t Target) {
	ctx, cancel := context.WithCancel(m.ctx)
	kept := &target{Target: t, stop: cancel, linked: make(chan struct{}, 1)}
	m.targets[t.Host] = kept
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		defer cancel()
		m.keep(ctx, kept)
	}()
}

// keep dials a host whenever no link to it exists. A link that ends soon counts as a failed attempt, so that a peer that
// accepts links and ends them isn't dialled in a loop.
func (m *Mesh) keep(ctx context.Context, t *target) {
	failures := 0
	for ctx.Err() == nil {
		if m.linkedTo(t.Target) {
			failures = 0
			wait(ctx, t.linked, m.s.MaxBackoff)
			continue
		}
		dialled := time.Now()
		ended, err := m.connect(ctx, t.Address)
		if err == nil {
			wait(ctx, ended, forever)
		}
		if time.Since(dialled) >= m.s.MaxBackoff && err == nil {
			failures = 0
		}
		failures++
		if failures%unreachableAfter == 0 && !m.linkedTo(t.Target) {
			m.s.Handler.Unreachable(t.Host)
		}
		wait(ctx, t.linked, m.backoff(failures))
	}
}

func (m *Mesh) backoff(failures int) time.Duration {
	d := min(m.s.MinBackoff<<min(failures-1, 16), m.s.MaxBackoff)
	return d/2 + rand.N(d/2+1)
}

func wait(ctx context.Context, token <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-token:
	case <-timer.C:
	}
}

// connect dials and starts a link, which outlives the call; ended is closed at its end.
func (m *Mesh) connect(ctx context.Context, address string) (ended <-chan struct{}, err error) {
	dialCtx, cancel := context.WithTimeout(ctx, m.s.HelloTimeout)
	defer cancel()
	conn, err := m.s.Transport.Dial(dialCtx, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	up := make(chan error, 1)
	done := make(chan struct{})
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		defer close(done)
		_ = m.serve(m.ctx, conn, true, up)
	}()
	return done, <-up
}

// Accept runs a link on an accepted connection until it ends, and returns the cause. It closes the connection.
func (m *Mesh) Accept(conn Conn) error {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		_ = conn.Close()
		return ErrClosed
	}
	m.running.Add(1)
	m.mu.Unlock()
	defer m.running.Done()
	return m.serve(m.ctx, conn, false, make(chan error, 1))
}

// serve sends to up whether the link was registered, then runs it.
func (m *Mesh) serve(ctx context.Context, conn Conn, dialled bool, up chan<- error) error {
	defer func() { _ = conn.Close() }()
	if !m.enter() {
		up <- ErrQueueFull
		return fmt.Errorf("%w: %d links", ErrQueueFull, m.s.MaxLinks)
	}
	defer m.leave()
	l, err := m.handshake(ctx, conn, dialled)
	if err != nil {
		m.count.refused.Add(1)
		m.countTooLong(err)
		up <- err
		return err
	}
	return l.run(ctx, up)
}

func (m *Mesh) enter() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.open >= m.s.MaxLinks {
		return false
	}
	m.open++
	return true
}

func (m *Mesh) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open--
}

func (m *Mesh) countTooLong(err error) {
	if errors.Is(err, wire.ErrTooLong) {
		m.count.tooLong.Add(1)
	}
}

// register makes l the link to its peer. Of two links that were dialled by both peers at once, both keep the one
// dialled by the lower incarnation; of two by the same peer, the newer one, since its dialler lost the older one.
func (m *Mesh) register(l *link) error {
	m.mu.Lock()
	old := m.links[l.peer.Incarnation]
	if old != nil && old.initiator != l.initiator && old.initiator < l.initiator {
		m.mu.Unlock()
		return ErrDuplicate
	}
	m.links[l.peer.Incarnation] = l
	l.registered = time.Now()
	replaced, replaces := m.replacements[l.peer.Incarnation]
	delete(m.replacements, l.peer.Incarnation)
	m.mu.Unlock()
	switch {
	case old != nil:
		old.cancel(ErrDuplicate)
	case replaces:
		close(replaced)
	default:
		m.s.Handler.Linked(l.peer)
	}
	return nil
}

// unregister removes a link that has ended, and reports that its peer has no link unless a new one replaces it.
func (m *Mesh) unregister(l *link) {
	m.mu.Lock()
	if m.links[l.peer.Incarnation] != l {
		m.mu.Unlock()
		return
	}
	delete(m.links, l.peer.Incarnation)
	var replaced chan struct{}
	if m.mayBeDuplicate(l) {
		replaced = make(chan struct{})
		m.replacements[l.peer.Incarnation] = replaced
	}
	t := m.targets[l.peer.Host]
	m.mu.Unlock()
	if replaced != nil && m.awaitReplacement(l.peer.Incarnation, replaced) {
		return
	}
	m.s.Handler.Unlinked(l.peer)
	if t != nil {
		select {
		case t.linked <- struct{}{}:
		default:
		}
	}
}

// mayBeDuplicate reports whether the peer may have ended the link because both dialled at once. The peer then keeps the link
// that the lower incarnation dialled, which may not be registered here yet.
func (m *Mesh) mayBeDuplicate(l *link) bool {
	higher := max(m.s.Self().Incarnation, l.peer.Incarnation)
	return l.initiator == higher && time.Since(l.registered) < m.s.HelloTimeout
}

// awaitReplacement waits as long as the handshake of another link to the peer may take, and reports whether one replaced the
// link that ended.
func (m *Mesh) awaitReplacement(incarnation string, replaced chan struct{}) bool {
	wait(m.ctx, replaced, m.s.HelloTimeout)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replacements[incarnation] != replaced {
		return true
	}
	delete(m.replacements, incarnation)
	return false
}

// linkedTo also compares addresses: peers from settings are known by address only.
func (m *Mesh) linkedTo(t Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.peer.Host == t.Host || l.peer.PeerAddress == t.Address {
			return true
		}
	}
	return false
}

// Send queues a message to a peer; the mesh sets its sender and sequence number. It doesn't block. It returns
// ErrNoLink, ErrQueueFull (the link ends) or an error of wire.Encode.
func (m *Mesh) Send(incarnation string, e wire.Envelope) error {
	m.mu.Lock()
	l := m.links[incarnation]
	m.mu.Unlock()
	if l == nil {
		return fmt.Errorf("%w: %s", ErrNoLink, incarnation)
	}
	e.Sender = m.s.Self().Incarnation
	err := l.out.push(e)
	if errors.Is(err, ErrQueueFull) {
		m.count.queues.Add(1)
		l.cancel(err)
	}
	return err
}

// Peers returns the peers with a link, in no order.
func (m *Mesh) Peers() []wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]wire.Member, 0, len(m.links))
	for _, l := range m.links {
		peers = append(peers, l.peer)
	}
	return peers
}

// HasLink reports whether a link to an incarnation exists.
func (m *Mesh) HasLink(incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[incarnation] != nil
}

// Stats returns the counters.
func (m *Mesh) Stats() Stats {
	s := m.count.stats()
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Links = len(m.links)
	return s
}

// Close ends all links and waits for their goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop(ErrClosed)
	m.running.Wait()
}
