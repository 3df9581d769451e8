package entry

import (
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/wire"
	"boragehinge.example/boragehinge/inventory"
)

// coldKept outlasts the time until an owner's death is noticed and its pools have a new owner.
const coldKept = 10 * time.Second

// coldMemory holds what the owners of other pools said about cold upstreams, for the case that this entry takes a pool
// over. Without it, an upstream that is cold would get calls for all its slots until its first load report.
type coldMemory struct {
	mu    sync.Mutex
	pools map[inventory.PoolID]coldPool
}

type coldPool struct {
	upstreams []string
	at        time.Time
}

func (m *coldMemory) take(now time.Time, c wire.ColdUpstreams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = map[inventory.PoolID]coldPool{}
	}
	for id, p := range m.pools {
		if now.Sub(p.at) > coldKept {
			delete(m.pools, id)
		}
	}
	m.pools[inventory.PoolID{Service: c.Service, DataCentre: c.DataCentre, Shard: c.Shard}] = coldPool{c.Upstreams, now}
}

// mark marks the upstreams of a pool that is taken over as cold if its owner said so.
func (m *coldMemory) mark(now time.Time, id inventory.PoolID, spec *dispatch.Spec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.pools[id]
	if !ok || now.Sub(p.at) > coldKept {
		return
	}
	for i := range spec.Upstreams {
		u := &spec.Upstreams[i]
		u.Cold = u.Cold || slices.Contains(p.upstreams, u.Name)
	}
}

// tellCold tells the neighbours about the cold upstreams of own pools. The last message of a pool is empty.
func (e *Entry) tellCold(now time.Time) {
	for _, o := range e.ownership.all() {
		if o.lostAt.Load() != 0 || o.id.DataCentre != e.set.DataCentre {
			continue
		}
		names := o.coldUpstreams(now)
		if len(names) == 0 && !o.toldCold {
			continue
		}
		o.toldCold = len(names) > 0
		message := wire.ColdUpstreams{Service: o.id.Service, DataCentre: o.id.DataCentre, Shard: o.id.Shard, Upstreams: names}
		for _, n := range e.neighbours() {
			_ = e.node.Send(n.Incarnation, wire.Envelope{Type: wire.EnvelopeTypeColdUpstreams, ColdUpstreams: &message})
		}
	}
}

func (o *ownedPool) coldUpstreams(now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := []string{}
	for _, u := range o.pool.Upstreams(now) {
		if u.Health == dispatch.Cold {
			names = append(names, u.Name)
		}
	}
	return names
}
