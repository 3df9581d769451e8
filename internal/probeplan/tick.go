package probeplan

import (
	"cmp"
	"slices"
	"time"
)

// Tick takes back upstreams that are without reports, and delegates others. Call it about every 20 ms. interval is the time between two
// probes of an upstream; delegate is false while the leader is followed by a minority.
func (p *Plan) Tick(now time.Time, interval time.Duration, delegate bool) Orders {
	p.reset()
	p.observed += max(0, min(now.Sub(p.tickedAt), maxStep))
	p.tickedAt = now
	p.expireStopping(now)
	if !delegate {
		for _, f := range p.followers {
			p.takeBackFrom(now, f, Minority)
		}
		return p.orders
	}
	p.takeBackSilent(now, interval)
	p.takeBackSurplus(now, interval)
	if now.Sub(p.o.StartedAt) >= settleTime {
		p.delegate(now, interval)
	}
	return p.orders
}

// expireStopping ends the wait for followers whose links have closed.
func (p *Plan) expireStopping(now time.Time) {
	for number, s := range p.stopping {
		if !s.expires.IsZero() && !now.Before(s.expires) {
			p.confirm(number, s)
		}
	}
}

// takeBackSilent makes the leader probe the upstreams that have been without a report for too long. Their probers are told to stop
// when the report of an unanswered probe can't be under way any more. The last probe may have been sent an interval after the last
// report, with a jitter of a tenth.
func (p *Plan) takeBackSilent(now time.Time, interval time.Duration) {
	limit := max(minSilence, silentIntervals*interval)
	stopAfter := max(limit, interval*11/10+unansweredReportDelay)
	for _, u := range p.sorted {
		if u.prober == nil {
			continue
		}
		if u.withdrawAt == 0 && p.observed-u.heardAt > limit {
			u.withdrawAt = u.heardAt + stopAfter
			p.probeOwn(u, Silent)
			if p.observed-u.prober.heardAt > limit {
				u.prober.avoidUntil = now.Add(avoidTime)
			}
			u.earliest = now.Add(settleTime)
		}
		if u.withdrawAt > 0 && p.observed > u.withdrawAt {
			p.withdraw(u)
		}
	}
}

// capacity returns the number of upstreams that a follower may probe.
func (p *Plan) capacity(f *follower, interval time.Duration) int {
	return int(max(1, p.o.RatePerCore*f.CPUShare) * interval.Seconds())
}

// takeBackSurplus takes back upstreams of followers whose probe rate is too high because the interval has become shorter. Rates up to a tenth
// above the limit are left as they are, so that small changes of the interval don't move probes.
func (p *Plan) takeBackSurplus(now time.Time, interval time.Duration) {
	for _, f := range p.followers {
		limit := p.capacity(f, interval)
		if f.assigned <= limit+limit/10 {
			continue
		}
		for _, u := range p.sorted {
			if u.prober == f && f.assigned > limit {
				p.takeBack(now, u, Overload)
			}
		}
	}
}

// delegate chooses probers for the upstreams without one.
func (p *Plan) delegate(now time.Time, interval time.Duration) {
	candidates := map[string][]*follower{} // by data centre
	for _, u := range p.sorted {
		if len(p.orders.Start) >= maxStarts {
			return
		}
		if !p.delegable(now, u) {
			continue
		}
		home := u.target.DataCentre
		list, known := candidates[home]
		if !known {
			list = p.candidates(now, home)
		}
		for len(list) > 0 && list[0].assigned >= p.capacity(list[0], interval) {
			list = list[1:]
		}
		candidates[home] = list
		if len(list) > 0 {
			p.start(u, list[0])
		}
	}
}

// delegable reports whether an upstream may be delegated.
func (p *Plan) delegable(now time.Time, u *upstream) bool {
	return u.prober == nil && u.answered && !u.recentlyUnanswered(now) && !now.Before(u.earliest) && p.unconfirmed[u.target.Address] == 0
}

// candidates returns the followers in a data centre that may get upstreams: those that probe already, then those with the largest
// CPU share.
func (p *Plan) candidates(now time.Time, dataCentre string) []*follower {
	var out []*follower
	for _, f := range p.followers {
		if f.DataCentre == dataCentre && f.Suitable && now.Sub(f.joined) >= settleTime && !now.Before(f.avoidUntil) {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b *follower) int {
		return cmp.Or(cmp.Compare(min(1, b.assigned), min(1, a.assigned)), cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(a.id, b.id))
	})
	return out
}

// start delegates an upstream. The leader probes it too until the first answered probe is reported.
func (p *Plan) start(u *upstream, f *follower) {
	p.lastNumber++
	u.prober, u.number, u.heardAt, u.withdrawAt = f, p.lastNumber, p.observed, 0
	f.assigned++
	p.numbers[u.number] = u
	p.orders.Start = append(p.orders.Start, Start{Follower: f.id, Number: u.number, Target: u.target})
}
