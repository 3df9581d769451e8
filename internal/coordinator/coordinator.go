package coordinator

import (
	"math/rand/v2"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// Client receives the decisions on the asks (placement requests) that it submitted. Deliver must not block.
type Client interface {
	Deliver(grants []placement.Grant, refusals []placement.Refusal)
}

// Limits apply to all entries together.
type Limits struct {
	// RetryRatio, RetryBurst and RetryWindow define the retry budget.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// BadShare and BadSlack limit the requests that a faulty version may receive during a move: a share of all requests and
	// an absolute allowance.
	BadShare float64
	BadSlack float64
	// ColdFactor and ColdSlack limit the requests per second to a cold upstream: a factor on the rate configured for its
	// service and an absolute allowance.
	ColdFactor float64
	ColdSlack  float64
	// HedgeLimit limits the hedges per request, see placement.Spec; nil means no limit but the retry budget.
	HedgeLimit *float64
	// ResetsWhenFull reports whether the upstreams of a service reset connections when they are full, see placement.Spec; nil means none.
	ResetsWhenFull func(service string) bool
	// TransferCost is the latency that is accepted to keep 1000 bytes within their data centre; 0 leaves sizes out of account.
	TransferCost time.Duration
	// ObjectiveFromFirstTry counts the objective of a request that its caller sends again from its first try, see placement.Spec.
	ObjectiveFromFirstTry bool
	// AvoidFailing makes requests that may not be repeated prefer upstreams on which few requests failed, see placement.Spec.
	AvoidFailing bool
	// UpstreamRequestBytes limits the bytes of the concurrent requests to an upstream; 0 means no limit.
	UpstreamRequestBytes int64
}

// standaloneMaxInFlight is the number of concurrent requests that an entry without a leader sends to one upstream.
const standaloneMaxInFlight = 1

// Shares of the burst of the retry budget, where other entries may spend the same. The part of the budget that grows with the requests
// is not divided, because each entry counts other requests.
const (
	// restrictedBurstShare is the fraction for a leader while others may lead.
	restrictedBurstShare = 0.1
	// standaloneBurstShare is the fraction for all entries without a leader together.
	standaloneBurstShare = 0.5
)

// burstShare returns the fraction of the burst of the retry budget for this entry, of a number of known ones.
func (c *Coordinator) burstShare(entries int, restricted bool) float64 {
	switch {
	case c.standalone:
		return min(restrictedBurstShare, standaloneBurstShare/float64(max(1, entries)))
	case restricted:
		return restrictedBurstShare
	}
	return 1
}

// registeredAsk links an ask to the client that submitted it.
type registeredAsk struct {
	client  Client
	ask     uint64 // ID that the client uses
	service string
}

// Coordinator owns the pools of all services. Its methods may be called from any goroutine.
type Coordinator struct {
	standalone bool       // serves a single entry that has no leader, without probes
	work       *workMeter // optional

	mu     sync.Mutex
	limits Limits
	// restricted is set while other leaders may be active. Allowances shared by all entries are then reduced or not used.
	restricted bool
	// oneBody and holdBodies are set while a new leader waits for followers that run requests, see restrictBodies.
	oneBody, holdBodies bool
	rng                 *rand.Rand
	pools               map[string]*placement.Pool
	asks                map[uint64]registeredAsk
	idsByClient         map[Client]map[uint64]uint64 // from the client's ID to the one in asks
	lastID              uint64
	grants              map[Client][]placement.Grant
	refused             map[Client][]placement.Refusal
	served              uint64

	// crashesChanged receives a value when the crash histories of a pool have changed.
	crashesChanged chan struct{}
	// probeWakes holds the channels that ask for a probe at once, of type chan struct{}, by upstream.
	probeWakes sync.Map
	// probeSoon receives the upstreams that are to be probed at once, if probes are delegated.
	probeSoon chan<- string
}

// NewCoordinator returns a coordinator without upstreams. A standalone one serves a single entry that has no leader.
func NewCoordinator(limits Limits, standalone bool) *Coordinator {
	return &Coordinator{
		limits: limits, standalone: standalone, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load
		pools: map[string]*placement.Pool{}, asks: map[uint64]registeredAsk{}, idsByClient: map[Client]map[uint64]uint64{},
		grants: map[Client][]placement.Grant{}, refused: map[Client][]placement.Refusal{}, crashesChanged: make(chan struct{}, 1),
	}
}

// Configure applies upstreams, services and evacuated data centres to the pools. Call it when the view or the reports of
// upstreams have changed; both are only read.
func (c *Coordinator) Configure(now time.Time, v *gateway.View, r *reports) {
	if v.Config == nil {
		return
	}
	began := time.Now()
	c.mu.Lock()
	restricted, oneBody, holdBodies, limits := c.restricted, c.restricted || c.oneBody, c.holdBodies, c.limits
	c.mu.Unlock()
	specs := make(map[string]placement.Spec, len(v.Config.Services))
	for name, s := range v.Config.Services {
		spec := placement.Spec{
			ColdPerSecond: s.ColdPerSecond, RetryRatio: limits.RetryRatio, RetryBurst: limits.RetryBurst * c.burstShare(len(v.Entries), restricted),
			RetryWindow: limits.RetryWindow, BadShare: limits.BadShare, BadSlack: limits.BadSlack, AllowUnprobed: c.standalone,
			ColdFactor: limits.ColdFactor, ColdSlack: limits.ColdSlack, TransferCost: limits.TransferCost, HedgeLimit: limits.HedgeLimit,
			MaxRequestBytes: limits.UpstreamRequestBytes, OneBody: oneBody, HoldBodies: holdBodies,
			ObjectiveFromFirstTry: limits.ObjectiveFromFirstTry, AvoidFailing: limits.AvoidFailing,
			UpstreamsUnknown: !c.standalone && !v.Synced[gateway.Upstreams],
		}
		if limits.ResetsWhenFull != nil {
			spec.ResetsWhenFull = limits.ResetsWhenFull(name)
		}
		if c.standalone {
			spec.MaxInFlight = standaloneMaxInFlight
		} else {
			spec.MaxTickGap, spec.HoldAfterGap = maxTickGap, nextLeaderWait
		}
		if c.standalone || restricted {
			spec.ColdPerSecond, spec.ColdSlack = 0, 0
			spec.HedgeLimit = restrictedHedgeLimit(limits.HedgeLimit)
			spec.LimitShare = 1 / float64(max(1, len(v.Entries)))
		}
		specs[name] = spec
	}
	for _, u := range v.Upstreams {
		addUpstream(specs, v, u, u.Draining, r)
	}
	for _, t := range v.Tombstones {
		addUpstream(specs, v, t.Upstream, t.Upstream.Draining || !now.Before(t.GraceEnd), r)
	}
	c.mu.Lock()
	for name, spec := range specs {
		pool := c.pools[name]
		if pool == nil {
			pool = placement.New(c.rng)
			c.pools[name] = pool
		}
		c.collect(pool.Configure(now, spec))
	}
	c.work.since(began, configureWork)
	c.deliver()
}

func addUpstream(specs map[string]placement.Spec, v *gateway.View, u gateway.Upstream, closed bool, r *reports) {
	spec, ok := specs[u.Service]
	if !ok {
		return
	}
	s := placement.UpstreamSpec{
		ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Version: u.Version, Slots: u.Slots, ColdLeft: u.ColdLeft, Born: u.Born,
		Closed: closed || v.Evacuated[u.DataCentre] || r.isLeaving(u.ID, u.Born),
	}
	if l, ok := r.limits[u.ID]; ok {
		s.Limit = &l.perSecond
	}
	spec.Upstreams = append(spec.Upstreams, s)
	specs[u.Service] = spec
}

// SetLimit sets or, if limit is nil, lifts the limit of an upstream.
func (c *Coordinator) SetLimit(now time.Time, upstream string, limit *float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		pool.SetLimit(now, upstream, limit)
	}
}

// SetLimits replaces the limits. They take effect at the next Configure.
func (c *Coordinator) SetLimits(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
}

// Restrict sets whether other leaders may be active, and reports whether the value changed. It takes effect at the next
// Configure.
func (c *Coordinator) Restrict(restricted bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.restricted != restricted
	c.restricted = restricted
	return changed
}

// isRestricted reports whether other leaders may be active.
func (c *Coordinator) isRestricted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restricted
}

// Submit submits asks of a client. The decisions are passed to client.Deliver, before Submit returns or later.
func (c *Coordinator) Submit(now time.Time, client Client, asks ...Ask) {
	c.mu.Lock()
	began := time.Now()
	for i := range asks {
		c.submit(now, client, &asks[i])
	}
	c.work.since(began, submitWork)
	c.deliver()
}

func (c *Coordinator) submit(now time.Time, client Client, a *Ask) {
	pool := c.pools[a.Service]
	if pool == nil {
		c.refused[client] = append(c.refused[client], placement.Refusal{
			Ask: a.ID, Reason: placement.ReasonNoUpstream, RetryAfter: 300 * time.Millisecond,
		})
		return
	}
	c.served++
	c.collect(pool.Submit(now, a.placementAsk(now, c.register(client, a))))
}

func (c *Coordinator) register(client Client, a *Ask) uint64 {
	c.lastID++
	c.asks[c.lastID] = registeredAsk{client: client, ask: a.ID, service: a.Service}
	if c.idsByClient[client] == nil {
		c.idsByClient[client] = map[uint64]uint64{}
	}
	c.idsByClient[client][a.ID] = c.lastID
	return c.lastID
}

// registerHedge registers the hedged second attempt of an ask for the same client, under the ID derived from the ask's own.
func (c *Coordinator) registerHedge(id uint64) registeredAsk {
	s := c.asks[placement.FirstOf(id)]
	s.ask = placement.HedgeOf(s.ask)
	c.asks[id] = s
	c.idsByClient[s.client][s.ask] = id
	return s
}

// forget drops an ask that is finished or cancelled.
func (c *Coordinator) forget(id uint64) {
	s := c.asks[id]
	delete(c.asks, id)
	delete(c.idsByClient[s.client], s.ask)
}

// Adopt accounts for attempts in progress of a client that were placed by another leader or standalone.
func (c *Coordinator) Adopt(now time.Time, client Client, running []Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range running {
		r := &running[i]
		if pool := c.pools[r.Ask.Service]; pool != nil {
			pool.Adopt(now, r.Ask.placementAsk(now, c.register(client, &r.Ask)), r.Upstream)
		}
	}
}

// Finish records the results of granted asks of a client.
func (c *Coordinator) Finish(now time.Time, client Client, ends ...End) {
	c.mu.Lock()
	began := time.Now()
	for _, e := range ends {
		id, ok := c.idsByClient[client][e.Ask]
		if !ok {
			continue
		}
		service := c.asks[id].service
		d := c.pools[service].Finish(now, placement.End{Ask: id, Outcome: e.Outcome, Latency: e.Latency, Load: e.Load, Limit: e.Limit, Loss: e.Loss})
		c.forget(id)
		c.collect(d)
	}
	c.work.since(began, finishWork)
	c.deliver()
}

// Cancel withdraws queued asks.
func (c *Coordinator) Cancel(client Client, asks ...uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range asks {
		if id, ok := c.idsByClient[client][a]; ok {
			// An ask that was granted in the meantime stays registered: its client reports the end when the grant arrives.
			if c.pools[c.asks[id].service].Cancel(id) {
				c.forget(id)
			}
		}
	}
}

// RemoveClient cancels all asks of a client, queued and granted.
func (c *Coordinator) RemoveClient(now time.Time, client Client) {
	c.mu.Lock()
	for _, id := range c.idsByClient[client] {
		service := c.asks[id].service
		pool := c.pools[service]
		pool.Cancel(id)
		c.collect(pool.Finish(now, placement.End{Ask: id, Outcome: placement.Cancelled}))
		delete(c.asks, id)
	}
	delete(c.idsByClient, client)
	c.deliver()
}

// Probe records the result of a health probe.
func (c *Coordinator) Probe(now time.Time, service string, p placement.Probe) {
	c.mu.Lock()
	began := time.Now()
	if pool := c.pools[service]; pool != nil {
		c.collect(pool.Probe(now, p))
	}
	c.work.since(began, probeWork)
	c.deliver()
}

// Tick advances the timers of all pools.
func (c *Coordinator) Tick(now time.Time) {
	c.mu.Lock()
	began := time.Now()
	for _, pool := range c.pools {
		c.collect(pool.Tick(now))
	}
	c.work.since(began, tickWork)
	c.deliver()
}

// WithPool calls f with the pool of a service, if it exists. f runs under the lock of the coordinator.
func (c *Coordinator) WithPool(service string, f func(*placement.Pool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool := c.pools[service]; pool != nil {
		f(pool)
	}
}

// SlotsByDataCentre returns the slots of the upstreams that may get requests, in each data centre with upstreams.
func (c *Coordinator) SlotsByDataCentre() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots := map[string]int{}
	for _, pool := range c.pools {
		pool.AddSlotsByDataCentre(slots)
	}
	return slots
}

// Services returns the names of the services with a pool.
func (c *Coordinator) Services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.pools))
	for name := range c.pools {
		names = append(names, name)
	}
	return names
}

// Waiting returns the number of queued asks of all services.
func (c *Coordinator) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, pool := range c.pools {
		n += pool.Waiting()
	}
	return n
}

// Served returns the number of asks submitted so far to services that have a pool.
func (c *Coordinator) Served() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// collect queues decisions for the clients that own the asks. The slices of d are reused by the next call of the pool.
func (c *Coordinator) collect(d placement.Decisions) {
	if d.CrashesChanged {
		select {
		case c.crashesChanged <- struct{}{}:
		default: // a change is already announced
		}
	}
	c.wakeProbe(d.ProbeSoon)
	for _, g := range d.Grants {
		s := c.asks[g.Ask]
		if placement.IsHedge(g.Ask) {
			s = c.registerHedge(g.Ask)
		}
		g.Ask = s.ask
		c.grants[s.client] = append(c.grants[s.client], g)
	}
	for _, r := range d.Refusals {
		s, ok := c.asks[r.Ask]
		if !ok {
			continue
		}
		c.forget(r.Ask)
		r.Ask = s.ask
		c.refused[s.client] = append(c.refused[s.client], r)
	}
}

// deliver unlocks c.mu and then passes the collected decisions to the clients.
func (c *Coordinator) deliver() {
	if len(c.grants) == 0 && len(c.refused) == 0 {
		c.mu.Unlock()
		return
	}
	grants, refusals := c.grants, c.refused
	c.grants, c.refused = map[Client][]placement.Grant{}, map[Client][]placement.Refusal{}
	c.mu.Unlock()
	for client, g := range grants {
		client.Deliver(g, refusals[client])
		delete(refusals, client)
	}
	for client, r := range refusals {
		client.Deliver(nil, r)
	}
}
