package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/internal/wire"
	"boragehinge.example/boragehinge/inventory"
)

// State is the state shown on the operators' port.
type State = operators.State

var _ operators.Source = (*Entry)(nil)

// Snapshot returns the configuration in force, or nil before the first one.
func (e *Entry) Snapshot() *inventory.Snapshot {
	if conf := e.conf.Load(); conf != nil {
		return conf.snap
	}
	return nil
}

// State returns the current state of the entry.
func (e *Entry) State() State {
	now := time.Now()
	view := e.node.View()
	s := State{Now: now, Moves: e.moves.statuses(), Log: e.logState()}
	s.Self = operators.Self{
		Host: view.Self.Host, DataCentre: view.Self.DataCentre, Incarnation: view.Self.Incarnation, Started: e.started,
		Stopping: e.state.Load() != running, RunningCalls: e.runningCalls(), ViewConfirmed: now.Before(view.ConfirmedUntil),
	}
	if by := e.stopDeadline.Load(); by != 0 {
		s.Self.StopBy = time.Unix(0, by)
	}
	for _, m := range view.Members {
		s.Members = append(s.Members, operators.Member{
			Host: m.Host, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Operators: m.OperatorsAddress,
			Version: int64(m.Version), Leaving: m.Leaving,
		})
	}
	s.Upstreams = e.upstreamStates(now)
	if conf := e.conf.Load(); conf != nil {
		v := conf.view.Version
		s.Configuration = operators.Configuration{
			Version: v.Offset, ChangeID: v.ChangeID, Operator: v.Operator, Since: v.Time, LowestVersion: int64(view.LowestVersion),
		}
		s.DataCentres = e.dataCentres(now, conf, view.Members, s.Upstreams)
	}
	return s
}

func (e *Entry) logState() operators.Log {
	last, err := e.follower.LogStatus()
	l := operators.Log{Used: e.platform.client != nil, Reachable: err == nil && !last.IsZero(), LastRead: last}
	if err != nil {
		l.Problem = err.Error()
	}
	return l
}

func (e *Entry) upstreamStates(now time.Time) []operators.Upstream {
	var list []operators.Upstream
	for _, o := range e.ownership.all() {
		if o.lostAt.Load() != 0 {
			continue
		}
		o.mu.Lock()
		status := o.pool.Upstreams(now)
		o.mu.Unlock()
		for _, u := range status {
			list = append(list, operators.Upstream{UpstreamStatus: u, Service: o.id.Service, DataCentre: o.id.DataCentre, Pool: o.key})
		}
	}
	slices.SortFunc(list, func(a, b operators.Upstream) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// dataCentres returns a summary of each data centre. Running and queued calls cover only the pools open at this entry.
func (e *Entry) dataCentres(
	now time.Time, conf *configuration, members []membership.Member, upstreams []operators.Upstream,
) []operators.DataCentre {
	var list []operators.DataCentre
	for _, dc := range conf.snap.DataCentres() {
		d := operators.DataCentre{Name: dc.Name, Leaving: dc.Leaving, Reason: dc.Reason}
		if dc.Leaving {
			d.Since = conf.view.Version.Time
		}
		if l, urgent := conf.leaving[dc.Name]; urgent {
			d.Leaving, d.Urgent, d.Reason, d.Operator, d.Since = true, true, l.Reason, l.Operator, l.At
		}
		for _, m := range members {
			if m.DataCentre == dc.Name {
				d.Entries++
			}
		}
		for _, u := range upstreams {
			if u.DataCentre != dc.Name {
				continue
			}
			d.RunningCalls += u.InFlight
			if u.Health == dispatch.Cold {
				d.Cold++
			}
			d.Returning = d.Returning || u.Health == dispatch.Cold && u.Reason == "data centre returned"
		}
		for _, p := range conf.snap.Pools() {
			if p.ID.DataCentre == dc.Name {
				d.Upstreams += len(p.Upstreams)
				d.Pools++
			}
		}
		for _, o := range e.ownership.all() {
			if o.id.DataCentre == dc.Name {
				if o.lostAt.Load() == 0 {
					d.KnownPools++
				}
				d.QueuedCalls += o.poolLoad(now).summary.Queued
			}
		}
		list = append(list, d)
	}
	return list
}

// Candidates returns the pools of a service for calls of a version, in the order in which this entry tries them, followed by
// the excluded pools with the reason.
func (e *Entry) Candidates(service, version string) []operators.Candidate {
	conf, choosers := e.conf.Load(), e.choosers.Load()
	if conf == nil || choosers == nil {
		return nil
	}
	now := time.Now()
	chooser := (*choosers)[chooserKey{service, version}]
	var list []operators.Candidate
	for _, p := range conf.snap.PoolsOf(service) {
		list = append(list, e.candidate(now, conf, p, version, chooser))
	}
	slices.SortStableFunc(list, func(a, b operators.Candidate) int {
		return cmp.Or(cmp.Compare(a.Excluded, b.Excluded), cmp.Compare(b.WeightPercent, a.WeightPercent), cmp.Compare(a.Delay, b.Delay))
	})
	return list
}

func (e *Entry) candidate(
	now time.Time, conf *configuration, p *inventory.Pool, version string, chooser *serviceChooser,
) operators.Candidate {
	c := operators.Candidate{
		Pool: p.ID.String(), DataCentre: p.ID.DataCentre, Delay: conf.snap.Delay(e.settings.DataCentre, p.ID.DataCentre),
	}
	owner, owned := e.node.View().Owners.Owner(membership.PoolID(p.ID))
	c.Owner, c.OwnerHere = owner.Host, owned && owner.Incarnation == e.Incarnation()
	if chooser != nil {
		chooser.mu.Lock()
		c.WeightPercent = 100 * chooser.chooser.Weight(p.ID)
		chooser.mu.Unlock()
	}
	if o := e.ownership.find(c.Pool); o != nil {
		f := o.poolLoad(now).summary
		c.Waits, c.Slots, c.InFlight = f.Waits, f.Slots, f.InFlight
		for _, v := range f.Versions {
			if v.Version == version {
				c.Slots, c.InFlight = v.Slots, v.InFlight
			}
		}
	} else {
		e.waits.addTo(now, p.ID, &c)
	}
	switch {
	case conf.closed(p):
		c.Excluded = "its data centre is leaving"
	case !conf.usable(p, version):
		c.Excluded = fmt.Sprintf("it has no upstream of version %q in service", version)
	case !owned:
		c.Excluded = "no entry owns it"
	}
	return c
}

// Leave takes a data centre out of service immediately, without waiting for the log.
func (e *Entry) Leave(ctx context.Context, l operators.Leaving) (operators.LeaveResult, error) {
	conf := e.conf.Load()
	if conf == nil {
		return operators.LeaveResult{}, operators.ErrUnknownDataCentre
	}
	if _, ok := conf.snap.DataCentre(l.DataCentre); !ok {
		return operators.LeaveResult{}, operators.ErrUnknownDataCentre
	}
	base := conf.view.Version.Offset
	r := operators.LeaveResult{DataCentre: l.DataCentre, Base: base, Told: len(e.node.Mesh().Peers())}
	verdict := e.node.AddFact(wire.Envelope{Type: wire.EnvelopeTypeLeavingFact, LeavingFact: &wire.LeavingFact{
		DataCentre: l.DataCentre, Base: int(base), Reason: l.Reason, AtMs: int(time.Now().UnixMilli()),
	}})
	switch verdict {
	case facts.Known:
		r.Known = true
	case facts.Full:
		return r, fmt.Errorf("no new fact can be added: the store of leaving facts is full")
	}
	record := configlog.Record{Kind: configlog.KindLeaving, Leaving: &configlog.Leaving{
		DataCentre: l.DataCentre, Base: base, Operator: l.Operator, Reason: l.Reason,
	}}
	r.Logged = e.appendRecord(ctx, record) == nil
	return r, nil
}

// appendPendingLeavings appends the urgent leavings that the log doesn't contain yet. Only the live host with the smallest
// name does this, so that not all entries write to the log.
func (e *Entry) appendPendingLeavings(ctx context.Context) {
	conf := e.conf.Load()
	if conf == nil {
		return
	}
	first := true
	for _, m := range e.node.View().Members {
		first = first && m.Host >= e.settings.Host
	}
	if _, err := e.follower.LogStatus(); err != nil || !first {
		return
	}
	for dc, l := range conf.leaving {
		if _, logged := conf.view.Leaving[dc]; logged {
			continue
		}
		err := e.appendRecord(ctx, configlog.Record{Kind: configlog.KindLeaving, Leaving: &configlog.Leaving{
			DataCentre: dc, Base: l.Base, Operator: l.Operator, Reason: l.Reason,
		}})
		if err != nil {
			e.log.Warn().Err(err).Str("dataCentre", dc).Msg("failed to append leaving to the log")
		}
	}
}
