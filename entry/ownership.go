package entry

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/inventory"
)

const (
	// reconcileInterval is the interval at which the open pools are reconciled with the membership view.
	reconcileInterval = 50 * time.Millisecond
	// handoverPeriod is the time for which a pool that was handed over still serves calls on warm upstreams. The other
	// entries learn of the change within two heartbeat intervals in the same data centre, and within 2 s from digests in
	// other data centres.
	handoverPeriod = 2500 * time.Millisecond
)

// ownership holds the pools that are open at this entry. The map is copy-on-write, so calls read it without a lock.
type ownership struct {
	mu             sync.Mutex // serialises changes
	openPools      atomic.Pointer[map[string]*ownedPool]
	poolsByAddress sync.Map // upstream address to *ownedPool
	closing        sync.WaitGroup
}

func (own *ownership) init() {
	own.openPools.Store(&map[string]*ownedPool{})
}

func (own *ownership) find(pool string) *ownedPool { return (*own.openPools.Load())[pool] }

func (own *ownership) all() map[string]*ownedPool { return *own.openPools.Load() }

// handingOver reports whether the pool is within its handover period: its ownership was lost so recently that the new owner
// may not know yet.
func (own *ownership) handingOver(pool string) bool {
	o := own.find(pool)
	return o != nil && o.withinHandover(time.Now())
}

func (o *ownedPool) withinHandover(now time.Time) bool {
	lost := o.lostAt.Load()
	return lost != 0 && now.Sub(time.Unix(0, lost)) < handoverPeriod
}

// serving returns the pool if this entry serves it. If the view assigns the pool to this entry but it isn't open yet, it is
// opened immediately.
func (own *ownership) serving(e *Entry, pool string) *ownedPool {
	o := own.find(pool)
	if o != nil && (o.lostAt.Load() == 0 || o.withinHandover(time.Now())) {
		return o
	}
	id, err := inventory.ParsePoolID(pool)
	if err != nil || !e.ownsInView(id) {
		return nil
	}
	e.reconcile()
	o = own.find(pool)
	if o == nil || o.lostAt.Load() != 0 {
		return nil
	}
	return o
}

// ownsInView reports whether this entry owns the pool according to its own membership view. While no entry is eligible as
// owner, as when the last entry stops, the pool stays with its current owner.
func (e *Entry) ownsInView(id inventory.PoolID) bool {
	owner, ok := e.node.View().Owners.Owner(membership.PoolID(id))
	if !ok {
		o := e.ownership.find(id.String())
		return o != nil && o.lostAt.Load() == 0
	}
	return owner.Incarnation == e.Incarnation()
}

// reconcile opens, configures and retires pools so that they match the configuration and the view.
func (e *Entry) reconcile() {
	own := &e.ownership
	own.mu.Lock()
	defer own.mu.Unlock()
	conf := e.conf.Load()
	if conf == nil || e.state.Load() == stopped {
		return
	}
	now := time.Now()
	e.updateJoining(now)
	next := maps.Clone(own.all())
	for _, p := range conf.snap.Pools() {
		e.reconcilePool(now, conf, p, next)
	}
	for key, o := range next {
		if _, known := conf.snap.Pool(o.id); !known {
			o.loseOwnership(now)
			o.retire()
		}
		if o.finished(now) {
			delete(next, key)
			own.closing.Add(1)
			go func() { defer own.closing.Done(); o.shutDown() }()
			e.log.Info().Str("pool", key).Msg("pool closed")
		}
	}
	own.openPools.Store(&next)
}

func (e *Entry) reconcilePool(now time.Time, conf *configuration, p *inventory.Pool, next map[string]*ownedPool) {
	key := p.ID.String()
	o := next[key]
	if !e.ownsInView(p.ID) {
		if o != nil {
			o.loseOwnership(now)
		}
		return
	}
	if o == nil {
		next[key] = e.openPool(conf, p)
		e.log.Info().Str("pool", key).Int("upstreams", len(p.Upstreams)).Msg("pool opened")
		return
	}
	if o.lostAt.Load() != 0 {
		o.regainOwnership(now, conf, p)
		e.log.Info().Str("pool", key).Msg("pool ownership regained")
		return
	}
	if o.currentConfiguration() != conf {
		o.configure(conf, p)
	}
}

// loseOwnership marks the pool as owned by another entry and sends that entry the pool's state. Queued calls are served
// during the handover period and then refused as not run; running calls finish.
func (o *ownedPool) loseOwnership(now time.Time) {
	if o.lostAt.CompareAndSwap(0, now.UnixNano()) {
		o.e.log.Info().Str("pool", o.key).Int64("running", o.calls.Load()).Msg("pool handed over")
		o.sendHandoverState(now)
	}
	if !o.withinHandover(now) {
		o.retire()
	}
}

func (o *ownedPool) currentConfiguration() *configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conf
}

func (o *ownedPool) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// regainOwnership makes this entry the owner of the pool again. Its running calls keep their slots; calls that another owner
// granted meanwhile may still be running too.
func (o *ownedPool) regainOwnership(now time.Time, conf *configuration, p *inventory.Pool) {
	o.mu.Lock()
	o.closed = false
	o.mu.Unlock()
	o.lostAt.Store(0)
	o.configure(conf, p, o.e.handoverOptions(now, o.key)...)
}

// finished reports whether the pool is closed and has no calls left.
func (o *ownedPool) finished(time.Time) bool { return o.isClosed() && o.calls.Load() == 0 }
