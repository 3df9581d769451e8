package entry

import (
	"context"
	"maps"
	"math/rand"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/adapter"
	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/internal/transport"
	"boragehinge.example/boragehinge/inventory"
)

const (
	// poolTick is the interval of dispatch.Pool.Tick.
	poolTickInterval = 10 * time.Millisecond
	// maxLoadAge is how long a pool summary is reused. Summaries allocate, and each forwarded response contains one.
	maxLoadAge = 10 * time.Millisecond
	// probePath returns the load header without occupying a slot of the upstream.
	probePath = "/-/health"
	// probeTimeout is shorter than the probe interval, so that an upstream has at most one probe in flight.
	probeTimeout = 800 * time.Millisecond
	// ownerFailureDetection is the time in which the failure of an owner is detected: eight heartbeat intervals of 250 ms.
	ownerFailureDetection = 2 * time.Second
)

// ownedPool is a pool that this entry owns or has just handed over.
type ownedPool struct {
	e          *Entry
	id         inventory.PoolID
	key        string
	transport  *transport.Transport
	stop       context.CancelFunc
	done       sync.WaitGroup
	calls      atomic.Int64 // granted calls that have not ended
	lostAt     atomic.Int64 // when the ownership was lost, Unix nanoseconds; 0 while it is owned
	cachedLoad atomic.Pointer[poolLoad]
	// remoteConfirmedUntil is the time until which the ownership of a pool of another data centre is confirmed, Unix
	// nanoseconds.
	remoteConfirmedUntil atomic.Int64
	coldAnnounced        atomic.Bool // the last announcement of cold upstreams wasn't empty
	coldStarts           uint64      // of the pool at the last announcement from tick; used by tick only

	mu       sync.Mutex
	pool     *dispatch.Pool
	conf     *configuration // the configuration that the spec was built from
	closed   bool           // no more calls are accepted
	nextID   uint64
	waiting  map[uint64]chan<- decision
	granted  map[uint64]*grantedCall
	versions map[string]string // upstream to version
	address  map[string]string
	stats    map[statKey]*rollout.Sample
}

// decision is the result for a waiting call: a grant, or a refusal if that isn't nil.
type decision struct {
	grant   dispatch.Grant
	refusal *dispatch.Refusal
}

type grantedCall struct {
	upstream, version string
	cold              bool
	at                time.Time
}

type statKey struct {
	route, class, version string
	cold                  bool
}

func (e *Entry) openPool(conf *configuration, p *inventory.Pool) *ownedPool {
	ctx, cancel := context.WithCancel(context.Background())
	connections := inventory.DefaultConnections
	for _, u := range p.Upstreams {
		connections = min(connections, u.Connections)
	}
	o := &ownedPool{
		e: e, id: p.ID, key: p.ID.String(), stop: cancel,
		waiting: map[uint64]chan<- decision{}, granted: map[uint64]*grantedCall{}, stats: map[statKey]*rollout.Sample{},
	}
	o.transport = transport.New(transport.Config{MaxConns: connections, Dial: e.countingDial(p.ID.Service)})
	spec := e.poolSpec(conf, p)
	o.e.coldUpstreams.markCold(time.Now(), p.ID, &spec)
	rng := rand.New(rand.NewSource(rand.Int63())) //nolint:gosec // only distributes probes
	o.pool = dispatch.New(spec, rng, e.handoverOptions(time.Now(), o.key)...)
	o.indexUpstreams(conf, p)
	o.done.Add(2)
	go func() { defer o.done.Done(); o.transport.Run(ctx) }()
	go func() { defer o.done.Done(); o.run(ctx) }()
	return o
}

// indexUpstreams updates the version and address of each upstream. The caller must hold mu or have exclusive access.
func (o *ownedPool) indexUpstreams(conf *configuration, p *inventory.Pool) {
	o.conf = conf
	old := o.address
	o.versions, o.address = map[string]string{}, map[string]string{}
	for _, u := range p.Upstreams {
		o.versions[u.Name], o.address[u.Name] = u.Version, u.Address
		o.e.ownership.poolsByAddress.Store(u.Address, o)
	}
	for name, address := range old {
		if o.address[name] != address {
			o.transport.Forget(address)
		}
	}
}

// takeoverOption returns the option for a new owner that got no state from a previous one. Token buckets start full: there
// may have been no previous owner, and a second burst is less harmful than refusing customers within their limits.
func takeoverOption(now time.Time) dispatch.Option {
	return dispatch.WithTakeover(now, time.Time{})
}

// configure applies a new configuration.
func (o *ownedPool) configure(conf *configuration, p *inventory.Pool, options ...dispatch.Option) {
	spec := o.e.poolSpec(conf, p)
	if len(options) > 0 {
		o.e.coldUpstreams.markCold(time.Now(), p.ID, &spec)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handleEvents(o.pool.Configure(time.Now(), spec, options...))
	o.indexUpstreams(conf, p)
}

// run ticks the pool until ctx ends.
func (o *ownedPool) run(ctx context.Context) {
	pause.Every(ctx, poolTickInterval, func(time.Time) { o.tick(ctx) })
}

func (o *ownedPool) tick(ctx context.Context) {
	if o.id.DataCentre != o.e.settings.DataCentre {
		o.remoteConfirmedUntil.Store(o.e.node.ConfirmedFor(membership.PoolID(o.id)).UnixNano())
	}
	o.mu.Lock()
	now := time.Now()
	o.updateConfirmation(now)
	ev, due := o.pool.Tick(now)
	o.handleEvents(ev)
	var probes []string
	probes = append(probes, due...)
	coldStarts := o.pool.ColdStarts()
	o.mu.Unlock()
	if coldStarts != o.coldStarts {
		// At once, because the owner may fail before the next announcement is due.
		o.coldStarts = coldStarts
		o.announceColdUpstreams(now)
	}
	for _, name := range probes {
		o.done.Add(1)
		go func() { defer o.done.Done(); o.probe(ctx, name) }()
	}
}

// updateConfirmation tells the pool, before each decision, until when its ownership is confirmed. For pools of other data
// centres this comes from the last tick, which checked whether this entry is the only possible owner. A pool that was handed
// over isn't confirmed, since it has another owner.
func (o *ownedPool) updateConfirmation(now time.Time) {
	var until time.Time
	switch {
	case o.lostAt.Load() != 0:
	case o.id.DataCentre == o.e.settings.DataCentre:
		until = o.e.node.View().ConfirmedUntil
	default:
		until = time.Unix(0, o.remoteConfirmedUntil.Load())
	}
	o.pool.SetConfirmed(now, until)
}

// handleEvents delivers decisions to the waiting calls. The caller must hold mu.
func (o *ownedPool) handleEvents(ev dispatch.Events) {
	for _, g := range ev.Grants {
		ch := o.waiting[g.RequestID]
		delete(o.waiting, g.RequestID)
		o.granted[g.RequestID] = &grantedCall{upstream: g.Upstream, version: o.versions[g.Upstream], cold: g.Cold, at: time.Now()}
		o.calls.Add(1)
		if ch != nil {
			ch <- decision{grant: g}
		}
	}
	for _, r := range ev.Refusals {
		ch := o.waiting[r.RequestID]
		delete(o.waiting, r.RequestID)
		if ch != nil {
			ch <- decision{refusal: &r}
		}
	}
}

// submit queues a call. The channel receives exactly one decision unless the call is cancelled.
func (o *ownedPool) submit(c *proxy.Call) (id uint64, result <-chan decision, err error) {
	ch := make(chan decision, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, nil, &proxy.Refusal{Reason: proxy.ReasonWrongOwner}
	}
	now := time.Now()
	o.updateConfirmation(now)
	o.nextID++
	id = o.nextID
	o.waiting[id] = ch
	o.handleEvents(o.pool.Submit(now, adapter.Request(id, c)))
	return id, ch, nil
}

// cancel ends a call whose caller stopped waiting, whether or not it was granted in the meantime.
func (o *ownedPool) cancel(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	delete(o.waiting, id)
	if o.granted[id] != nil {
		delete(o.granted, id)
		o.calls.Add(-1)
	}
	o.updateConfirmation(now)
	o.handleEvents(o.pool.Cancel(now, id))
}

// finish ends a granted call.
func (o *ownedPool) finish(id uint64, c *proxy.Call, r proxy.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.granted[id]
	if g == nil {
		return
	}
	delete(o.granted, id)
	o.calls.Add(-1)
	o.recordOutcome(g, c, r)
	now := time.Now()
	o.updateConfirmation(now)
	o.handleEvents(o.pool.Finish(now, id, adapter.Outcome(now, g.at, r)))
}

// probe asks an upstream for its load.
func (o *ownedPool) probe(ctx context.Context, name string) {
	o.mu.Lock()
	address := o.address[name]
	o.mu.Unlock()
	if address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	started := time.Now()
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: probePath}, Host: address, Header: http.Header{}, Body: http.NoBody}
	resp, err := o.transport.RoundTrip(ctx, address, req, true)
	ok := err == nil && resp.StatusCode < http.StatusInternalServerError
	var report *dispatch.LoadReport
	if err == nil {
		report = adapter.LoadReport(resp.Load)
		_ = resp.Body.Close()
	}
	result := "ok"
	if !ok {
		result = "failed"
	}
	o.e.metrics.Probe(o.id.Service, result)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.updateConfirmation(now)
	o.handleEvents(o.pool.ProbeResult(now, name, ok, now.Sub(started), report))
}

// retire closes the pool: queued calls are refused as not run, running ones finish.
func (o *ownedPool) retire() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	now := time.Now()
	for _, id := range slices.Collect(maps.Keys(o.waiting)) {
		ch := o.waiting[id]
		if ch == nil {
			continue // granted when another call was cancelled
		}
		delete(o.waiting, id)
		ch <- decision{refusal: &dispatch.Refusal{RequestID: id, Reason: dispatch.Reason(proxy.ReasonWrongOwner)}}
		o.handleEvents(o.pool.Cancel(now, id))
	}
}

// shutDown retires the pool and releases its connections and goroutines.
func (o *ownedPool) shutDown() {
	o.retire()
	o.stop()
	o.done.Wait()
	o.transport.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, address := range o.address {
		o.e.ownership.poolsByAddress.CompareAndDelete(address, o)
	}
}

func (o *ownedPool) logDecision(now time.Time, c *proxy.Call, upstream, version, outcome, reason string) {
	o.e.decisionLog.Record(now, telemetry.Decision{
		Kind: "placement", RequestID: c.RequestID, Service: c.Service, Pool: o.key, Version: version, Class: c.Class,
		Customer: c.Customer, Upstream: upstream, Outcome: outcome, Reason: reason,
	})
}
