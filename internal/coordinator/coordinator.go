package coordinator

import (
	"math/rand/v2"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// Client receives the decisions on the asks that it submitted. Deliver must not block.
type Client interface {
	Deliver(grants []placement.Grant, refusals []placement.Refusal)
}

// Limits are the bounds that hold over all entries.
type Limits struct {
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// BadShare and BadSlack bound the requests that a bad version may get during its move.
	BadShare float64
	BadSlack float64
	// ColdFactor and ColdSlack bound the requests of a cold upstream in a second, with the rate that its service says it bears.
	ColdFactor float64
	ColdSlack  float64
}

// unprobedInFlight is the number of requests that an entry without a leader sends to one upstream at a time.
const unprobedInFlight = 1

// restrictedShare is the part of the budget for further attempts that an entry uses while others may use it too.
const restrictedShare = 0.1

type submitted struct {
	client  Client
	ask     uint64 // the client's number
	service string
}

// Coordinator owns the pools of all services. Its methods may be called from any goroutine.
type Coordinator struct {
	alone bool // places for one entry without probes

	mu     sync.Mutex
	limits Limits
	// restricted says that other leaders may serve beside this one, so bounds that hold over all entries are not drawn on.
	restricted bool
	rng        *rand.Rand
	pools      map[string]*placement.Pool
	asks       map[uint64]submitted
	byAsk      map[Client]map[uint64]uint64 // the client's number to ours
	next       uint64
	grants     map[Client][]placement.Grant
	refuse     map[Client][]placement.Refusal
	served     uint64
}

// NewCoordinator returns a coordinator without upstreams. alone says that it places for one entry that has no leader.
func NewCoordinator(limits Limits, alone bool) *Coordinator {
	return &Coordinator{
		limits: limits, alone: alone, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // spreads load
		pools: map[string]*placement.Pool{}, asks: map[uint64]submitted{}, byAsk: map[Client]map[uint64]uint64{},
		grants: map[Client][]placement.Grant{}, refuse: map[Client][]placement.Refusal{},
	}
}

// Configure takes over upstreams, services and evacuations. Call it when the world has changed; w is only read.
func (c *Coordinator) Configure(now time.Time, w *gateway.View) {
	if w.Config == nil {
		return
	}
	c.mu.Lock()
	restricted, limits := c.restricted, c.limits
	c.mu.Unlock()
	specs := make(map[string]placement.Spec, len(w.Config.Services))
	for name, s := range w.Config.Services {
		spec := placement.Spec{
			ColdPerSecond: s.ColdPerSecond, RetryRatio: limits.RetryRatio, RetryBurst: limits.RetryBurst,
			RetryWindow: limits.RetryWindow, BadShare: limits.BadShare, BadSlack: limits.BadSlack, Unprobed: c.alone,
			ColdFactor: limits.ColdFactor, ColdSlack: limits.ColdSlack,
		}
		if c.alone {
			spec.MaxInFlight = unprobedInFlight
		}
		if c.alone || restricted {
			spec.ColdPerSecond, spec.ColdSlack = 0, 0
			spec.RetryRatio, spec.RetryBurst = spec.RetryRatio*restrictedShare, spec.RetryBurst*restrictedShare
		}
		specs[name] = spec
	}
	for _, u := range w.Upstreams {
		addUpstream(specs, w, u, u.Draining)
	}
	for _, t := range w.Tombstones {
		addUpstream(specs, w, t.Upstream, t.Upstream.Draining || !now.Before(t.GraceEnd))
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
	c.deliver()
}

func addUpstream(specs map[string]placement.Spec, w *gateway.View, u gateway.Upstream, closed bool) {
	spec, ok := specs[u.Service]
	if !ok {
		return
	}
	spec.Upstreams = append(spec.Upstreams, placement.UpstreamSpec{
		ID: u.ID, Address: u.Address, DataCentre: u.DataCentre, Version: u.Version, Slots: u.Slots, ColdLeft: u.ColdLeft, Born: u.Born,
		Closed: closed || w.Evacuated[u.DataCentre],
	})
	specs[u.Service] = spec
}

// SetLimits replaces the bounds; Configure applies them to the pools.
func (c *Coordinator) SetLimits(l Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = l
}

// Restrict says whether other leaders may serve beside this one, and reports whether that is new.
func (c *Coordinator) Restrict(restricted bool) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed = c.restricted != restricted
	c.restricted = restricted
	return changed
}

// Submit offers asks of a client. Decisions reach the client by Deliver, before Submit returns or later.
func (c *Coordinator) Submit(now time.Time, client Client, asks ...Ask) {
	c.mu.Lock()
	for i := range asks {
		c.submit(now, client, &asks[i])
	}
	c.deliver()
}

func (c *Coordinator) submit(now time.Time, client Client, a *Ask) {
	pool := c.pools[a.Service]
	if pool == nil {
		c.refuse[client] = append(c.refuse[client], placement.Refusal{
			Ask: a.ID, Reason: placement.ReasonNoUpstream, RetryAfter: 300 * time.Millisecond,
		})
		return
	}
	c.served++
	c.collect(pool.Submit(now, a.placementAsk(now, c.register(client, a))))
}

func (c *Coordinator) register(client Client, a *Ask) uint64 {
	c.next++
	c.asks[c.next] = submitted{client: client, ask: a.ID, service: a.Service}
	if c.byAsk[client] == nil {
		c.byAsk[client] = map[uint64]uint64{}
	}
	c.byAsk[client][a.ID] = c.next
	return c.next
}

// registerHedge gives the second attempt of an ask the numbers that belong to the ask's own.
func (c *Coordinator) registerHedge(id uint64) submitted {
	s := c.asks[placement.FirstOf(id)]
	s.ask = placement.HedgeOf(s.ask)
	c.asks[id] = s
	c.byAsk[s.client][s.ask] = id
	return s
}

func (c *Coordinator) forget(id uint64) {
	s := c.asks[id]
	delete(c.asks, id)
	delete(c.byAsk[s.client], s.ask)
}

// Adopt counts the calls that a new follower says are running.
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

// Finish ends granted asks of a client.
func (c *Coordinator) Finish(now time.Time, client Client, ends ...End) {
	c.mu.Lock()
	for _, e := range ends {
		id, ok := c.byAsk[client][e.Ask]
		if !ok {
			continue
		}
		service := c.asks[id].service
		d := c.pools[service].Finish(now, placement.End{Ask: id, Outcome: e.Outcome, Latency: e.Latency, Load: e.Load})
		c.forget(id)
		c.collect(d)
	}
	c.deliver()
}

// Cancel drops asks that wait.
func (c *Coordinator) Cancel(client Client, asks ...uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range asks {
		if id, ok := c.byAsk[client][a]; ok {
			// An ask that was granted meanwhile stays: its client reports the end when the grant arrives.
			if c.pools[c.asks[id].service].Cancel(id) {
				c.forget(id)
			}
		}
	}
}

// Leave ends everything that a client has asked for.
func (c *Coordinator) Leave(now time.Time, client Client) {
	c.mu.Lock()
	for _, id := range c.byAsk[client] {
		service := c.asks[id].service
		pool := c.pools[service]
		pool.Cancel(id)
		c.collect(pool.Finish(now, placement.End{Ask: id, Outcome: placement.Cancelled}))
		delete(c.asks, id)
	}
	delete(c.byAsk, client)
	c.deliver()
}

// Probe records the result of a health probe of an upstream of a service.
func (c *Coordinator) Probe(now time.Time, service string, p placement.Probe) {
	c.mu.Lock()
	if pool := c.pools[service]; pool != nil {
		c.collect(pool.Probe(now, p))
	}
	c.deliver()
}

// Tick lets time pass for all pools.
func (c *Coordinator) Tick(now time.Time) {
	c.mu.Lock()
	for _, pool := range c.pools {
		c.collect(pool.Tick(now))
	}
	c.deliver()
}

// WithPool calls f with the pool of a service, if there is one.
func (c *Coordinator) WithPool(service string, f func(*placement.Pool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pool := c.pools[service]; pool != nil {
		f(pool)
	}
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

// Served is the number of asks so far.
func (c *Coordinator) Served() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// collect assigns decisions to the clients that they belong to. The pool's slices are valid until its next call.
func (c *Coordinator) collect(d placement.Decisions) {
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
		c.refuse[s.client] = append(c.refuse[s.client], r)
	}
}

// deliver unlocks c and passes the collected decisions on.
func (c *Coordinator) deliver() {
	if len(c.grants) == 0 && len(c.refuse) == 0 {
		c.mu.Unlock()
		return
	}
	grants, refusals := c.grants, c.refuse
	c.grants, c.refuse = map[Client][]placement.Grant{}, map[Client][]placement.Refusal{}
	c.mu.Unlock()
	for client, g := range grants {
		client.Deliver(g, refusals[client])
		delete(refusals, client)
	}
	for client, r := range refusals {
		client.Deliver(nil, r)
	}
}
