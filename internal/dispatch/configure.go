package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Configure replaces the configuration. Upstreams that remain keep their health state, and running calls keep their
// slots. Upstreams that are added, return from leaving, or belong to a pool that reopens count as cold. The options,
// which are given when the pool returns from another owner, are applied last.
func (p *Pool) Configure(now time.Time, spec Spec, options ...Option) Events {
	p.resetEvents()
	p.configure(now, spec, false)
	for _, option := range options {
		option(p)
	}
	if p.spec.Closed {
		p.refuseQueued(now, func(*call) Reason { return ReasonClosed })
	}
	p.dispatchQueued(now)
	return p.events
}

func (p *Pool) configure(now time.Time, spec Spec, first bool) {
	reopened := !first && p.spec.Closed && !spec.Closed
	spec.Upstreams = slices.Clone(spec.Upstreams)
	p.spec = spec
	if p.serviceEstimate.n == 0 {
		p.serviceEstimate.mean = defaultServiceTime.Seconds()
		if spec.ServiceTime > 0 {
			p.serviceEstimate.mean = spec.ServiceTime.Seconds()
		}
	}
	p.customers = make(map[string]CustomerSpec, len(spec.Customers))
	for _, s := range spec.Customers {
		p.customers[s.Name] = s
	}
	p.configureClasses(spec.Classes)
	p.limits.configure(now, spec.Limits)
	p.configureUpstreams(now, spec.Upstreams, first, reopened)
	p.limitEjections()
}

func (p *Pool) configureUpstreams(now time.Time, specs []UpstreamSpec, first, reopened bool) {
	wanted := make(map[string]bool, len(specs))
	for _, s := range specs {
		wanted[s.Name] = true
		s.Slots = max(s.Slots, 1)
		u := p.upstreamByName[s.Name]
		if u == nil {
			u = &upstream{spec: s, allowance: s.Slots, latencyRatio: 1}
			p.upstreamByName[s.Name] = u
			p.upstreams = append(p.upstreams, u)
			p.joinVersionGroup(u)
			if s.Cold || !first {
				p.becomeCold(u, "new upstream")
			}
			// An upstream that was removed recently may have been probed just before, so it is not probed at once.
			u.lastProbe = now
			p.updateFreeList(u)
			continue
		}
		p.reconfigure(u, s, reopened)
	}
	for _, u := range p.upstreams {
		// An upstream that is no longer in the Spec is kept until its running calls have finished.
		if !wanted[u.spec.Name] {
			u.spec.Leaving = true
			p.updateFreeList(u)
		}
		u.removed = !wanted[u.spec.Name]
	}
	p.deleteRemoved()
	slices.SortFunc(p.upstreams, func(a, b *upstream) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
}

// reconfigure applies a new UpstreamSpec to a known upstream.
func (p *Pool) reconfigure(u *upstream, s UpstreamSpec, reopened bool) {
	restarted := s.Version != u.spec.Version || s.Address != u.spec.Address
	returned := u.spec.Leaving && !s.Leaving
	full := u.allowance >= u.spec.Slots
	if s.Version != u.spec.Version {
		p.leaveVersionGroup(u)
		u.spec = s
		p.joinVersionGroup(u)
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
	p.updateFreeList(u)
}

func (p *Pool) joinVersionGroup(u *upstream) {
	for _, g := range p.groups {
		if g.version == u.spec.Version {
			u.versionGroup = g
		}
	}
	if u.versionGroup == nil {
		u.versionGroup = &versionGroup{version: u.spec.Version}
		p.groups = append(p.groups, u.versionGroup)
	}
	u.versionGroup.members = append(u.versionGroup.members, u)
	u.versionGroup.totalInFlight += u.inFlight
	u.versionGroup.failureRateSum += u.failureRate
}

func (p *Pool) leaveVersionGroup(u *upstream) {
	g := u.versionGroup
	if u.currentList != nil {
		u.currentList.remove(u)
	}
	g.slotsByTier[u.countedTier] -= u.countedSlots
	u.countedSlots = 0
	g.totalInFlight -= u.inFlight
	g.failureRateSum -= u.failureRate
	g.members = slices.DeleteFunc(g.members, func(m *upstream) bool { return m == u })
	u.versionGroup = nil
	u.routeStats = [maxRoutes]routeStat{}
	u.failureBaseline = baseline{}
	if len(g.members) == 0 {
		p.groups = slices.DeleteFunc(p.groups, func(x *versionGroup) bool { return x == g })
	}
}

// deleteRemoved deletes the upstreams that are no longer in the Spec and run no calls.
func (p *Pool) deleteRemoved() {
	p.upstreams = slices.DeleteFunc(p.upstreams, func(u *upstream) bool {
		if !u.removed || u.inFlight > 0 {
			return false
		}
		if u.ejected() {
			p.ejected--
		}
		p.leaveVersionGroup(u)
		delete(p.upstreamByName, u.spec.Name)
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
	old, waiting := p.classes, p.drainQueue()
	p.classes = make([]class, len(specs))
	p.classByName = make(map[string]int, len(specs))
	for i, s := range specs {
		k := &p.classes[i]
		for j := range old {
			if old[j].spec.Name == s.Name {
				k.arrivalRate, k.serviceEstimate = old[j].arrivalRate, old[j].serviceEstimate
			}
		}
		k.spec = s
		k.retries.customers = map[string]*customerQueue{}
		p.classByName[s.Name] = i
	}
	for _, c := range p.calls {
		c.class = p.classIndex(c.req)
		c.queueClass = c.class
		if s, ok := p.customers[c.req.Customer]; ok {
			c.queueClass = max(0, c.queueClass-s.PriorityBoost)
		}
	}
	for _, c := range waiting {
		p.enqueue(c)
	}
}

// drainQueue empties the queue and returns its calls in the order of their arrival.
func (p *Pool) drainQueue() []*call {
	var waiting []*call
	for _, c := range p.calls {
		if c.fairQueue != nil {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, func(a, b *call) int {
		return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), cmp.Compare(a.req.ID, b.req.ID))
	})
	for _, c := range waiting {
		p.unqueue(c)
	}
	return waiting
}

// classIndex returns the class of a request: the class of that name, else the first one with the same or a lower
// priority than the request.
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
