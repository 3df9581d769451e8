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
func (p pools) Choose(now time.Time, c *proxy.Call, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
	conf := p.e.conf.Load()
	if conf == nil {
		return proxy.Pool{}, false
	}
	p.refused(now, c, tried)
	version := c.Version
	if len(tried) == 0 {
		version = p.version(now, conf, c)
	}
	if len(tried) > 0 && tried[len(tried)-1].Reason == proxy.ReasonWrongOwner {
		if pool, again := p.newOwner(conf, c, tried); again {
			p.record(now, c, pool, "chosen", "the owner changed")
			return pool, true
		}
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
	if pool, again := p.newOwner(conf, c, tried); again {
		p.record(now, c, pool, "chosen", "the owner changed")
		return pool, true
	}
	p.record(now, c, proxy.Pool{Version: version}, "refused", reasonNotFound)
	return proxy.Pool{}, false
}

// next returns the preferred pool for a version among those that are worth trying.
func (p pools) next(now time.Time, conf *configuration, service, version string, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
	for _, id := range p.order(now, conf, service, version) {
		pool, ok := p.place(id, version)
		if ok && worthTrying(pool, tried) {
			return pool, true
		}
	}
	return proxy.Pool{}, false
}

const (
	// ownerWait is the time in which a changed owner becomes known inside the data centre, by the next heartbeats.
	// Together with the attempts of a call it covers two heartbeat intervals.
	ownerWait = 150 * time.Millisecond
	// remoteOwnerWait is the same for pools of other data centres, whose members are known from digests once a second.
	remoteOwnerWait = 1500 * time.Millisecond
	// lostOwnerWait is the time in which the death of an owner is noticed, with the time until its pools have a new one.
	// The first waits are shorter, since the owner may have been restarted under its address.
	lostOwnerWait      = lossNoticed + 500*time.Millisecond
	firstLostOwnerWait = 250 * time.Millisecond
	ownerWaitStep      = 10 * time.Millisecond
)

// newOwner returns the last pool again once it has another owner, for a call whose owner refused because it isn't the
// owner by its own view, or couldn't be reached. One of the two views is about to change, so it waits for that, and has
// the call tried again in any case.
func (p pools) newOwner(conf *configuration, c *proxy.Call, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
	if len(tried) == 0 {
		return proxy.Pool{}, false
	}
	last := tried[len(tried)-1]
	id, err := inventory.ParsePoolID(last.Pool.ID)
	if err != nil {
		return proxy.Pool{}, false
	}
	if _, known := conf.snap.Pool(id); !known {
		return proxy.Pool{}, false
	}
	wait := p.ownerWait(id, last, len(tried))
	if left := time.Until(c.Deadline); left < wait {
		wait = left
	}
	for waited := time.Duration(0); waited < wait; waited += ownerWaitStep {
		if pool, ok := p.place(id, last.Pool.Version); ok && pool.Owner != last.Pool.Owner {
			return pool, true
		}
		time.Sleep(ownerWaitStep)
	}
	if wait <= 0 {
		return proxy.Pool{}, false
	}
	return p.place(id, last.Pool.Version)
}

// ownerWait returns how long a change of the owner is worth waiting for after the last of some attempts; 0 when it is not.
func (p pools) ownerWait(id inventory.PoolID, last proxy.FailedAttempt, attempts int) time.Duration {
	switch {
	case last.Reason == proxy.ReasonWrongOwner && id.DataCentre != p.e.set.DataCentre:
		return remoteOwnerWait
	case last.Reason == proxy.ReasonWrongOwner:
		return ownerWait
	case last.Pool.Owner != "" && last.Upstream == "" &&
		(last.Reason == proxy.ReasonConnectFailed || last.Reason == proxy.ReasonConnectionLost):
		return min(lostOwnerWait, firstLostOwnerWait<<(2*(attempts-1)))
	}
	return 0
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
func worthTrying(pool proxy.Pool, tried []proxy.FailedAttempt) bool {
	for _, t := range tried {
		if t.Pool.ID == pool.ID && t.Pool.Version == pool.Version && t.Upstream == "" {
			return false
		}
	}
	return true
}

// refused tells the chooser that the last pool refused for lack of capacity.
func (p pools) refused(now time.Time, c *proxy.Call, tried []proxy.FailedAttempt) {
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

// UpdateSummary implements proxy.Pools.
func (p pools) UpdateSummary(now time.Time, pool proxy.Pool, summary string) {
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
