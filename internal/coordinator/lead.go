package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/feed"
	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	tickInterval = 10 * time.Millisecond
	// maintenanceInterval is the interval of periodic work that is not urgent: moves, expired tombstones, cluster information.
	maintenanceInterval = 100 * time.Millisecond
	clusterInfoInterval = 500 * time.Millisecond
	// clusterInfoPause is the minimum time between two broadcasts of the cluster information, for each follower. When hundreds of
	// followers join at once, one broadcast each would fill the leader's network link.
	clusterInfoPause = 100 * time.Microsecond
	// rivalInterval is how often a leader queries other entries for rival leaders.
	rivalInterval = time.Second
	// newLeaderRivalInterval replaces rivalInterval during the newLeaderPeriod, when several entries may have become leader at once, and
	// equally long after the loss of most followers, which may follow another leader.
	newLeaderRivalInterval = 150 * time.Millisecond
	newLeaderPeriod        = 2 * time.Second
)

// leadership is the state of an entry while it is the leader.
type leadership struct {
	node         *Node
	log          zerolog.Logger
	coordinator  *Coordinator
	feed         *feed.Feed
	relay        *relayStore
	delegation   *delegation // of probes; nil without the setting
	cancel       context.CancelFunc
	moves        *moveController
	loggedStates map[string]upstreamState // by upstream; used by the goroutine of runMaintenance only
	startedAt    time.Time
	// minoritySince is the time since which less than half of the known entries follow, zero if more do. It is written by the goroutine
	// of lead under Node.mu; other goroutines read it under Node.mu.
	minoritySince time.Time
	histories     historySender
	empty         emptyDataCentres // guarded by publishing
	demand        demandMeter      // guarded by publishing
	shortage      shortage         // of this entry; guarded by publishing

	rate      rateMeter
	announcer announcer
	pacer     pacer
	snapshots snapshotCache

	mu         sync.Mutex
	followers  map[*follower]struct{}
	probes     map[string]*probeRun // by upstream
	advertised map[string][]string  // addresses advertised to callers, by data centre
	selections map[string]selection // results of the last choice of those addresses, by data centre
	stopping   bool
	publishing sync.Mutex // serialises the broadcasts of the cluster information, so that the newest comes last
	// clusterInfoAt is the time of the last broadcast of the cluster information; clusterInfoDue is set while changes wait for the
	// next one.
	clusterInfoAt  time.Time
	clusterInfoDue bool
	clusterInfo    *ClusterInfo // last one, replaced when it changes; guarded by publishing
}

// lead runs this entry as the leader until ctx ends or it steps down.
func (n *Node) lead(ctx context.Context) {
	if n.Leaving() {
		pause.For(ctx, 100*time.Millisecond)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := newLeadership(n, cancel)
	s := newLocalSession(l.coordinator)
	n.mu.Lock()
	n.leader = l
	l.restrictBodies(time.Now(), 0, len(n.view.Entries))
	l.configure(time.Now(), n.view)
	l.demand.adopt(time.Now(), n.lastDemand(time.Now()))
	l.coordinator.AdoptHistories(time.Now(), n.knownHistories(time.Now()))
	n.mu.Unlock()
	n.adoptLocally(s)
	n.setSession(s)
	n.adoptLocally(s) // what the previous session has granted in between
	n.log.Info().Str("event", "leadership").Str("entry", n.o.Self.Name).Msg("leads")

	l.feed.LearnEpoch(n.storeEpoch.Load())
	go l.feed.Run(ctx)
	var meter tickDelayMeter
	go pause.Every(ctx, tickInterval, func(time.Time) {
		now := time.Now() // the ticker's time is too early when this process was short of CPU
		l.tick(now, meter.observe(now))
	})
	go l.delegation.run(ctx)
	go l.watchRivals(ctx)
	go l.shareCrashes(ctx)
	l.runMaintenance(ctx)

	l.sendHistories(time.Now())
	n.mu.Lock()
	n.leader = nil
	n.mu.Unlock()
	n.switchToStandalone()
	l.end()
	n.log.Info().Str("event", "leadership").Str("entry", n.o.Self.Name).Msg("no longer leads")
}

func newLeadership(n *Node, cancel context.CancelFunc) *leadership {
	l := &leadership{
		node: n, log: n.log, coordinator: NewCoordinator(n.limits(), false), cancel: cancel,
		startedAt: time.Now(), loggedStates: map[string]upstreamState{}, followers: map[*follower]struct{}{}, probes: map[string]*probeRun{}, advertised: map[string][]string{}, selections: map[string]selection{},
	}
	l.coordinator.work = &n.work
	l.pacer.bytesPerSecond = pacedLinkShare * n.o.LinkBytesPerSecond
	l.relay = &relayStore{direct: n.o.Store, peers: l.peerAddresses, learnEpoch: n.learnEpoch, log: n.log}
	l.feed = &feed.Feed{Store: l.relay, Deliver: l.deliverBatch, Log: n.log}
	l.relay.onRouteChange = l.feed.Restart
	l.moves = newMoveController(l)
	l.delegation = newDelegation(l)
	return l
}

// stop ends the leadership, so that the followers elect another leader.
func (l *leadership) stop() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.cancel()
}

// end closes the links to the followers and stops the probes.
func (l *leadership) end() {
	l.delegation.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.followers {
		f.link.Close()
	}
	for _, p := range l.probes {
		p.stop()
	}
}

// deliverBatch applies a batch from the store to the view and forwards the changes to the followers that need them.
func (l *leadership) deliverBatch(b gateway.Batch, graceEnd time.Time) {
	changed := l.node.apply(b, graceEnd)
	if len(changed.Updates) > 0 || changed.Snapshot {
		l.forward(changed)
	}
}

// forward sends changes to the followers that need them.
func (l *leadership) forward(changed gateway.Batch) {
	l.snapshots.clear()
	packed := &packedBatch{batch: changed}
	for _, f := range l.followersByNeed() {
		if changed.Source != gateway.Upstreams || l.receivesUpstreams(f) {
			l.sendBatches(f, packed)
		}
	}
}

// configure applies a changed view to the pools, moves and probes. The caller holds the node's lock.
func (l *leadership) configure(now time.Time, v *gateway.View) {
	l.coordinator.Configure(now, v, &l.node.reports)
	if v.Config == nil {
		return
	}
	l.moves.configure(now, v)
	wanted := make(map[string]ProbeTarget, len(v.Upstreams))
	services := make(map[string]string, len(v.Upstreams))
	for id, u := range v.Upstreams {
		if s, ok := v.Config.Services[u.Service]; ok {
			wanted[id] = ProbeTarget{ID: id, Born: u.Born, Address: u.Address, HealthPath: s.HealthPath}
			services[id] = u.Service
		}
	}
	if l.configureProbes(wanted, services) && l.delegation != nil {
		l.delegation.configure(probeTargets(v))
	}
}

// runMaintenance does the periodic work that is not urgent, until ctx ends.
func (l *leadership) runMaintenance(ctx context.Context) {
	var clusterInfoAt, statesLoggedAt, historiesSentAt time.Time
	load, shares := loadLogger{leadership: l}, shareLogger{leadership: l, displaced: map[string]uint64{}}
	hedges, bytes, losses := newHedgeLogger(l), newRequestByteLogger(l), newLossLogger(l)
	pause.Every(ctx, maintenanceInterval, func(now time.Time) {
		l.checkMajority(now)
		l.expireTombstones(now)
		l.moves.advance(ctx, now, l.mayFinishMoves(now))
		if now.Sub(clusterInfoAt) >= clusterInfoInterval {
			clusterInfoAt = now
			l.publishClusterInfo(now)
			l.sendUpstreamsToSuccessors(now)
			l.announce(ctx, now)
			l.stepDownForLargerHost(now)
		}
		if now.Sub(historiesSentAt) >= historyInterval {
			historiesSentAt = now
			l.sendHistories(now)
		}
		if now.Sub(statesLoggedAt) >= stateLogInterval {
			statesLoggedAt = now
			l.logUpstreamStates(now)
			shares.log(now)
		}
		load.log(now)
		hedges.log(now)
		bytes.log(now)
		losses.log(now)
	})
}

// minorityTimeout is how long a leader that is followed by a minority of the known entries assumes that another leader exists.
// After that the missing entries count as gone.
const minorityTimeout = 20 * time.Second

// checkMajority restricts the pools while a majority of the entries may follow another leader.
func (l *leadership) checkMajority(now time.Time) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	followers, known := l.countRecentFollowers(now), len(n.view.Entries)
	l.observeMajority(now, followedByMinority(followers, known))
	minority := inMinority(followers, known, now.Sub(l.startedAt))
	n.minority.Store(minority && now.Sub(l.startedAt) > newLeaderPeriod)
	changed := l.restrictBodies(now, followers, known)
	if l.coordinator.Restrict(minority) {
		n.log.Info().Str("event", "leadership").Bool("minority", minority).Int("entries", len(n.view.Entries)).Msg("leads")
		changed = true
	}
	if changed {
		n.configurePools(now)
	}
}

// inMinority reports whether a leader of the given number of followers has to assume that another leader exists.
func inMinority(followers, known int, leadingFor time.Duration) bool {
	return followedByMinority(followers, known) && leadingFor < minorityTimeout
}

func followedByMinority(followers, known int) bool { return 2*(followers+1) < known }

// observeMajority records since when the leader is followed by a minority only.
func (l *leadership) observeMajority(now time.Time, minority bool) {
	switch {
	case !minority:
		l.minoritySince = time.Time{}
	case l.minoritySince.IsZero():
		l.minoritySince = now
	}
}

// mayFinishMoves reports whether this leader may complete moves. One that has lost most followers may have been replaced.
func (l *leadership) mayFinishMoves(now time.Time) bool {
	return l.minoritySince.IsZero() || now.Sub(l.minoritySince) >= minorityTimeout
}

// expireTombstones removes upstreams whose records expired in a store outage and did not come back in time.
func (l *leadership) expireTombstones(now time.Time) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for id, t := range n.view.Tombstones {
		if !now.Before(t.GraceEnd) {
			delete(n.view.Tombstones, id)
			changed = true
		}
	}
	if changed {
		n.configurePools(now)
	}
}
