package entry

import (
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/wire"
	"boragehinge.example/boragehinge/inventory"
)

// coldStateTTL is longer than it takes to detect that an owner failed and to assign its pools to new owners.
const coldStateTTL = 10 * time.Second

// coldUpstreamCache holds the cold upstreams that the owners of other pools announced, in case this entry takes over one of
// the pools. Without it, a cold upstream would get calls for all its slots until its first load report.
type coldUpstreamCache struct {
	mu    sync.Mutex
	pools map[inventory.PoolID]coldPoolState
}

type coldPoolState struct {
	upstreams []string
	at        time.Time
}

func (m *coldUpstreamCache) put(now time.Time, c wire.ColdUpstreams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pools == nil {
		m.pools = map[inventory.PoolID]coldPoolState{}
	}
	for id, p := range m.pools {
		if now.Sub(p.at) > coldStateTTL {
			delete(m.pools, id)
		}
	}
	m.pools[inventory.PoolID{Service: c.Service, DataCentre: c.DataCentre, Shard: c.Shard}] = coldPoolState{c.Upstreams, now}
}

// markCold marks the upstreams in spec as cold that the pool's previous owner announced as cold.
func (m *coldUpstreamCache) markCold(now time.Time, id inventory.PoolID, spec *dispatch.Spec) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.pools[id]
	if !ok || now.Sub(p.at) > coldStateTTL {
		return
	}
	for i := range spec.Upstreams {
		u := &spec.Upstreams[i]
		u.Cold = u.Cold || slices.Contains(p.upstreams, u.Name)
	}
}

// announceColdUpstreams sends the cold upstreams of each owned pool to the other entries of the data centre. Once a pool has
// no cold upstreams left, one empty list is sent.
func (e *Entry) announceColdUpstreams(now time.Time) {
	for _, o := range e.ownership.all() {
		o.announceColdUpstreams(now)
	}
}

func (o *ownedPool) announceColdUpstreams(now time.Time) {
	e := o.e
	if o.lostAt.Load() != 0 || o.id.DataCentre != e.settings.DataCentre {
		return
	}
	names := o.coldUpstreams(now)
	if announced := o.coldAnnounced.Swap(len(names) > 0); len(names) == 0 && !announced {
		return
	}
	message := wire.ColdUpstreams{Service: o.id.Service, DataCentre: o.id.DataCentre, Shard: o.id.Shard, Upstreams: names}
	for _, n := range e.neighbours() {
		_ = e.node.Send(n.Incarnation, wire.Envelope{Type: wire.EnvelopeTypeColdUpstreams, ColdUpstreams: &message})
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
