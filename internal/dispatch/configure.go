package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Configure replaces the configuration. Upstreams that stay keep their health, and running calls keep their slots.
// Upstreams that are added, come back from leaving, or belong to a pool that reopens count as cold.
func (p *Pool) Configure(now time.Time, spec Spec) Events {
	p.begin()
	p.configure(now, spec, false)
	if p.spec.Closed {
		p.refuseQueued(now, func(*call) Reason { return ReasonClosed })
	}
	p.dispatchQueued(now)
	return p.ev
}

func (p *Pool) configure(now time.Time, spec Spec, first bool) {
	reopened := !first && p.spec.Closed && !spec.Closed
	takenOver := spec.TakenOver.After(p.spec.TakenOver)
	spec.Upstreams = slices.Clone(spec.Upstreams)
	p.spec = spec
	if p.service.n == 0 {
		p.service.mean = defaultServiceTime.Seconds()
		if spec.ServiceTime > 0 {
			p.service.mean = spec.ServiceTime.Seconds()
		}
	}
	p.customers = make(map[string]CustomerSpec, len(spec.Customers))
	for _, s := range spec.Customers {
		p.customers[s.Name] = s
	}
	p.configureClasses(spec.Classes)
	p.limits.configure(now, spec.Limits)
	p.configureUpstreams(now, spec.Upstreams, first, reopened)
	if takenOver {
		p.settle(spec.TakenOver.Add(settleTime))
	}
	p.keepHalf()
}

func (p *Pool) configureUpstreams(now time.Time, specs []UpstreamSpec, first, reopened bool) {
	wanted := make(map[string]bool, len(specs))
	for _, s := range specs {
		wanted[s.Name] = true
		s.Slots = max(s.Slots, 1)
		u := p.byName[s.Name]
		if u == nil {
			u = &upstream{spec: s, allowance: s.Slots, ratio: 1}
			p.byName[s.Name] = u
			p.upstreams = append(p.upstreams, u)
			p.joinGroup(u)
			if s.Cold || !first {
				p.becomeCold(u, "new upstream")
			}
			// One that was removed a moment ago may just have been probed.
			u.lastProbe = now
			p.relink(u)
			continue
		}
		p.reconfigure(u, s, reopened)
	}
	for _, u := range p.upstreams {
		// An upstream that left the Spec stays until its running calls end.
		if !wanted[u.spec.Name] {
			u.spec.Leaving = true
			p.relink(u)
		}
		u.gone = !wanted[u.spec.Name]
	}
	p.dropGone()
	slices.SortFunc(p.upstreams, func(a, b *upstream) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
}

// reconfigure applies a new Spec to a known upstream.
func (p *Pool) reconfigure(u *upstream, s UpstreamSpec, reopened bool) {
	restarted := s.Version != u.spec.Version || s.Address != u.spec.Address
	returned := u.spec.Leaving && !s.Leaving
	full := u.allowance >= u.spec.Slots
	if s.Version != u.spec.Version {
		p.leaveGroup(u)
		u.spec = s
		p.joinGroup(u)
	}
	u.spec = s
	if full || u.allowance > s.Slots {
		u.allowance = s.Slots
	}
	switch {
	case reopened:
		p.becomeCold(u, "data centre returned")
	case restarted:
		p.becomeCold(u, "version or address changed")
	case returned:
		u.draining = false
		p.becomeCold(u, "upstream returned")
	}
	p.relink(u)
}

func (p *Pool) joinGroup(u *upstream) {
	for _, g := range p.groups {
		if g.version == u.spec.Version {
			u.group = g
		}
	}
	if u.group == nil {
		u.group = &group{version: u.spec.Version}
		p.groups = append(p.groups, u.group)
	}
	u.group.members = append(u.group.members, u)
	u.group.running += u.inFlight
	u.group.failSum += u.failRate
}

func (p *Pool) leaveGroup(u *upstream) {
	g := u.group
	if u.list != nil {
		u.list.remove(u)
	}
	g.slots[u.countedAs] -= u.counted
	u.counted = 0
	g.running -= u.inFlight
	g.failSum -= u.failRate
	g.members = slices.DeleteFunc(g.members, func(m *upstream) bool { return m == u })
	u.group = nil
	u.routes = [maxRoutes]routeStat{}
	if len(g.members) == 0 {
		p.groups = slices.DeleteFunc(p.groups, func(x *group) bool { return x == g })
	}
}

// dropGone removes upstreams that left the Spec and run no calls.
func (p *Pool) dropGone() {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *upstream) bool {
		if !u.gone || u.inFlight > 0 {
			return false
		}
		if u.ejected() {
			p.ejected--
		}
		p.leaveGroup(u)
		delete(p.byName, u.spec.Name)
		return true
	})
}

// configureClasses rebuilds the classes. Queued and running calls move to the class of the same name.
func (p *Pool) configureClasses(specs []ClassSpec) {
	specs = slices.Clone(specs)
	slices.SortStableFunc(specs, func(a, b ClassSpec) int { return cmp.Compare(a.Priority, b.Priority) })
	if len(specs) == 0 {
		specs = []ClassSpec{{Name: "default"}}
	}
	specs = specs[:min(len(specs), maxClasses)]
	old, waiting := p.classes, p.takeQueue()
	p.classes = make([]class, len(specs))
	p.classByName = make(map[string]int, len(specs))
	for i, s := range specs {
		k := &p.classes[i]
		for j := range old {
			if old[j].spec.Name == s.Name {
				k.arrival, k.service = old[j].arrival, old[j].service
			}
		}
		k.spec = s
		k.retries.customers = map[string]*customerQueue{}
		p.classByName[s.Name] = i
	}
	for _, c := range p.calls {
		c.class = p.classIndex(c.req)
		c.level = c.class
		if s, ok := p.customers[c.req.Customer]; ok {
			c.level = max(0, c.level-s.PriorityBoost)
		}
	}
	for _, c := range waiting {
		p.enqueue(c)
	}
}

// takeQueue empties the queue and returns its calls in the order of their arrival.
func (p *Pool) takeQueue() []*call {
	var waiting []*call
	for _, c := range p.calls {
		if c.lane != nil {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *call) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.req.ID, b.req.ID))
	})
	for _, c := range waiting {
		p.unqueue(c)
	}
	return waiting
}

// classIndex returns the class of a request: by name, else the first class of the request's priority or a lower one.
func (p *Pool) classIndex(r Request) int {
	if i, ok := p.classByName[r.Class]; ok {
		return i
	}
	for i := range p.classes {
		if p.classes[i].spec.Priority >= r.Priority {
			return i
		}
	}
	return len(p.classes) - 1
}

// routeIndex returns the index of a route's statistics. Index 0 belongs to calls without a route.
func (p *Pool) routeIndex(route string) int {
	if route == "" {
		return 0
	}
	i, ok := p.routes[route]
	if !ok {
		if len(p.routes) >= maxRoutes-1 {
			return maxRoutes - 1
		}
		i = len(p.routes) + 1
		p.routes[route] = i
	}
	return i
}
