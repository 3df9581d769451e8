package coordinator

import (
	"context"
	"errors"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
)

const (
	// beatInterval is the longest pause between two frames of the leader to an entry that places requests, and idleBeat that
	// to the others, which are many.
	beatInterval = 100 * time.Millisecond
	idleBeat     = 400 * time.Millisecond
	// leaderSilence is the silence after which a leader counts as lost. Entries on a busy host may pause for 100 ms.
	leaderSilence = 450 * time.Millisecond
	idleSilence   = 1300 * time.Millisecond
	// activeTime is how long an entry counts as one that places requests after the last one.
	activeTime = 2 * time.Second
	// followerBeat lets the leader notice a follower that is gone without a reset.
	followerBeat    = 400 * time.Millisecond
	followerSilence = 1500 * time.Millisecond
)

// errLeaderLost ends the link to a leader that another entry has lost and that doesn't answer.
var errLeaderLost = errors.New("another entry has lost the leader, and it does not answer")

// follow keeps a link to the leader until it is lost.
func (n *Node) follow(ctx context.Context, address string) {
	link, err := DialLink(ctx, address)
	if err != nil {
		n.noteLost(address)
		n.log.Info().Str("leader", address).Err(err).Msg("leader not reached")
		pause.For(ctx, 20*time.Millisecond)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &following{node: n, link: link, address: address, session: newLinkSession(link)}
	link.Queue(func(frame *Frame) { frame.Hello = n.hello(f.session) })
	go func() {
		if err := link.Write(ctx, func() time.Duration { return followerBeat }); err != nil {
			link.fail(err)
		}
	}()
	err = link.Read(ctx, f.silence, f.handle)
	link.fail(err)
	n.noteLost(address)
	n.endFollowing(f)
	n.log.Warn().Str("dependency", "leader").Str("leader", address).Err(err).Msg("dependency lost")
}

// hello introduces this entry to a leader and moves the calls that run to the new session.
func (n *Node) hello(s session) *Hello {
	running := n.adoptRunning(s)
	return &Hello{Entry: n.o.Self, Leaving: n.Leaving(), Running: running}
}

// adoptRunning returns the calls that run on upstreams; their ends will be reported to s.
func (n *Node) adoptRunning(s session) []Running {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Running, 0, len(n.running))
	for h := range n.running {
		a := h.ask
		a.MayHedge = false // a second attempt would be granted to the session that has ended
		a.DeadlineLeft -= time.Since(h.started)
		out = append(out, Running{Ask: a, Upstream: h.upstream})
		h.session = s
	}
	return out
}

type following struct {
	node    *Node
	link    *Link
	address string
	session *linkSession
	joined  bool
	// informed says that the leader sent the records of upstreams, which it does once this entry places requests.
	informed bool
}

// silence is the time after which the leader counts as lost. The leader learns of the first request after a pause before it
// beats faster, so the time becomes shorter a little later.
func (f *following) silence() time.Duration {
	if first := f.session.activeFor(time.Now()); first > idleBeat {
		return leaderSilence
	}
	return idleSilence
}

// handle takes a frame of the leader.
func (f *following) handle(frame *Frame) {
	n := f.node
	f.session.heard.Store(int64(time.Since(f.session.began)))
	if f.informed {
		n.noteFresh()
	}
	for _, b := range frame.Batches {
		f.informed = f.informed || b.Source == gateway.Upstreams
		n.apply(b, time.Time{})
	}
	if frame.Roster != nil {
		n.setRoster(frame.Roster)
	}
	for _, m := range frame.Moves {
		n.noteMove(m)
	}
	f.session.Deliver(frame.Grants, frame.Refusals)
	if !f.joined && len(frame.Batches) > 0 {
		f.joined = true
		n.setSession(f.session)
		n.log.Info().Str("dependency", "leader").Str("leader", f.address).Msg("dependency available")
	}
}

func (n *Node) endFollowing(f *following) {
	if n.currentSession() == session(f.session) {
		if !f.informed {
			n.forgetUpstreams()
		}
		n.setSession(newLocalSession(n.alone))
	}
	f.session.end()
}

// forgetUpstreams drops records of upstreams that no leader has kept up to date. Upstreams that have left must get nothing.
func (n *Node) forgetUpstreams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.world.ForgetUpstreams()
	n.configurePools(time.Now())
}

func (n *Node) setRoster(r *Roster) {
	n.mu.Lock()
	n.roster, n.rosterAt = r, time.Now()
	n.mu.Unlock()
}

// noteMove applies the state of a move to the pools that are used without a leader. A version on trial gets nothing there.
func (n *Node) noteMove(m MoveNotice) {
	phase := m.Phase
	if phase == placement.Trial {
		phase = placement.RolledBack
	}
	n.alone.WithPool(m.Service, func(p *placement.Pool) {
		if m.Version == "" {
			p.EndMove()
			return
		}
		p.SetMovePhase(m.Version, phase)
	})
}

// rosterLifetime is how long a roster is used after the last word of a leader. Addresses of entries that ended must not be
// named for longer.
const rosterLifetime = 3 * time.Second

// Addresses returns the addresses for a caller in a data centre.
func (n *Node) Addresses(dataCentre string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.roster != nil && time.Since(n.rosterAt) < rosterLifetime {
		if named := n.roster.Callers[dataCentre]; len(named) > 0 {
			return named
		}
		for _, named := range n.roster.Callers {
			if len(named) > 0 {
				return named
			}
		}
	}
	if n.leaving || n.world.Config == nil {
		return nil
	}
	return []string{n.o.Self.Callers}
}
