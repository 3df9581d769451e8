package inventory

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxShardUpstreams is the largest number of upstreams in one shard.
const MaxShardUpstreams = 32

// shardFill is the mean number of upstreams above which the number of shards doubles. The room up to MaxShardUpstreams
// absorbs the uneven spread of hashing, so that few upstreams land on their second choice.
const shardFill = 24

// PoolID names a pool: one shard of a service in a data centre.
type PoolID struct {
	Service    string
	DataCentre string
	Shard      int
}

// String returns service/dataCentre/shard.
func (id PoolID) String() string {
	return id.Service + "/" + id.DataCentre + "/" + strconv.Itoa(id.Shard)
}

// ParsePoolID reads what String returns.
func ParsePoolID(text string) (PoolID, error) {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return PoolID{}, fmt.Errorf("pool %q is not service/dataCentre/shard", text)
	}
	shard, err := strconv.Atoi(parts[2])
	if err != nil || shard < 0 || parts[0] == "" || parts[1] == "" {
		return PoolID{}, fmt.Errorf("pool %q is not service/dataCentre/shard", text)
	}
	return PoolID{Service: parts[0], DataCentre: parts[1], Shard: shard}, nil
}

// Pool is a shard with its upstreams, sorted by name. Closed is set while a rule takes the data centre out.
type Pool struct {
	ID        PoolID
	Upstreams []Upstream
	Closed    bool
}

// Usable reports whether the pool may be granted calls of the version; an empty version stands for any.
func (p *Pool) Usable(version string) bool {
	if p.Closed {
		return false
	}
	return slices.ContainsFunc(p.Upstreams, func(u Upstream) bool {
		return !u.Leaving && (version == "" || u.Version == version)
	})
}

// Pools returns all pools, sorted by service, data centre and shard.
func (s *Snapshot) Pools() []*Pool { return s.pools }

// Pool returns a pool by its ID.
func (s *Snapshot) Pool(id PoolID) (*Pool, bool) { p, ok := s.poolByID[id]; return p, ok }

// PoolsOf returns the pools of a service, sorted by data centre and shard.
func (s *Snapshot) PoolsOf(service string) []*Pool { return s.poolsOf[service] }

// PoolOf returns the pool that holds the upstream.
func (s *Snapshot) PoolOf(upstream string) (*Pool, bool) { p, ok := s.poolOf[upstream]; return p, ok }

func (s *Snapshot) addPools() {
	for _, svc := range s.services {
		groups := map[string][]Upstream{}
		for _, u := range svc.Upstreams {
			groups[u.DataCentre] = append(groups[u.DataCentre], u)
		}
		for dc, members := range groups {
			for shard, upstreams := range shards(members) {
				if len(upstreams) == 0 {
					continue
				}
				p := &Pool{ID: PoolID{svc.Name, dc, shard}, Upstreams: upstreams, Closed: s.dcByName[dc].Leaving}
				s.pools = append(s.pools, p)
			}
		}
	}
	slices.SortFunc(s.pools, func(a, b *Pool) int {
		return cmp.Or(cmp.Compare(a.ID.Service, b.ID.Service), cmp.Compare(a.ID.DataCentre, b.ID.DataCentre), cmp.Compare(a.ID.Shard, b.ID.Shard))
	})
	for _, p := range s.pools {
		s.poolByID[p.ID] = p
		s.poolsOf[p.ID.Service] = append(s.poolsOf[p.ID.Service], p)
		for _, u := range p.Upstreams {
			s.poolOf[u.Name] = p
		}
	}
}

func shardCount(upstreams int) int {
	if upstreams <= MaxShardUpstreams {
		return 1
	}
	n := 2
	for n*shardFill < upstreams {
		n *= 2
	}
	return n
}

// shards spreads the upstreams of one service and data centre. Each takes the shard with the highest hash of its name
// and the shard that is not full yet; the order in which they choose is by hash as well, so it survives edits.
func shards(members []Upstream) [][]Upstream {
	n := shardCount(len(members))
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	out := make([][]Upstream, n)
	for _, u := range ordered {
		best, bestHash := -1, uint64(0)
		for i := range n {
			h := xxhash.Sum64String(u.Name + "\x00" + strconv.Itoa(i))
			if len(out[i]) < MaxShardUpstreams && (best < 0 || h > bestHash) {
				best, bestHash = i, h
			}
		}
		out[best] = append(out[best], u)
	}
	for _, shard := range out {
		slices.SortFunc(shard, func(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) })
	}
	return out
}
