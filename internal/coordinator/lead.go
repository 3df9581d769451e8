package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/feed"
	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
)

const (
	tickInterval = 10 * time.Millisecond
	// slowTick is the interval of work that need not follow each request: moves, lapsed records, the roster.
	slowTick       = 100 * time.Millisecond
	rosterInterval = 500 * time.Millisecond
	// rivalInterval is how often a leader asks others whether they follow another one.
	rivalInterval = time.Second
	// newLeaderInterval holds while several entries may have begun to lead at once, for the time newLeaderTime.
	newLeaderInterval = 150 * time.Millisecond
	newLeaderTime     = 2 * time.Second
)

// leadership is the work of an entry while it leads.
type leadership struct {
	node        *Node
	log         zerolog.Logger
	coordinator *Coordinator
	feed        *feed.Feed
	relay       *relayStore
	cancel      context.CancelFunc
	moves       *mover
	beliefs     map[string]belief // by upstream; used by tickSlowly only
	since       time.Time
	rate        rateMeter
	announcer   announcer

	mu        sync.Mutex
	followers map[*follower]struct{}
	probes    map[string]*probeRun // by upstream
	named     map[string][]string  // entries named to callers, by data centre
	stopping  bool
}

type probeRun struct {
	target ProbeTarget
	cancel context.CancelFunc
}

// lead runs until ctx ends, or another entry should lead.
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
	l.configure(time.Now(), n.world)
	n.mu.Unlock()
	l.coordinator.Adopt(time.Now(), s, n.adoptRunning(s))
	n.setSession(s)
	n.log.Info().Str("event", "leadership").Str("entry", n.o.Self.Name).Msg("leads")

	go l.feed.Run(ctx)
	var meter latenessMeter
	go pause.Every(ctx, tickInterval, func(time.Time) {
		now := time.Now() // the ticker's time is earlier when this process got no processor
		l.tick(now, meter.observe(now))
	})
	go l.watchRivals(ctx)
	l.tickSlowly(ctx)

	n.mu.Lock()
	n.leader = nil
	n.mu.Unlock()
	n.setSession(newLocalSession(n.alone))
	l.end()
	n.log.Info().Str("event", "leadership").Str("entry", n.o.Self.Name).Msg("no longer leads")
}

func newLeadership(n *Node, cancel context.CancelFunc) *leadership {
	l := &leadership{
		node: n, log: n.log, coordinator: NewCoordinator(n.limits(), false), cancel: cancel,
		since: time.Now(), beliefs: map[string]belief{}, followers: map[*follower]struct{}{}, probes: map[string]*probeRun{}, named: map[string][]string{},
	}
	l.relay = &relayStore{direct: n.o.Store, peers: l.peerAddresses, log: n.log}
	l.feed = &feed.Feed{Store: l.relay, Deliver: l.deliverBatch, Log: n.log}
	l.relay.switched = l.feed.Restart
	l.moves = newMover(l)
	return l
}

// stop ends the leadership, so that the followers look for another leader.
func (l *leadership) stop() {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	l.cancel()
}

func (l *leadership) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.followers {
		f.link.Close()
	}
	for _, p := range l.probes {
		p.cancel()
	}
}

// deliverBatch folds a batch of the store and passes on what the followers need of it.
func (l *leadership) deliverBatch(b gateway.Batch, lapseEnd time.Time) {
	changed := l.node.apply(b, lapseEnd)
	if len(changed.Updates) == 0 && !changed.Snapshot {
		return
	}
	for _, f := range l.currentFollowers() {
		if b.Source != gateway.Upstreams || l.isInformed(f) {
			f.link.Queue(func(f *Frame) { f.Batches = append(f.Batches, changed) })
		}
	}
}

// configure takes over a changed world. The caller holds the node's lock.
func (l *leadership) configure(now time.Time, w *gateway.View) {
	l.coordinator.Configure(now, w)
	if w.Config == nil {
		return
	}
	l.moves.configure(now, w)
	wanted := make(map[string]ProbeTarget, len(w.Upstreams))
	services := make(map[string]string, len(w.Upstreams))
	for id, u := range w.Upstreams {
		if s, ok := w.Config.Services[u.Service]; ok {
			wanted[id] = ProbeTarget{ID: id, Address: u.Address, HealthPath: s.HealthPath}
			services[id] = u.Service
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.probes {
		if wanted[id] != p.target {
			p.cancel()
			delete(l.probes, id)
		}
	}
	for id, target := range wanted {
		if l.probes[id] == nil && !l.stopping {
			l.startProbe(target, services[id])
		}
	}
}

func (l *leadership) startProbe(target ProbeTarget, service string) {
	l.node.probed.Store(int64(len(l.probes) + 1))
	ctx, cancel := context.WithCancel(context.Background())
	l.probes[target.ID] = &probeRun{target: target, cancel: cancel}
	go l.node.o.Probe(ctx, target, func(p placement.Probe) {
		l.node.o.Metrics.probed(p)
		l.coordinator.Probe(time.Now(), service, p)
	})
}

// tickSlowly does the work that need not follow each request, until ctx ends.
func (l *leadership) tickSlowly(ctx context.Context) {
	var rosterAt, beliefsAt time.Time
	pause.Every(ctx, slowTick, func(now time.Time) {
		l.checkMajority(now)
		l.expireTombstones(now)
		l.moves.advance(ctx, now)
		if now.Sub(rosterAt) >= rosterInterval {
			rosterAt = now
			l.publishRoster(now)
			l.informSuccessors(now)
			l.announce(ctx, now)
			l.giveWayToLarger(now)
		}
		if now.Sub(beliefsAt) >= beliefInterval {
			beliefsAt = now
			l.logBeliefs(now)
		}
	})
}

// minorityTime is how long a leader without most of the known entries reckons with another leader. After that the others
// count as gone.
const minorityTime = 20 * time.Second

// checkMajority restricts the pools while most entries may follow another leader.
func (l *leadership) checkMajority(now time.Time) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	minority := inMinority(l.heardLately(now), len(n.world.Entries), now.Sub(l.since))
	n.minority.Store(minority && now.Sub(l.since) > newLeaderTime)
	if l.coordinator.Restrict(minority) {
		n.log.Info().Str("event", "leadership").Bool("minority", minority).Int("entries", len(n.world.Entries)).Msg("leads")
		n.configurePools(now)
	}
}

func inMinority(followers, known int, leads time.Duration) bool {
	return 2*(followers+1) < known && leads < minorityTime
}

// expireTombstones closes upstreams whose records lapsed in an outage and did not come back.
func (l *leadership) expireTombstones(now time.Time) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := false
	for id, t := range n.world.Tombstones {
		if !now.Before(t.GraceEnd) {
			delete(n.world.Tombstones, id)
			changed = true
		}
	}
	if changed {
		n.configurePools(now)
	}
}
