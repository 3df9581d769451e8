package entry

import (
	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/inventory"
)

// poolSpec builds the specification of a pool for the dispatch policy.
func (e *Entry) poolSpec(conf *configuration, p *inventory.Pool) dispatch.Spec {
	spec := dispatch.Spec{Closed: conf.closed(p)}
	leaving := e.leavingHosts()
	for _, u := range p.Upstreams {
		spec.Upstreams = append(spec.Upstreams, dispatch.UpstreamSpec{
			Name: u.Name, Address: u.Address, Version: u.Version, Slots: u.Slots, Leaving: u.Leaving || leaving[u.Name],
		})
	}
	for _, c := range conf.snap.Classes() {
		spec.Classes = append(spec.Classes, dispatch.ClassSpec{Name: c.Name, Priority: c.Priority, MinShare: c.MinSharePercent / 100})
	}
	for _, c := range conf.snap.Customers() {
		spec.Customers = append(spec.Customers, dispatch.CustomerSpec{Name: c.Name, Weight: c.Weight, PriorityBoost: c.PriorityBoost})
	}
	share := slotShare(conf, p)
	for _, l := range conf.snap.Limits() {
		if l.Service == "" || l.Service == p.ID.Service {
			spec.Limits = append(spec.Limits, dispatch.LimitSpec{
				Customer: l.Customer, Class: l.Class, Rate: l.PerSecond * share, Burst: max(1, float64(l.Burst)*share), Soft: l.Soft,
			})
		}
	}
	return spec
}

// slotShare returns the pool's fraction of all slots of its service in open pools. The owner of each pool enforces this
// fraction of a rate limit, so that the owners don't need to coordinate.
func slotShare(conf *configuration, p *inventory.Pool) float64 {
	own, all := 0, 0
	for _, other := range conf.snap.PoolsOf(p.ID.Service) {
		if conf.closed(other) {
			continue
		}
		for _, u := range other.Upstreams {
			if u.Leaving {
				continue
			}
			all += u.Slots
			if other.ID == p.ID {
				own += u.Slots
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(own) / float64(all)
}

// leavingHosts returns the names of the hosts that are marked as leaving in the platform's host list.
func (e *Entry) leavingHosts() map[string]bool {
	list := e.hosts.Load()
	if list == nil {
		return nil
	}
	out := map[string]bool{}
	for _, h := range *list {
		if h.State == logservice.HostLeaving {
			out[h.Name] = true
		}
	}
	return out
}
