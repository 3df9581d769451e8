package coordinator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/feed"
	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
)

// Store is the store that lasting state is kept in.
type Store interface {
	feed.Store
	// Sample returns some of the newest records, and all where they are few.
	Sample(ctx context.Context, source gateway.Source) (gateway.Batch, []error, error)
	Announce(ctx context.Context, entries ...gateway.Entry) error
	WriteStatus(ctx context.Context, status gateway.MoveStatus, end int64) error
}

// ProbeFunc probes one upstream until ctx ends and reports each result.
type ProbeFunc func(ctx context.Context, target ProbeTarget, report func(placement.Probe))

// ProbeTarget is an upstream to probe.
type ProbeTarget struct {
	ID, Address, HealthPath string
}

// Options describe one entry.
type Options struct {
	Self  gateway.Entry
	Seeds []string // peers' addresses that may be out of date
	// Bootstrap says that all entries start for the first time.
	Bootstrap bool
	// Regions has the region of each data centre. Callers are not sent to another region.
	Regions map[string]string
	Store   Store
	Limits  Limits
	Probe   ProbeFunc
	// Metrics may be nil for a node whose figures nobody reads.
	Metrics *Metrics
	Log     zerolog.Logger
}

// Node is one entry's part in the placement of requests.
type Node struct {
	o   Options
	log zerolog.Logger

	started time.Time
	alone   *Coordinator // used without a leader
	ask     askFunc

	mu        sync.Mutex
	world     *gateway.View
	roster    *Roster
	rosterAt  time.Time
	leader    *leadership // set while this entry leads
	session   session
	leaving   bool
	freshAt   time.Time // when the upstreams were known to be up to date
	lost      string    // leader that was lost at lostAt
	lostAt    time.Time
	slowUntil time.Time // until then others should lead, because this entry was short of processor
	checking  bool      // whether the leader is lost, as another entry says
	running   map[*handle]struct{}

	config atomic.Pointer[gateway.Config]
	first  firstConfig
	probed atomic.Int64 // upstreams that this entry probes while it leads
	// minority says that most entries may follow another leader.
	minority atomic.Bool
	nextID   atomic.Uint64
}

// NewNode returns a node; Run starts it.
func NewNode(o Options) *Node {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(prometheus.NewRegistry())
	}
	o.Store = measuredStore{o.Store, o.Metrics}
	n := &Node{
		o: o, log: o.Log, started: time.Now(), world: gateway.NewView(), running: map[*handle]struct{}{},
		alone: NewCoordinator(o.Limits, true), ask: askLeader,
	}
	n.session = newLocalSession(n.alone)
	n.first.known = make(chan struct{})
	return n
}

// probesPerCore is the rate of probes that the leader affords for each core. A probe costs about 60 µs, so probes take a
// seventh of its processor.
const probesPerCore = 2600

// minorityProbes is the least time between two probes of an upstream while other leaders may probe it too.
const minorityProbes = 500 * time.Millisecond

// ProbeInterval is the time between two probes of an upstream: least, or longer where the upstreams are many.
func (n *Node) ProbeInterval(least time.Duration) time.Duration {
	if n.minority.Load() {
		least = max(least, minorityProbes)
	}
	perSecond := max(1, probesPerCore*n.o.Self.CPUShare)
	return max(least, time.Duration(float64(n.probed.Load())/perSecond*float64(time.Second)))
}

// Config is the newest configuration, or nil when none is known.
func (n *Node) Config() *gateway.Config { return n.config.Load() }

// Ready reports whether requests can be served: a configuration is known, and upstreams to send them to.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, follows := n.session.(*linkSession)
	return !n.leaving && n.world.Config != nil && (follows || len(n.world.Upstreams) > 0)
}

// Handler serves links, questions for the leader and relayed calls to the store from other entries.
func (n *Node) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(linkPath, n.acceptLink)
	r.HandleFunc(leaderPath, n.answerLeader)
	n.serveRelay(r)
	return r
}

// Run finds the leader and follows it, or leads, until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.tickAlone(ctx)
	for ctx.Err() == nil {
		address, self := n.findLeader(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case self:
			n.lead(ctx)
		case address != "":
			n.follow(ctx, address)
		}
	}
}

const (
	aloneTick     = 20 * time.Millisecond
	aloneIdleTick = 300 * time.Millisecond
)

// tickAlone lets time pass for the pools that are used without a leader.
func (n *Node) tickAlone(ctx context.Context) {
	for ctx.Err() == nil {
		wait := aloneIdleTick
		if s, ok := n.currentSession().(*localSession); ok && s.coordinator == n.alone {
			wait = aloneTick
		}
		pause.For(ctx, wait)
		n.alone.Tick(time.Now())
	}
}

// apply folds a batch into the world. It returns what other entries need to know of it.
func (n *Node) apply(b gateway.Batch, lapseEnd time.Time) gateway.Batch {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := n.world.Apply(now, b, lapseEnd)
	if b.Source == gateway.Upstreams {
		n.freshAt = now
	}
	n.enforceConfig(b.End - 1)
	for _, u := range changed.Updates {
		if !b.Snapshot {
			n.logUpdate(b.Source, u, lapseEnd.Sub(now))
		}
	}
	n.configurePools(now)
	return changed
}

// enforceConfig puts the world's configuration in force if it is new. The caller holds n.mu.
func (n *Node) enforceConfig(offset int64) {
	c := n.world.Config
	if c == n.config.Load() {
		return
	}
	if n.config.Swap(c) == nil {
		close(n.first.known)
	}
	n.log.Info().Str("event", "configuration").Uint64("version", c.Version).Int64("offset", offset).Int("routes", len(c.Routes)).
		Msg("configuration in force")
}

func (n *Node) logUpdate(source gateway.Source, u gateway.Update, lapseLeft time.Duration) {
	e := n.log.Info().Str("event", "record").Str("source", source.String()).Str("key", u.Key).Int64("offset", u.Offset).Bool("removed", u.Removed)
	if u.Up != nil {
		e = e.Str("service", u.Up.Service).Str("version", u.Up.Version).Bool("draining", u.Up.Draining).Dur("cold", u.Up.ColdLeft)
	}
	if u.Removed {
		e = e.Dur("lapse_left", max(0, lapseLeft))
	}
	e.Msg("belief changed")
}

// configurePools hands the world to the pools that are in use. The caller holds n.mu.
func (n *Node) configurePools(now time.Time) {
	n.alone.Configure(now, n.world)
	if n.leader != nil {
		n.leader.configure(now, n.world)
	}
}

// Reload replaces the seeds and the bounds that hold over all entries.
func (n *Node) Reload(seeds []string, limits Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.o.Seeds, n.o.Limits = seeds, limits
	n.alone.SetLimits(limits)
	if n.leader != nil {
		n.leader.coordinator.SetLimits(limits)
	}
	n.configurePools(time.Now())
}

func (n *Node) seeds() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.o.Seeds)
}

func (n *Node) limits() Limits {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.o.Limits
}

// Leave tells the other entries that this one is about to stop.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	s, l := n.session, n.leader
	n.mu.Unlock()
	if link, ok := s.(*linkSession); ok {
		link.link.Queue(func(f *Frame) { f.Hello = &Hello{Entry: n.o.Self, Leaving: true} })
	}
	if l != nil {
		l.stop()
	}
}

// Leaving reports whether Leave was called.
func (n *Node) Leaving() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving
}

func (n *Node) setSession(s session) {
	n.mu.Lock()
	old := n.session
	n.session = s
	n.mu.Unlock()
	if old != s {
		old.end()
	}
}

func (n *Node) currentSession() session {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.session
}
