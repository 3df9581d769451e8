package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/probeplan"
)

// DelegationOptions configure the delegation of probes to followers in the data centres of the upstreams.
type DelegationOptions struct {
	// Interval returns the time between two probes of an upstream while this entry leads.
	Interval func() time.Duration
}

const (
	// delegationInterval is the interval at which the plan looks for silent probers and for upstreams to delegate.
	delegationInterval = 20 * time.Millisecond
	// proberLogInterval is the minimum time between two lines about the probers.
	proberLogInterval = 500 * time.Millisecond
	// maxSoonProbes is the number of probes that may wait to be asked for. Further ones come at the usual interval.
	maxSoonProbes = 256
)

// delegation carries out the plan that decides which entries probe the upstreams. It is nil without the setting; then the leader probes
// all of them. Its lock is taken after Node.mu and before leadership.mu.
type delegation struct {
	l        *leadership
	interval func() time.Duration
	soon     chan string // upstreams to be probed as soon as possible

	mu        sync.Mutex
	plan      *probeplan.Plan
	followers map[probeplan.FollowerID]proberLink
	lastID    probeplan.FollowerID
	ordered   time.Duration // interval that the probers know
	received  uint64        // reports
	closed    bool

	logged   map[string][]string // names of the probers, by data centre; used by the goroutine of run only
	loggedAt time.Time
}

// proberLink is a follower that may probe on behalf of the leader.
type proberLink struct {
	link *Link
	name string
}

// delegatedResult is the result of a follower's probe.
type delegatedResult struct {
	target *probeplan.Target
	counts bool
	probe  placement.Probe
}

func newDelegation(l *leadership) *delegation {
	o := &l.node.o
	if o.Delegation == nil {
		return nil
	}
	d := &delegation{
		l: l, interval: o.Delegation.Interval, soon: make(chan string, maxSoonProbes), followers: map[probeplan.FollowerID]proberLink{},
		plan: probeplan.New(probeplan.Options{
			DataCentre: o.Self.DataCentre, RatePerCore: maxProbeRatePerCore, StartedAt: l.startedAt,
		}),
		logged: map[string][]string{},
	}
	l.coordinator.probeSoon = d.soon
	return d
}

// run advances the plan until ctx ends.
func (d *delegation) run(ctx context.Context) {
	if d == nil {
		return
	}
	ticker := time.NewTicker(delegationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case upstream := <-d.soon:
			d.probeSoon(upstream)
		case <-ticker.C:
			d.tick(time.Now())
		}
	}
}

func (d *delegation) tick(now time.Time) {
	// Not Node.minority, which is set only after newLeaderPeriod: another leader, with probers of its own, may exist before.
	interval, delegate := d.interval(), !d.l.coordinator.isRestricted()
	d.update(func() probeplan.Orders {
		if interval != d.ordered {
			d.ordered = interval
			d.orderInterval()
		}
		return d.plan.Tick(now, interval, delegate)
	})
	if now.Sub(d.loggedAt) >= proberLogInterval {
		d.loggedAt = now
		d.log()
	}
}

// update calls change and carries out the orders that it returns, unless the leadership has ended.
func (d *delegation) update(change func() probeplan.Orders) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed {
		d.carryOut(change())
	}
}

// close ends the delegation. The followers stop when their links close.
func (d *delegation) close() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// configure passes the upstreams to the plan. The leader has started to probe the new ones.
func (d *delegation) configure(targets []probeplan.Target) {
	if d == nil {
		return
	}
	d.update(func() probeplan.Orders { return d.plan.Configure(targets) })
}

// setFollower adds a follower, or changes it after another Hello.
func (d *delegation) setFollower(now time.Time, f *follower, h *Hello) {
	if d == nil {
		return
	}
	d.update(func() probeplan.Orders {
		if f.proberID == 0 {
			d.lastID++
			f.proberID = d.lastID
			d.followers[f.proberID] = proberLink{link: f.link, name: h.Entry.Name}
		}
		return d.plan.SetFollower(now, f.proberID, probeplan.Follower{
			DataCentre: h.Entry.DataCentre, CPUShare: h.Entry.CPUShare, Suitable: h.Probes && !h.Leaving,
		})
	})
}

// removeFollower takes back the upstreams of a follower whose link has closed.
func (d *delegation) removeFollower(now time.Time, f *follower) {
	if d == nil {
		return
	}
	d.update(func() probeplan.Orders {
		delete(d.followers, f.proberID)
		return d.plan.RemoveFollower(now, f.proberID)
	})
}

// carryOut carries out orders of the plan. The caller holds d.mu.
func (d *delegation) carryOut(o probeplan.Orders) {
	if len(o.Own) > 0 {
		d.l.setOwnProbes(o.Own)
	}
	if len(o.Start)+len(o.Stop) == 0 {
		return
	}
	byFollower := map[probeplan.FollowerID]*ProbeOrders{}
	of := func(id probeplan.FollowerID) *ProbeOrders {
		if byFollower[id] == nil {
			byFollower[id] = &ProbeOrders{Interval: d.ordered}
		}
		return byFollower[id]
	}
	for _, s := range o.Start {
		to, t := of(s.Follower), &s.Target
		to.Start = append(to.Start, ProbeStart{Number: s.Number, ID: t.ID, Born: t.Born, Address: t.Address, HealthPath: t.HealthPath})
	}
	for _, s := range o.Stop {
		to := of(s.Follower)
		to.Stop = append(to.Stop, s.Number)
	}
	for id, orders := range byFollower {
		d.send(id, orders)
	}
}

// send queues orders for a follower, after those that were queued before. The caller holds d.mu.
func (d *delegation) send(id probeplan.FollowerID, o *ProbeOrders) {
	to, known := d.followers[id]
	if !known {
		return
	}
	to.link.Queue(func(frame *Frame) {
		if frame.ProbeOrders == nil {
			frame.ProbeOrders = &ProbeOrders{}
		}
		frame.ProbeOrders.add(o)
	})
}

func (o *ProbeOrders) add(more *ProbeOrders) {
	o.Start = append(o.Start, more.Start...)
	o.Stop = append(o.Stop, more.Stop...)
	o.Soon = append(o.Soon, more.Soon...)
	if more.Interval > 0 {
		o.Interval = more.Interval
	}
}

// orderInterval tells all probers the interval. The caller holds d.mu.
func (d *delegation) orderInterval() {
	for _, s := range d.plan.Status() {
		for _, id := range s.Probers {
			d.send(id, &ProbeOrders{Interval: d.ordered})
		}
	}
}

// probeSoon asks the prober of an upstream for a probe as soon as possible. The leader's own probing is asked by Coordinator.wakeProbe.
func (d *delegation) probeSoon(upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id, number, delegated := d.plan.Prober(upstream); delegated && !d.closed {
		d.send(id, &ProbeOrders{Soon: []uint32{number}})
	}
}

// ownResult reports whether a result of the leader's own probing counts.
func (d *delegation) ownResult(now time.Time, p placement.Probe) bool {
	if d == nil {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.OwnResult(now, p.Upstream, probeplan.Result{At: now, Answered: p.Answered})
}

// handleReports records the results that a follower reports.
func (d *delegation) handleReports(now time.Time, f *follower, reports []ProbeReport) {
	if d == nil || len(reports) == 0 {
		return
	}
	results := f.probeResults[:0]
	d.update(func() (none probeplan.Orders) {
		for i := range reports {
			r := &reports[i]
			if r.Stopped {
				d.plan.Stopped(f.proberID, r.Number)
				continue
			}
			d.received++
			age := time.Duration(r.AgeMs) * time.Millisecond
			target, counts, orders := d.plan.Report(now, f.proberID, r.Number, probeplan.Result{At: now.Add(-age), Answered: r.Answered})
			d.carryOut(orders) // for each report, because orders are valid until the next call of the plan only
			if counts || target != nil && r.Leaving {
				results = append(results, delegatedResult{target: target, counts: counts, probe: r.probe(target.ID, age)})
			}
		}
		return none
	})
	for i := range results {
		r := &results[i]
		if r.probe.Leaving {
			d.l.node.markLeaving(LeavingUpstream{Upstream: r.target.ID, Born: r.target.Born})
		}
		if r.counts {
			d.l.coordinator.Probe(now, r.target.Service, r.probe)
		}
	}
	f.probeResults = results
}

// probe converts a report.
func (r *ProbeReport) probe(upstream string, age time.Duration) placement.Probe {
	return placement.Probe{
		Upstream: upstream, Answered: r.Answered, Healthy: r.Healthy, WrongInstance: r.WrongInstance, ColdLeft: r.ColdLeft, Load: r.Load, Limit: r.Limit,
		Leaving: r.Leaving, Took: time.Duration(r.TookMicros) * time.Microsecond, ConnAge: time.Duration(r.ConnAgeMs) * time.Millisecond,
		ConnReset: r.ConnReset, Age: age,
	}
}

// log writes a line for each data centre whose probers have changed.
func (d *delegation) log() {
	d.mu.Lock()
	status, names := d.plan.Status(), map[string][]string{}
	for dataCentre, s := range status {
		for _, id := range s.Probers {
			names[dataCentre] = append(names[dataCentre], d.followers[id].name)
		}
	}
	d.mu.Unlock()
	for dataCentre := range d.logged {
		if _, present := names[dataCentre]; !present {
			names[dataCentre] = nil
		}
	}
	for dataCentre, now := range names {
		if !slices.Equal(now, d.logged[dataCentre]) {
			d.l.log.Info().Str("event", "probers").Str("data_centre", dataCentre).Strs("probers", now).
				Int("upstreams", status[dataCentre].Upstreams).Msg("entries that probe for the leader")
		}
	}
	d.logged = names
}
