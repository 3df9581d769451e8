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

// reasonNoPool is the reason in decision lines for calls that no pool is left to try for.
const reasonNoPool = "no pool is left"

// chooserKey identifies the calls of a service to one version; an empty version stands for any.
type chooserKey struct{ service, version string }

// serviceChooser distributes the calls of one service and version over its pools.
type serviceChooser struct {
	mu      sync.Mutex
	chooser *routing.Chooser
}

// buildChoosers creates a chooser for each service and version of a configuration. Existing choosers keep their weights.
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
			list = append(list, routing.Candidate{Pool: p.ID, Delay: conf.snap.Delay(e.settings.DataCentre, p.ID.DataCentre)})
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
	p.reportRefusal(now, c, tried)
	version := c.Version
	if len(tried) == 0 {
		version = p.version(now, conf, c)
	}
	if len(tried) > 0 && tried[len(tried)-1].Reason == proxy.ReasonWrongOwner {
		if pool, again := p.awaitNewOwner(conf, c, tried); again {
			p.logDecision(now, c, pool, "chosen", "the owner changed")
			return pool, true
		}
	}
	if pool, ok := p.nextPool(now, conf, c.Service, version, tried); ok {
		p.logDecision(now, c, pool, "chosen", "")
		return pool, true
	}
	if old, ok := rollout.Fallback(conf.view, c.Service, version); ok {
		if pool, ok := p.nextPool(now, conf, c.Service, old, tried); ok {
			p.logDecision(now, c, pool, "chosen", "no upstream of version "+version)
			return pool, true
		}
	}
	if pool, again := p.awaitNewOwner(conf, c, tried); again {
		p.logDecision(now, c, pool, "chosen", "the owner changed")
		return pool, true
	}
	p.logDecision(now, c, proxy.Pool{Version: version}, "refused", reasonNoPool)
	return proxy.Pool{}, false
}

// nextPool returns the most preferred pool for a version that hasn't refused the call yet.
func (p pools) nextPool(now time.Time, conf *configuration, service, version string, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
	for _, id := range p.poolOrder(now, conf, service, version) {
		pool, ok := p.locate(id, version)
		if ok && worthTrying(pool, tried) {
			return pool, true
		}
	}
	return proxy.Pool{}, false
}

const (
	// ownerChangeWait is how long to wait for heartbeats to announce a changed owner inside the data centre. Over all
	// attempts of a call it covers two heartbeat intervals.
	ownerChangeWait = 150 * time.Millisecond
	// remoteOwnerWait is the same for pools of other data centres, which send digests of their members once a second.
	remoteOwnerWait = 1500 * time.Millisecond
	// failedOwnerWait is the time in which the failure of an owner is detected and its pools get a new one. The first
	// waits are shorter, since the owner may have restarted at the same address.
	failedOwnerWait        = ownerFailureDetection + 500*time.Millisecond
	initialFailedOwnerWait = 250 * time.Millisecond
	ownerPollInterval      = 10 * time.Millisecond
)

// awaitNewOwner returns the last tried pool again if its owner couldn't be reached or refused the call as the wrong owner. One
// of the two membership views is about to change in this case, so it waits until the pool has another owner. If the wait
// ends first, the call is retried with the current owner.
func (p pools) awaitNewOwner(conf *configuration, c *proxy.Call, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
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
	wait := p.ownerChangeWait(id, last, len(tried))
	if left := time.Until(c.Deadline); left < wait {
		wait = left
	}
	for waited := time.Duration(0); waited < wait; waited += ownerPollInterval {
		if pool, ok := p.locate(id, last.Pool.Version); ok && pool.Owner != last.Pool.Owner {
			return pool, true
		}
		time.Sleep(ownerPollInterval)
	}
	if wait <= 0 {
		return proxy.Pool{}, false
	}
	return p.locate(id, last.Pool.Version)
}

// ownerChangeWait returns how long to wait for a new owner after the last attempt; 0 if the attempt failed for another reason.
func (p pools) ownerChangeWait(id inventory.PoolID, last proxy.FailedAttempt, attempts int) time.Duration {
	switch {
	case last.Reason == proxy.ReasonWrongOwner && id.DataCentre != p.e.settings.DataCentre:
		return remoteOwnerWait
	case last.Reason == proxy.ReasonWrongOwner:
		return ownerChangeWait
	case last.Pool.Owner != "" && last.Upstream == "" &&
		(last.Reason == proxy.ReasonConnectFailed || last.Reason == proxy.ReasonConnectionLost):
		return min(failedOwnerWait, initialFailedOwnerWait<<(2*(attempts-1)))
	}
	return 0
}

// version returns the version for a call according to the version moves of the service. The choice depends on the
// request ID, and is random for a call without one.
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

// poolOrder returns the pools to try in order of preference.
func (p pools) poolOrder(now time.Time, conf *configuration, service, version string) []inventory.PoolID {
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

// nearest returns the nearest candidate. It is used when all pools have refused calls recently: the refused calls may have
// had a lower priority or an earlier deadline, so the owner of the nearest pool decides on this one.
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

// locate finds the owner of a pool. A pool that this entry handed over is still served here during the handover period, until
// the other entries know its new owner.
func (p pools) locate(id inventory.PoolID, version string) (proxy.Pool, bool) {
	pool := proxy.Pool{ID: id.String(), Version: version}
	if p.e.ownsInView(id) || p.e.ownership.handingOver(pool.ID) {
		return pool, true
	}
	owner, ok := p.e.node.View().Owners.Owner(membership.PoolID(id))
	pool.Owner = owner.PeerAddress
	return pool, ok && owner.PeerAddress != ""
}

// worthTrying reports whether the pool hasn't yet refused the call for the same version.
func worthTrying(pool proxy.Pool, tried []proxy.FailedAttempt) bool {
	for _, t := range tried {
		if t.Pool.ID == pool.ID && t.Pool.Version == pool.Version && t.Upstream == "" {
			return false
		}
	}
	return true
}

// reportRefusal tells the chooser if the last pool refused the call for lack of capacity.
func (p pools) reportRefusal(now time.Time, c *proxy.Call, tried []proxy.FailedAttempt) {
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

// observeWait passes the expected queueing time of a pool to all choosers of its service.
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

func (p pools) logDecision(now time.Time, c *proxy.Call, pool proxy.Pool, outcome, reason string) {
	if pool.Owner != "" {
		outcome = "forwarded"
	}
	p.e.decisionLog.Record(now, telemetry.Decision{
		Kind: "routing", RequestID: c.RequestID, Service: c.Service, Pool: pool.ID, Version: pool.Version, Class: c.Class,
		Customer: c.Customer, Outcome: outcome, Reason: reason,
	})
}
