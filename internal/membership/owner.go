package membership

import (
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner returns the owner of a pool: the first by rendezvous hashing among the live members of the pool's data
// centre that are not leaving. If there are none, the members of the nearest other data centres are the candidates, so
// that the pools of a failed data centre are spread over all of them. It returns false when every member is leaving.
func (t *Table) Owner(pool PoolID) (Member, bool) {
	return NewOwners(t.Members(), t.cfg.Distance).Owner(pool)
}

// Owners maps pools to their owners for a fixed set of members. It is immutable and safe for concurrent use.
type Owners struct {
	byCentre map[string][]Member
	distance func(a, b string) time.Duration
}

// NewOwners returns the mapping for those members that are not leaving. A nil distance means that all data centres
// are equally far.
func NewOwners(members []Member, distance func(a, b string) time.Duration) *Owners {
	o := &Owners{byCentre: map[string][]Member{}, distance: distance}
	for _, m := range members {
		if !m.Leaving {
			o.byCentre[m.DataCentre] = append(o.byCentre[m.DataCentre], m)
		}
	}
	return o
}

// Owner returns the owner of a pool, and false when there is no candidate.
func (o *Owners) Owner(pool PoolID) (Member, bool) {
	if own := o.byCentre[pool.DataCentre]; len(own) > 0 {
		return rendezvousOwner(pool, own), true
	}
	near := o.nearest(pool.DataCentre)
	if len(near) == 0 {
		return Member{}, false
	}
	return rendezvousOwner(pool, near), true
}

func (o *Owners) nearest(dataCentre string) []Member {
	var near []Member
	var best time.Duration
	for name, members := range o.byCentre {
		d := time.Duration(0)
		if o.distance != nil {
			d = o.distance(dataCentre, name)
		}
		if near != nil && d > best {
			continue
		}
		if d < best {
			near = nil
		}
		best = d
		near = append(near, members...)
	}
	return near
}

// rendezvousOwner hashes hosts, not incarnations: a host that restarts gets the same pools back, and the pools of other
// hosts don't move.
func rendezvousOwner(pool PoolID, members []Member) Member {
	key := pool.Service + "\x00" + pool.DataCentre + "\x00" + strconv.Itoa(pool.Shard) + "\x00"
	var first Member
	var firstScore uint64
	for i, m := range members {
		score := xxhash.Sum64String(key + m.Host)
		if i == 0 || score > firstScore || score == firstScore && m.Host < first.Host {
			first, firstScore = m, score
		}
	}
	return first
}

// WantedHosts returns the hosts to which the entry keeps links: all others of the local data centre, and in each other
// data centre Config.LinksPerDataCentre, chosen by rendezvous hashing among the hosts not reported unreachable. Hosts
// are known from the roster and from other entries.
func (t *Table) WantedHosts(now time.Time) []Host {
	hosts := t.knownHosts()
	var wanted []Host
	centres := map[string][]Host{}
	for _, h := range hosts {
		switch {
		case h.Name == t.self.Host:
		case h.DataCentre == t.self.DataCentre:
			wanted = append(wanted, h)
		default:
			centres[h.DataCentre] = append(centres[h.DataCentre], h)
		}
	}
	for _, c := range centres {
		wanted = append(wanted, t.chooseRemote(now, c)...)
	}
	sort.Slice(wanted, func(i, j int) bool { return wanted[i].Name < wanted[j].Name })
	return wanted
}

func (t *Table) knownHosts() map[string]Host {
	hosts := map[string]Host{}
	for name, h := range t.roster {
		hosts[name] = h
	}
	for _, m := range t.Members() {
		hosts[m.Host] = Host{Name: m.Host, DataCentre: m.DataCentre, PeerAddress: m.PeerAddress, Leaving: m.Leaving}
	}
	return hosts
}

func (t *Table) chooseRemote(now time.Time, hosts []Host) []Host {
	type scored struct {
		host    Host
		avoided bool
		score   uint64
	}
	list := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, scored{h, now.Before(t.unreachableUntil[h.Name]), xxhash.Sum64String(t.self.Host + "\x00" + h.Name)})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].avoided != list[j].avoided {
			return !list[i].avoided
		}
		return list[i].score > list[j].score
	})
	chosen := make([]Host, 0, t.cfg.LinksPerDataCentre)
	for _, s := range list[:min(len(list), t.cfg.LinksPerDataCentre)] {
		chosen = append(chosen, s.host)
	}
	return chosen
}

// Unreachable reports that links to a host can't be established. For Config.LinkRetry, another host of its data centre
// is chosen when there is one.
func (t *Table) Unreachable(now time.Time, host string) {
	t.unreachableUntil[host] = now.Add(t.cfg.LinkRetry)
}
