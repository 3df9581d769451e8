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
	// controlTick is the interval at which ownership is compared with the view.
	controlTick = 50 * time.Millisecond
	// keepServing is the time for which a pool that was handed over still serves calls on warm upstreams. Heartbeats
	// carry the change to the entries of the data centre within two of their intervals, digests to others within 2 s.
	keepServing = 2500 * time.Millisecond
)

// ownership holds the pools that are open at this entry. Calls read the map without a lock; changes copy it.
type ownership struct {
	mu        sync.Mutex // serialises changes
	open      atomic.Pointer[map[string]*ownedPool]
	byAddress sync.Map // upstream address to *ownedPool
	ended     sync.WaitGroup
}

func (w *ownership) init() {
	w.open.Store(&map[string]*ownedPool{})
}

func (w *ownership) find(pool string) *ownedPool { return (*w.open.Load())[pool] }

func (w *ownership) all() map[string]*ownedPool { return *w.open.Load() }

// handingOver reports whether the pool's ownership was lost so recently that its new owner may not know yet.
func (w *ownership) handingOver(pool string) bool {
	o := w.find(pool)
	return o != nil && o.withinHandover(time.Now())
}

func (o *ownedPool) withinHandover(now time.Time) bool {
	lost := o.lostAt.Load()
	return lost != 0 && now.Sub(time.Unix(0, lost)) < keepServing
}

// serving returns the pool if this entry serves it. A pool that the view gives to this entry but that isn't open yet is
// opened at once.
func (w *ownership) serving(e *Entry, pool string) *ownedPool {
	o := w.find(pool)
	if o != nil && (o.lostAt.Load() == 0 || o.withinHandover(time.Now())) {
		return o
	}
	id, err := inventory.ParsePoolID(pool)
	if err != nil || !e.ownsOnView(id) {
		return nil
	}
	e.reconcile()
	o = w.find(pool)
	if o == nil || o.lostAt.Load() != 0 {
		return nil
	}
	return o
}

// ownsOnView reports whether this entry owns the pool by its own view. A pool stays where it is while no entry may own it,
// which is so when the last entry stops.
func (e *Entry) ownsOnView(id inventory.PoolID) bool {
	owner, ok := e.node.View().Owners.Owner(membership.PoolID(id))
	if !ok {
		o := e.ownership.find(id.String())
		return o != nil && o.lostAt.Load() == 0
	}
	return owner.Incarnation == e.Incarnation()
}

// reconcile opens, configures and retires pools so that they match the configuration and the view.
func (e *Entry) reconcile() {
	w := &e.ownership
	w.mu.Lock()
	defer w.mu.Unlock()
	conf := e.conf.Load()
	if conf == nil || e.state.Load() == stopped {
		return
	}
	now := time.Now()
	next := maps.Clone(w.all())
	for _, p := range conf.snap.Pools() {
		e.reconcilePool(now, conf, p, next)
	}
	for key, o := range next {
		if _, known := conf.snap.Pool(o.id); !known {
			o.lose(now)
			o.retire()
		}
		if o.finished(now) {
			delete(next, key)
			w.ended.Add(1)
			go func() { defer w.ended.Done(); o.end() }()
			e.log.Info().Str("pool", key).Msg("pool closed")
		}
	}
	w.open.Store(&next)
}

func (e *Entry) reconcilePool(now time.Time, conf *configuration, p *inventory.Pool, next map[string]*ownedPool) {
	key := p.ID.String()
	o := next[key]
	if !e.ownsOnView(p.ID) {
		if o != nil {
			o.lose(now)
		}
		return
	}
	if o == nil {
		next[key] = e.openPool(conf, p)
		e.log.Info().Str("pool", key).Int("upstreams", len(p.Upstreams)).Msg("pool opened")
		return
	}
	if o.lostAt.Load() != 0 {
		o.regain(now, conf, p)
		e.log.Info().Str("pool", key).Msg("pool taken back")
		return
	}
	if o.current() != conf {
		o.configure(conf, p)
	}
}

// lose notes that another entry owns the pool. Queued calls go on for the time of the handover, then they are refused as
// not run; running ones finish.
func (o *ownedPool) lose(now time.Time) {
	if o.lostAt.CompareAndSwap(0, now.UnixNano()) {
		o.e.log.Info().Str("pool", o.key).Int64("running", o.calls.Load()).Msg("pool handed over")
		o.sendState(now)
	}
	if !o.withinHandover(now) {
		o.retire()
	}
}

func (o *ownedPool) current() *configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.conf
}

func (o *ownedPool) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// regain takes a pool back. Its running calls keep their slots; another owner's may run beside them.
func (o *ownedPool) regain(now time.Time, conf *configuration, p *inventory.Pool) {
	o.mu.Lock()
	o.closed = false
	o.mu.Unlock()
	o.lostAt.Store(0)
	o.configure(conf, p, o.e.handoverOption(now, o.key))
}

// finished reports whether a pool that was handed over has no calls left.
func (o *ownedPool) finished(time.Time) bool { return o.isClosed() && o.calls.Load() == 0 }
