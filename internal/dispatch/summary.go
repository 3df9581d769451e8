package dispatch

import "time"

// Summary returns the capacity and load of the pool. It allocates, so call it at a bounded rate, for digests and for
// summaries attached to responses.
func (p *Pool) Summary(now time.Time) Summary {
	s := Summary{
		Closed:      p.spec.Closed,
		Slots:       p.capacity(now, ""),
		InFlight:    p.inFlight,
		Queued:      p.queued,
		ServiceTime: time.Duration(p.serviceEstimate.mean * float64(time.Second)),
	}
	for i := range p.classes {
		k := &p.classes[i]
		s.Waits = append(s.Waits, WaitSummary{
			Class:    k.spec.Name,
			Priority: k.spec.Priority,
			Queued:   k.queued,
			Wait:     p.expectedWait(now, i, ""),
		})
	}
	for _, g := range p.groups {
		s.Versions = append(s.Versions, VersionSummary{
			Version:  g.version,
			Slots:    g.capacity(now.Before(p.confirmedUntil)),
			InFlight: g.totalInFlight,
		})
	}
	return s
}

// Upstreams returns the status of each upstream, ordered by name.
func (p *Pool) Upstreams(now time.Time) []UpstreamStatus {
	out := make([]UpstreamStatus, 0, len(p.upstreams))
	for _, u := range p.upstreams {
		out = append(out, p.status(u))
	}
	return out
}

func (p *Pool) status(u *upstream) UpstreamStatus {
	s := UpstreamStatus{
		Name:          u.spec.Name,
		Address:       u.spec.Address,
		Version:       u.spec.Version,
		Health:        Healthy,
		Slots:         u.spec.Slots,
		Allowance:     u.countedSlots,
		InFlight:      u.inFlight,
		EjectedUntil:  u.ejectedUntil,
		Ejections:     u.ejections,
		Latency:       u.meanLatency(),
		FailureRate:   u.failureRate,
		ReportTrusted: !u.loadReport.loadFigures.distrusted && !u.loadReport.state.distrusted,
		Grants:        u.grants,
	}
	for name, i := range p.routes {
		if u.slowRoutes&(1<<i) != 0 {
			s.SlowRoutes = append(s.SlowRoutes, name)
		}
	}
	switch {
	case u.leaving():
		s.Health, s.Reason = Leaving, "by configuration"
		if !u.spec.Leaving {
			s.Reason = "by its own report"
		}
	case u.ejected():
		s.Health, s.Reason = Ejected, u.ejectReason
	case !u.unreachableUntil.IsZero():
		s.Health, s.Reason, s.EjectedUntil = Ejected, "unreachable: "+u.coldReason, u.unreachableUntil
	case u.cold:
		s.Health, s.Reason = Cold, u.coldReason
	case u.degraded:
		s.Reason = "slower than its peers, used last"
	case u.ramping() && u.ejectReason != "":
		// An upstream that only waits for its first report after a start or takeover is healthy.
		s.Reason = "on trial after " + u.ejectReason
	}
	return s
}
