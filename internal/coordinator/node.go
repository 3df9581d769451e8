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
	"boragehinge.example/boragehinge/internal/highwater"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
)

// Store is the platform's store, which holds the persistent state. Each call tells the store's epoch, also if it failed: as Batch.Epoch or
// as a result of its own; 0 means no information.
type Store interface {
	feed.Store
	// Sample returns some of the newest records, or all if they are few, and errors that describe ignored records.
	Sample(ctx context.Context, source gateway.Source) (gateway.Batch, []error, error)
	// Announce writes the records by which entries discover each other.
	Announce(ctx context.Context, entries ...gateway.Entry) (epoch uint64, err error)
	// WriteStatus appends the status of a move if the log of statuses ends at a position.
	WriteStatus(ctx context.Context, status gateway.MoveStatus, end gateway.Position) (epoch uint64, err error)
}

// ProbeFunc probes an upstream repeatedly until ctx ends, and reports each result.
type ProbeFunc func(ctx context.Context, target ProbeTarget, report func(placement.Probe))

// ProbeTarget is an upstream to probe.
type ProbeTarget struct {
	ID, Address, HealthPath string
	Born                    int64 // see gateway.Upstream
	// Wake receives a value when a probe is wanted before the usual interval has passed.
	Wake <-chan struct{}
}

// Options configure a Node.
type Options struct {
	Self  gateway.Entry
	Seeds []string // peer addresses for discovery; some may be outdated
	// Bootstrap is set when all entries start for the first time, so the store holds no entry records yet.
	Bootstrap bool
	// Regions maps data centres to regions. Callers are not given addresses in another region.
	Regions map[string]string
	// LinkBytesPerSecond is the bandwidth of the host's network link; 0 if unknown.
	LinkBytesPerSecond float64
	// CallerConnections is the number of callers' connections for which the host has descriptors; 0 if unknown.
	CallerConnections int
	// Traffic returns what this entry has carried for callers. It is optional.
	Traffic func() TrafficTotals
	Store   Store
	Limits  Limits
	Probe   ProbeFunc
	// Delegation configures the delegation of probes to followers; nil for none.
	Delegation *DelegationOptions
	// Usage configures usage reports of client accounts; nil for none.
	Usage *UsageOptions
	// Metrics is optional.
	Metrics *Metrics
	Log     zerolog.Logger
}

// Node takes part in the placement of requests for one entry, as leader, follower or standalone.
type Node struct {
	o   Options
	log zerolog.Logger

	started    time.Time
	standalone *Coordinator // used while there is no leader
	query      leaderQueryFunc
	// tickDelayLimit is maxTickDelaySum; tests of several entries in one process raise it.
	tickDelayLimit time.Duration

	mu               sync.Mutex
	view             *gateway.View
	clusterInfo      *ClusterInfo
	clusterInfoAt    time.Time
	leader           *leadership // set while this entry leads
	session          session
	sessionChanged   chan struct{} // closed when session changes
	leaderlessSince  time.Time     // when the last leader was lost; zero before the first
	leaving          bool
	upstreamsFreshAt time.Time // when the upstream records were last up to date
	lost             string    // address of the leader that was lost at lostAt
	lostAt           time.Time
	slowUntil        time.Time // until then other entries are preferred as leader, because this one was short of CPU
	askers           []string  // peer addresses of entries that have queried this one, the last one at the end
	checkingLeader   bool      // another entry reported the leader as lost, and a query to it is in progress
	running          map[*runningAttempt]struct{}
	reports          reports                 // of upstreams
	histories        map[string]knownHistory // by service
	demand           knownDemand

	otherVersions otherVersions
	waitLogged    sync.Once // for awaitsOthers

	entriesReadAt time.Time // by rereadEntries; used by the goroutine of Run only

	config  atomic.Pointer[gateway.Config]
	initial initialConfig
	probed  atomic.Int64 // upstreams that are probed while this entry leads
	// orderedProbeInterval is the time between two probes, in nanoseconds, on behalf of the leader; 0 while there are none.
	orderedProbeInterval atomic.Int64
	work                 workMeter     // of this entry while it leads
	usage                *usageReports // nil without usage reports
	// minority is set while a majority of the entries may follow another leader.
	minority   atomic.Bool
	nextID     atomic.Uint64
	traffic    atomic.Pointer[Traffic] // as measured last; nil before
	storeEpoch highwater.Mark          // newest epoch of the store that this entry knows; 0 when none is
}

// NewNode returns a node. Run starts it.
func NewNode(o Options) *Node {
	if o.Metrics == nil {
		o.Metrics = NewMetrics(prometheus.NewRegistry())
	}
	n := &Node{
		o: o, log: o.Log, started: time.Now(), view: gateway.NewView(), running: map[*runningAttempt]struct{}{},
		reports: newReports(), histories: map[string]knownHistory{},
		standalone: NewCoordinator(o.Limits, true), tickDelayLimit: maxTickDelaySum,
	}
	n.o.Store = instrumentedStore{o.Store, o.Metrics, n.learnEpoch}
	n.query, n.otherVersions.asked = n.queryVersion, make(chan struct{})
	n.session, n.sessionChanged = newLocalSession(n.standalone), make(chan struct{})
	n.initial.loaded = make(chan struct{})
	if o.Usage != nil {
		n.usage = newUsageReports(n, *o.Usage)
	}
	return n
}

// maxProbeRatePerCore is the maximum number of probes per second and CPU core of the entry that probes, the leader or
// a prober. A probe costs about 60 µs of CPU time, so probes use up to a seventh of its CPU.
const maxProbeRatePerCore = 2600

// minorityProbeInterval is the minimum time between two probes of an upstream while other leaders may probe it too.
const minorityProbeInterval = 500 * time.Millisecond

// ProbeInterval returns the time between two probes of an upstream: minInterval, or longer if there are many upstreams. A follower that
// probes on behalf of the leader uses the leader's.
func (n *Node) ProbeInterval(minInterval time.Duration) time.Duration {
	if ordered := n.orderedProbeInterval.Load(); ordered > 0 {
		return max(minInterval, time.Duration(ordered))
	}
	if n.minority.Load() {
		minInterval = max(minInterval, minorityProbeInterval)
	}
	perSecond := max(1, maxProbeRatePerCore*n.o.Self.CPUShare)
	return max(minInterval, time.Duration(float64(n.probed.Load())/perSecond*float64(time.Second)))
}

// Config returns the newest configuration, or nil if none is known.
func (n *Node) Config() *gateway.Config { return n.config.Load() }

// Ready reports whether requests can be served: this entry is not shutting down, a configuration is known, and it follows a
// leader or has upstream records itself.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, follows := n.session.(*linkSession)
	return !n.leaving && n.view.Config != nil && (follows || len(n.view.Upstreams) > 0)
}

// Handler serves the requests of other entries: links, leader queries and relayed calls to the store.
func (n *Node) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(linkPath, n.acceptLink)
	r.HandleFunc(leaderPath, n.handleLeaderQuery)
	n.serveRelay(r)
	n.serveDutyRelay(r)
	return r
}

// Run takes part in the cluster until ctx ends: it finds the leader and follows it, or becomes the leader itself.
func (n *Node) Run(ctx context.Context) {
	go n.tickStandalone(ctx)
	if n.o.Traffic != nil {
		go n.measureTraffic(ctx)
	}
	if n.usage != nil {
		go n.usage.run(ctx)
	}
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
	standaloneTick     = 20 * time.Millisecond
	standaloneIdleTick = 300 * time.Millisecond
)

// tickStandalone advances the standalone pools, less often while they are not in use.
func (n *Node) tickStandalone(ctx context.Context) {
	for ctx.Err() == nil {
		wait := standaloneIdleTick
		if s, ok := n.currentSession().(*localSession); ok && s.coordinator == n.standalone {
			wait = standaloneTick
		}
		pause.For(ctx, wait)
		n.standalone.Tick(time.Now())
		n.expireCarried(time.Now())
	}
}

// apply applies a batch to the view and the pools. It returns the changes that other entries need.
func (n *Node) apply(b gateway.Batch, graceEnd time.Time) gateway.Batch {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := n.view.Apply(now, b, graceEnd)
	n.reports.recordDraining(now, n.view, changed.Updates)
	if b.Source == gateway.Upstreams {
		n.upstreamsFreshAt = now
	}
	n.activateConfig(b.End - 1)
	for _, u := range changed.Updates {
		if !b.Snapshot {
			n.logUpdate(b.Source, u, graceEnd.Sub(now))
		}
	}
	n.configurePools(now)
	return changed
}

// activateConfig publishes the configuration of the view if it is new. The caller holds n.mu.
func (n *Node) activateConfig(offset int64) {
	c := n.view.Config
	if c == n.config.Load() {
		return
	}
	if n.config.Swap(c) == nil {
		close(n.initial.loaded)
	}
	n.log.Info().Str("event", "configuration").Uint64("version", c.Version).Int64("offset", offset).Int("routes", len(c.Routes)).
		Int("accounts", len(c.Accounts)).Msg("configuration in force")
}

func (n *Node) logUpdate(source gateway.Source, u gateway.Update, graceLeft time.Duration) {
	e := n.log.Info().Str("event", "record").Str("source", source.String()).Str("key", u.Key).Int64("offset", u.Offset).Bool("removed", u.Removed)
	if u.Up != nil {
		e = e.Str("service", u.Up.Service).Str("version", u.Up.Version).Bool("draining", u.Up.Draining).Dur("cold", u.Up.ColdLeft)
	}
	if u.Removed {
		e = e.Dur("lapse_left", max(0, graceLeft))
	}
	e.Msg("belief changed")
}

// configurePools applies the view to the standalone pools and, while this entry leads, to those of the leader. The caller holds
// n.mu.
func (n *Node) configurePools(now time.Time) {
	n.reports.forget(now, n.view)
	n.standalone.Configure(now, n.view, &n.reports)
	if n.leader != nil {
		n.leader.configure(now, n.view)
	}
}

// Reload replaces the seeds and the limits that apply to all entries together.
func (n *Node) Reload(seeds []string, limits Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.o.Seeds, n.o.Limits = seeds, limits
	n.standalone.SetLimits(limits)
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

// Leave announces to the other entries that this one is shutting down. A leader steps down.
func (n *Node) Leave() {
	n.mu.Lock()
	n.leaving = true
	s, l := n.session, n.leader
	n.mu.Unlock()
	if link, ok := s.(*linkSession); ok {
		hello := n.hello()
		link.link.Queue(func(f *Frame) { f.Hello = hello })
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

// setSession replaces the session and ends the previous one.
func (n *Node) setSession(s session) {
	n.mu.Lock()
	old := n.session
	n.session = s
	close(n.sessionChanged)
	n.sessionChanged = make(chan struct{})
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
