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

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/internal/transport"
	"boragehinge.example/boragehinge/inventory"
)

const (
	// poolTick is the interval of dispatch.Pool.Tick.
	poolTick = 10 * time.Millisecond
	// summaryAge bounds the cost of summaries, which allocate; each forwarded response carries one.
	summaryAge = 10 * time.Millisecond
	// probePath answers with the load header and takes no slot of the upstream.
	probePath = "/-/health"
	// probeTimeout is shorter than the interval of probes, so that an upstream has at most one open probe.
	probeTimeout = 800 * time.Millisecond
)

// ownedPool is a pool that this entry owns, or owned until a moment ago.
type ownedPool struct {
	e         *Entry
	id        inventory.PoolID
	key       string
	transport *transport.Transport
	stop      context.CancelFunc
	done      sync.WaitGroup
	calls     atomic.Int64 // granted calls that have not ended
	lostAt    atomic.Int64 // when the ownership was lost, Unix nanoseconds; 0 while it is owned
	digest    atomic.Pointer[figures]
	toldCold  bool // the neighbours know of cold upstreams; used by housekeeping only

	mu         sync.Mutex
	pool       *dispatch.Pool
	conf       *configuration // that the spec was made from
	closed     bool           // no call is taken any more
	takenOver  time.Time      // when the ownership began; calls of a previous owner may have run then
	configured time.Time      // when the last spec was given
	nextID     uint64
	waiting    map[uint64]chan<- decision
	granted    map[uint64]*grantedCall
	versions   map[string]string // upstream to version
	address    map[string]string
	stats      map[statKey]*rollout.Sample
}

// decision is what a waiting call gets.
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
		e: e, id: p.ID, key: p.ID.String(), stop: cancel, takenOver: time.Now(), configured: time.Now(),
		waiting: map[uint64]chan<- decision{}, granted: map[uint64]*grantedCall{}, stats: map[statKey]*rollout.Sample{},
	}
	o.transport = transport.New(transport.Config{MaxConns: connections, Dial: e.countingDial(p.ID.Service)})
	spec := e.poolSpec(conf, p)
	o.e.cold.mark(time.Now(), p.ID, &spec)
	spec.TakenOver = o.takenOver
	o.pool = dispatch.New(spec, rand.New(rand.NewSource(rand.Int63()))) //nolint:gosec // spreads probes only
	o.remember(conf, p)
	o.done.Add(2)
	go func() { defer o.done.Done(); o.transport.Run(ctx) }()
	go func() { defer o.done.Done(); o.run(ctx) }()
	return o
}

// remember keeps what grants need to know about the upstreams. The caller holds mu, or is the only one.
func (o *ownedPool) remember(conf *configuration, p *inventory.Pool) {
	o.conf = conf
	old := o.address
	o.versions, o.address = map[string]string{}, map[string]string{}
	for _, u := range p.Upstreams {
		o.versions[u.Name], o.address[u.Name] = u.Version, u.Address
		o.e.ownership.byAddress.Store(u.Address, o)
	}
	for name, address := range old {
		if o.address[name] != address {
			o.transport.Forget(address)
		}
	}
}

// configure takes a new configuration.
func (o *ownedPool) configure(conf *configuration, p *inventory.Pool) {
	spec := o.e.poolSpec(conf, p)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.takenOver.After(o.configured) {
		o.e.cold.mark(time.Now(), p.ID, &spec)
	}
	o.configured = time.Now()
	spec.TakenOver = o.takenOver
	o.act(o.pool.Configure(time.Now(), spec))
	o.remember(conf, p)
}

// run ticks the pool until ctx ends.
func (o *ownedPool) run(ctx context.Context) {
	ticker := time.NewTicker(poolTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(ctx)
		}
	}
}

func (o *ownedPool) tick(ctx context.Context) {
	o.mu.Lock()
	now := time.Now()
	o.confirm(now)
	ev, due := o.pool.Tick(now)
	o.act(ev)
	var probes []string
	probes = append(probes, due...)
	o.mu.Unlock()
	for _, name := range probes {
		o.done.Add(1)
		go func() { defer o.done.Done(); o.probe(ctx, name) }()
	}
}

// confirm passes the confirmed view on before each decision. A view says nothing about pools of other data centres, and
// a pool that was handed over has another owner.
func (o *ownedPool) confirm(now time.Time) {
	var until time.Time
	if o.id.DataCentre == o.e.set.DataCentre && o.lostAt.Load() == 0 {
		until = o.e.node.View().ConfirmedUntil
	}
	o.pool.SetConfirmed(now, until)
}

// act hands decisions to the calls that wait. The caller holds mu.
func (o *ownedPool) act(ev dispatch.Events) {
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

// submit offers a call. The channel receives exactly one decision unless the call is cancelled.
func (o *ownedPool) submit(c *proxy.Call) (id uint64, result <-chan decision, err error) {
	ch := make(chan decision, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return 0, nil, &proxy.Refusal{Reason: proxy.ReasonWrongOwner}
	}
	now := time.Now()
	o.confirm(now)
	o.nextID++
	id = o.nextID
	o.waiting[id] = ch
	o.act(o.pool.Submit(now, dispatch.Request{
		ID: id, Customer: c.Customer, Class: c.Class, Route: c.Route, Version: c.Version, Priority: c.Priority,
		Deadline: c.Deadline, Idempotent: c.Idempotent, Hedge: c.Hedge, Exclude: c.Exclude,
	}))
	return id, ch, nil
}

// cancel ends a call that gave up while it waited, whether or not it was granted meanwhile.
func (o *ownedPool) cancel(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	delete(o.waiting, id)
	if o.granted[id] != nil {
		delete(o.granted, id)
		o.calls.Add(-1)
	}
	o.confirm(now)
	o.act(o.pool.Cancel(now, id))
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
	o.count(g, c, r)
	now := time.Now()
	o.confirm(now)
	latency := r.Total
	if latency == 0 {
		latency = now.Sub(g.at)
	}
	o.act(o.pool.Finish(now, id, dispatch.Outcome{Kind: outcomeKind(r), Latency: latency, Report: loadReport(r.Report)}))
}

// outcomeKind maps the kinds of the proxy to those of the policy.
func outcomeKind(r proxy.Result) dispatch.OutcomeKind {
	switch r.Kind {
	case proxy.ResultSuccess:
		return dispatch.Success
	case proxy.ResultNotRun:
		return dispatch.NotRun
	case proxy.ResultConnectFailed:
		return dispatch.ConnectFailed
	case proxy.ResultCrashed:
		return dispatch.Crashed
	case proxy.ResultTimedOut:
		return dispatch.TimedOut
	case proxy.ResultCancelled:
		return dispatch.Cancelled
	}
	return dispatch.Failure
}

func loadReport(r *transport.LoadReport) *dispatch.LoadReport {
	if r == nil {
		return nil
	}
	return &dispatch.LoadReport{InFlight: r.InFlight, Queued: r.Queued, Cold: r.Cold, Draining: r.Draining, Seq: r.Seq}
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
		report = loadReport(resp.Load)
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
	o.confirm(now)
	o.act(o.pool.ProbeResult(now, name, ok, now.Sub(started), report))
}

// retire ends the pool: queued calls are refused as not run, running ones finish.
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
			continue // granted when another one was cancelled
		}
		delete(o.waiting, id)
		ch <- decision{refusal: &dispatch.Refusal{RequestID: id, Reason: dispatch.Reason(proxy.ReasonWrongOwner)}}
		o.act(o.pool.Cancel(now, id))
	}
}

// end releases the connections and goroutines of a retired pool.
func (o *ownedPool) end() {
	o.retire()
	o.stop()
	o.done.Wait()
	o.transport.Close()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, address := range o.address {
		o.e.ownership.byAddress.CompareAndDelete(address, o)
	}
}

func (o *ownedPool) record(now time.Time, c *proxy.Call, upstream, version, outcome, reason string) {
	o.e.lines.Record(now, telemetry.Decision{
		Kind: "placement", RequestID: c.RequestID, Service: c.Service, Pool: o.key, Version: version, Class: c.Class,
		Customer: c.Customer, Upstream: upstream, Outcome: outcome, Reason: reason,
	})
}
