package coordinator

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
)

const (
	// activeHeartbeat is the heartbeat interval from the leader to a follower that places requests. The others, which are many,
	// get idleHeartbeat.
	activeHeartbeat = 100 * time.Millisecond
	idleHeartbeat   = 400 * time.Millisecond
	// activeLeaderTimeout is the time without a frame after which a follower that places requests considers the leader lost.
	// Processes on a busy host may pause for 100 ms.
	activeLeaderTimeout = 450 * time.Millisecond
	idleLeaderTimeout   = 1300 * time.Millisecond
	// activePeriod is how long an entry counts as placing requests after its last one.
	activePeriod = 2 * time.Second
	// followerHeartbeat lets the leader detect a follower whose connection vanished without a reset.
	followerHeartbeat = 400 * time.Millisecond
	followerTimeout   = 1500 * time.Millisecond
)

// errLeaderLost ends the link to a leader that another entry reported as lost and that doesn't answer a query.
var errLeaderLost = errors.New("leader reported lost by another entry and not answering")

// follow connects to the leader and serves the link until it fails.
func (n *Node) follow(ctx context.Context, address string) {
	link, err := DialLink(ctx, address)
	if err != nil {
		n.rememberLostLeader(address)
		n.log.Info().Str("leader", address).Err(err).Msg("failed to connect to the leader")
		pause.For(ctx, 20*time.Millisecond)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &leaderConnection{node: n, link: link, address: address, session: newLinkSession(link), probes: newDelegatedProbes(n, link)}
	hello := n.hello()
	n.adoptRunning(c.session, func(running []Running) { hello.Running = running })
	link.Queue(func(frame *Frame) { frame.Hello, frame.StoreEpoch = hello, n.storeEpoch.Load() })
	go func() {
		if err := link.Write(ctx, func() time.Duration { return followerHeartbeat }); err != nil {
			link.fail(err)
		}
	}()
	err = link.Read(ctx, c.timeout, c.handle)
	c.probes.end()
	link.fail(err)
	n.rememberLostLeader(address)
	n.endFollowing(c)
	n.log.Warn().Str("dependency", "leader").Str("leader", address).Err(err).Msg("dependency lost")
}

// hello introduces this entry to a leader. The caller adds the running attempts that the leader adopts.
func (n *Node) hello() *Hello {
	return &Hello{
		Entry: n.o.Self, Leaving: n.Leaving(), AcceptsPacked: true, Limits: n.upstreamLimits(),
		LeavingUpstreams: n.leavingUpstreams(), Histories: n.currentHistories(), Host: n.hostLimits(), Probes: n.o.Delegation != nil,
		KeepsClusterInfo: true,
	}
}

// adoptRunning moves the running attempts of other sessions to a session, to which their results will be reported, and passes them to adopt,
// which must not lock n.mu. No result is reported before adopt has returned: it would be unknown, and the attempt would then run forever.
func (n *Node) adoptRunning(s session, adopt func([]Running)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]Running, 0, len(n.running))
	for attempt := range n.running {
		if attempt.session == s {
			continue
		}
		a := attempt.ask
		a.MayHedge = false // a hedge would be granted to the ended session
		a.DeadlineLeft -= time.Since(attempt.started)
		out = append(out, Running{Ask: a, Upstream: attempt.upstream})
		attempt.session = s
	}
	if len(out) > 0 {
		adopt(out)
	}
}

// adoptLocally moves the running attempts of other sessions to a session of a coordinator of this process.
func (n *Node) adoptLocally(s *localSession) {
	n.adoptRunning(s, func(running []Running) { s.coordinator.Adopt(time.Now(), s, running) })
}

// leaderConnection is the state of a follower's link to the leader.
type leaderConnection struct {
	node    *Node
	link    *Link
	address string
	session *linkSession
	probes  *delegatedProbes // nil without the setting
	joined  bool
	// hasUpstreams is set once the leader has sent upstream records, which it does when this entry places requests.
	hasUpstreams bool
	// hasClusterInfo is set once the leader has sent cluster information. It sends it again when it has changed.
	hasClusterInfo bool
	version        atomic.Uint64 // of the leader's configuration, as far as it has sent one
}

// timeout returns the time without a frame after which the leader counts as lost. The leader switches to the shorter heartbeat
// interval only when it receives the first request, so the timeout becomes shorter a little later than that.
func (c *leaderConnection) timeout() time.Duration {
	if first := c.session.activeFor(time.Now()); first > idleHeartbeat {
		return activeLeaderTimeout
	}
	return idleLeaderTimeout
}

// handle processes a frame from the leader.
func (c *leaderConnection) handle(frame *Frame) {
	n := c.node
	c.session.lastFrame.Store(int64(time.Since(c.session.startedAt)))
	if c.hasUpstreams {
		n.markUpstreamsFresh()
	}
	for _, b := range frame.Batches {
		c.hasUpstreams = c.hasUpstreams || b.Source == gateway.Upstreams
		n.learnEpoch(b.Epoch)
		n.apply(b, time.Time{})
		if missing := n.missingInLeader(b); len(missing) > 0 {
			c.link.Queue(func(frame *Frame) { frame.Batches = append(frame.Batches, missing...) })
		}
		c.compareVersions(b)
	}
	c.probes.execute(frame.ProbeOrders)
	switch {
	case frame.ClusterInfo != nil:
		c.hasClusterInfo = true
		n.setClusterInfo(frame.ClusterInfo)
	case c.hasClusterInfo:
		n.renewClusterInfo()
	}
	for _, m := range frame.Moves {
		n.applyMoveNotice(m)
	}
	if len(frame.Histories) > 0 {
		n.learnHistories(frame.Histories)
	}
	if frame.Demand != nil {
		n.learnDemand(*frame.Demand)
	}
	if frame.Usage != nil {
		n.usage.fromLeader(frame.Usage)
	}
	c.session.Deliver(frame.Grants, frame.Refusals)
	if !c.joined && len(frame.Batches) > 0 {
		c.joined = true
		n.setSession(c.session)
		c.link.Queue(func(frame *Frame) { frame.StoreEpoch = n.storeEpoch.Load() }) // it may have risen since the Hello
		c.reportLateAttempts()
		n.log.Info().Str("dependency", "leader").Str("leader", c.address).Msg("dependency available")
	}
}

// reportLateAttempts reports to the leader the attempts that the previous session has granted since the first Hello.
func (c *leaderConnection) reportLateAttempts() {
	hello := c.node.hello()
	c.node.adoptRunning(c.session, func(running []Running) {
		hello.Running = running
		c.link.Queue(func(frame *Frame) { frame.Hello = hello })
	})
}

// endFollowing switches to standalone placement after a link to the leader has ended.
func (n *Node) endFollowing(c *leaderConnection) {
	if n.currentSession() == session(c.session) {
		if !c.hasUpstreams {
			n.forgetUpstreams()
		}
		n.markLeaderless()
		n.switchToStandalone()
	}
	c.session.end()
}

// markLeaderless records that the leader was lost.
func (n *Node) markLeaderless() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaderlessSince = time.Now()
}

// forgetUpstreams drops upstream records that no leader has kept up to date, because they may include upstreams that have left.
func (n *Node) forgetUpstreams() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view.ForgetUpstreams()
	n.configurePools(time.Now())
}

func (n *Node) setClusterInfo(info *ClusterInfo) {
	n.mu.Lock()
	n.clusterInfo, n.clusterInfoAt = info, time.Now()
	n.mu.Unlock()
}

// renewClusterInfo records that the cluster information is still current.
func (n *Node) renewClusterInfo() {
	n.mu.Lock()
	n.clusterInfoAt = time.Now()
	n.mu.Unlock()
}

// applyMoveNotice applies the phase of a move to the standalone pools. They send no requests to a version on trial.
func (n *Node) applyMoveNotice(m MoveNotice) {
	phase := m.Phase
	if phase == placement.Trial {
		phase = placement.RolledBack
	}
	n.standalone.WithPool(m.Service, func(p *placement.Pool) {
		if m.Version == "" {
			p.EndMove()
			return
		}
		p.SetMovePhase(m.Version, phase)
	})
}

// clusterInfoTTL is how long cluster information is used after the leader's last frame. Addresses of stopped entries must not be
// advertised for longer.
const clusterInfoTTL = 3 * time.Second

// Addresses returns the entry addresses that a caller in a data centre should connect to.
func (n *Node) Addresses(dataCentre string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clusterInfo != nil && time.Since(n.clusterInfoAt) < clusterInfoTTL {
		if advertised := n.clusterInfo.Callers[dataCentre]; len(advertised) > 0 {
			return advertised
		}
		for _, advertised := range n.clusterInfo.Callers {
			if len(advertised) > 0 {
				return advertised
			}
		}
	}
	if n.leaving || n.view.Config == nil {
		return nil
	}
	return []string{n.o.Self.Callers}
}
