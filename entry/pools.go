package entry

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/routing"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/inventory"
)

// reasonNotFound is the reason of decision lines of calls for which no pool is left.
const reasonNotFound = "no pool is left"

// chooserKey names the calls of a service that take one version; an empty version stands for any.
type chooserKey struct{ service, version string }

// serviceChooser spreads the calls of one service and version over its pools.
type serviceChooser struct {
	mu      sync.Mutex
	chooser *routing.Chooser
}

// buildChoosers prepares a chooser for each service and version of a configuration. Known ones keep their weights.
func (e *Entry) buildChoosers(conf *configuration) {
	old := e.choosers.Load()
	next := map[chooserKey]*serviceChooser{}
	for _, s := range conf.snap.Services() {
		for _, version := range append([]string{""}, s.Versions...) {
			key := chooserKey{s.Name, version}
			c := &serviceChooser{chooser: routing.NewChooser(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
			if old != nil && (*old)[key] != nil {
				c = (*old)[key]
			}
			c.mu.Lock()
			c.chooser.Configure(e.candidates(conf, s.Name, version))
			c.mu.Unlock()
			next[key] = c
		}
	}
	e.choosers.Store(&next)
}

func (e *Entry) candidates(conf *configuration, service, version string) []routing.Candidate {
	var list []routing.Candidate
	for _, p := range conf.snap.PoolsOf(service) {
		if conf.usable(p, version) {
			list = append(list, routing.Candidate{Pool: p.ID, Delay: conf.snap.Delay(e.set.DataCentre, p.ID.DataCentre)})
		}
	}
	return list
}

// tickChoosers shifts weights between pools.
func (e *Entry) tickChoosers(now time.Time) {
	choosers := e.choosers.Load()
	if choosers == nil {
		return
	}
	for _, c := range *choosers {
		c.mu.Lock()
		c.chooser.Tick(now)
		c.mu.Unlock()
	}
}

// pools chooses the version and the pool of a call.
type pools struct{ e *Entry }

// Choose implements proxy.Pools.
func (p pools) Choose(now time.Time, c *proxy.Call, tried []proxy.Tried) (proxy.Pool, bool) {
	conf := p.e.conf.Load()
	if conf == nil {
		return proxy.Pool{}, false
	}
	p.refused(now, c, tried)
	version := c.Version
	if len(tried) == 0 {
		version = p.version(now, conf, c)
	}
	if pool, again := p.newOwner(conf, tried); again {
		p.record(now, c, pool, "chosen", "the owner changed")
		return pool, true
	}
	if pool, ok := p.next(now, conf, c.Service, version, tried); ok {
		p.record(now, c, pool, "chosen", "")
		return pool, true
	}
	if old, ok := rollout.Fallback(conf.view, c.Service, version); ok {
		if pool, ok := p.next(now, conf, c.Service, old, tried); ok {
			p.record(now, c, pool, "chosen", "no upstream of version "+version)
			return pool, true
		}
	}
	p.record(now, c, proxy.Pool{Version: version}, "refused", reasonNotFound)
	return proxy.Pool{}, false
}

// next returns the preferred pool for a version among those that are worth trying.
func (p pools) next(now time.Time, conf *configuration, service, version string, tried []proxy.Tried) (proxy.Pool, bool) {
	for _, id := range p.order(now, conf, service, version) {
		pool, ok := p.place(id, version)
		if ok && worthTrying(pool, tried) {
			return pool, true
		}
	}
	return proxy.Pool{}, false
}

const (
	// ownerWait is the time in which a changed owner becomes known, by the next heartbeats. Together with the attempts of
	// a call it covers two heartbeat intervals.
	ownerWait     = 150 * time.Millisecond
	ownerWaitStep = 10 * time.Millisecond
)

// newOwner returns the pool whose owner refused because it isn't the owner by its own view. One of the two views is about
// to change, so it waits for that and has the call tried again in any case.
func (p pools) newOwner(conf *configuration, tried []proxy.Tried) (proxy.Pool, bool) {
	if len(tried) == 0 || tried[len(tried)-1].Reason != proxy.ReasonWrongOwner {
		return proxy.Pool{}, false
	}
	last := tried[len(tried)-1].Pool
	id, err := inventory.ParsePoolID(last.ID)
	if err != nil {
		return proxy.Pool{}, false
	}
	if _, known := conf.snap.Pool(id); !known {
		return proxy.Pool{}, false
	}
	for waited := time.Duration(0); ; waited += ownerWaitStep {
		pool, ok := p.place(id, last.Version)
		if ok && (pool.Owner != last.Owner || waited >= ownerWait) {
			return pool, true
		}
		if waited >= ownerWait {
			return proxy.Pool{}, false
		}
		time.Sleep(ownerWaitStep)
	}
}

// version follows the moves of the service. A call without a request ID is drawn at random.
func (p pools) version(now time.Time, conf *configuration, c *proxy.Call) string {
	id := c.RequestID
	if id == "" {
		id = strconv.FormatUint(rand.Uint64(), 36)
	}
	version, ok := rollout.Choose(now, conf.view, p.e.stops, c.Service, id)
	if !ok {
		return ""
	}
	return version
}

// order returns the pools to try, the preferred one first.
func (p pools) order(now time.Time, conf *configuration, service, version string) []inventory.PoolID {
	choosers := p.e.choosers.Load()
	if choosers == nil {
		return nil
	}
	if c := (*choosers)[chooserKey{service, version}]; c != nil {
		c.mu.Lock()
		list, _ := c.chooser.Choose(now)
		c.mu.Unlock()
		if len(list) > 0 {
			return list
		}
	}
	return nearest(p.e.candidates(conf, service, version))
}

// nearest returns the nearest candidate. When all pools refused lately, its owner decides: what was refused may have been
// calls of a lower priority or with less time left.
func nearest(list []routing.Candidate) []inventory.PoolID {
	if len(list) == 0 {
		return nil
	}
	best := list[0]
	for _, c := range list {
		if c.Delay < best.Delay {
			best = c
		}
	}
	return []inventory.PoolID{best.Pool}
}

// place finds the owner of a pool. A pool that this entry handed over a moment ago is still served here, until the other
// entries know its new owner.
func (p pools) place(id inventory.PoolID, version string) (proxy.Pool, bool) {
	pool := proxy.Pool{ID: id.String(), Version: version}
	if p.e.ownsOnView(id) || p.e.ownership.handingOver(pool.ID) {
		return pool, true
	}
	owner, ok := p.e.node.View().Owners.Owner(membership.PoolID(id))
	pool.Owner = owner.PeerAddress
	return pool, ok && owner.PeerAddress != ""
}

// worthTrying leaves out the pools that refused a call of the same version.
func worthTrying(pool proxy.Pool, tried []proxy.Tried) bool {
	for _, t := range tried {
		if t.Pool.ID == pool.ID && t.Pool.Version == pool.Version && t.Upstream == "" {
			return false
		}
	}
	return true
}

// refused tells the chooser that the last pool refused for lack of capacity.
func (p pools) refused(now time.Time, c *proxy.Call, tried []proxy.Tried) {
	if len(tried) == 0 {
		return
	}
	last := tried[len(tried)-1]
	if last.Upstream != "" || last.Outcome != proxy.NotRun || last.RetryAfter == 0 || last.Reason == proxy.ReasonWrongOwner ||
		last.Reason == proxy.ReasonCustomerLimit {
		return
	}
	id, err := inventory.ParsePoolID(last.Pool.ID)
	choosers := p.e.choosers.Load()
	if err != nil || choosers == nil {
		return
	}
	if sc := (*choosers)[chooserKey{c.Service, last.Pool.Version}]; sc != nil {
		sc.mu.Lock()
		sc.chooser.Refused(now, id, last.RetryAfter)
		sc.mu.Unlock()
	}
}

// Learn implements proxy.Pools.
func (p pools) Learn(now time.Time, pool proxy.Pool, summary string) {
	id, err := inventory.ParsePoolID(pool.ID)
	wait, ok := parseSummary(summary)
	if err != nil || !ok {
		return
	}
	p.e.observeWait(now, id, wait)
}

// observeWait passes the expected wait of a pool to all choosers of its service.
func (e *Entry) observeWait(now time.Time, id inventory.PoolID, wait time.Duration) {
	choosers, conf := e.choosers.Load(), e.conf.Load()
	if choosers == nil || conf == nil {
		return
	}
	s, ok := conf.snap.Service(id.Service)
	if !ok {
		return
	}
	if _, ok := conf.snap.Pool(id); ok {
		e.waits.observe(now, id, wait)
	}
	for _, version := range append([]string{""}, s.Versions...) {
		if c := (*choosers)[chooserKey{id.Service, version}]; c != nil {
			c.mu.Lock()
			c.chooser.Observe(now, id, wait)
			c.mu.Unlock()
		}
	}
}

func (p pools) record(now time.Time, c *proxy.Call, pool proxy.Pool, outcome, reason string) {
	if pool.Owner != "" {
		outcome = "forwarded"
	}
	p.e.lines.Record(now, telemetry.Decision{
		Kind: "routing", RequestID: c.RequestID, Service: c.Service, Pool: pool.ID, Version: pool.Version, Class: c.Class,
		Customer: c.Customer, Outcome: outcome, Reason: reason,
	})
}
