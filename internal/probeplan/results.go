package probeplan

import "time"

// Result is the result of a probe.
type Result struct {
	At       time.Time // of the result, not of its arrival
	Answered bool
}

// Report records a result that a follower has reported. target is nil if the number is unknown or belongs to another follower. counts is
// false if the placement must ignore the result: the number was withdrawn, there is a newer result, or the leader's own probing decides.
func (p *Plan) Report(now time.Time, id FollowerID, number uint32, r Result) (target *Target, counts bool, orders Orders) {
	p.reset()
	u := p.numbers[number]
	if u == nil || u.prober.id != id {
		return nil, false, p.orders
	}
	u.heardAt, u.prober.heardAt = p.observed, p.observed
	// While the leader probes the upstream too, other results of the prober may be due to its network path.
	counts = (!u.own || !u.ownResult) && u.observe(now, r)
	switch {
	case !r.Answered:
		u.answered, u.unansweredAt = false, now
		p.probeOwn(u, Unanswered)
	case u.own && u.withdrawAt == 0 && !u.recentlyUnanswered(now):
		u.own = false
		p.orders.Own = append(p.orders.Own, Own{Upstream: u.target.ID})
	}
	return &u.target, counts, p.orders
}

// OwnResult records a result of the leader's own probing. counts is false if the upstream is delegated in the meantime.
func (p *Plan) OwnResult(now time.Time, id string, r Result) (counts bool) {
	u := p.upstreams[id]
	if u == nil {
		return true // in the leader's data centre
	}
	if !u.own {
		return false
	}
	u.ownResult = true
	if r.Answered {
		u.answered = true
	} else {
		u.answered, u.unansweredAt = false, now
	}
	return u.observe(now, r)
}

// observe reports whether a result is newer than those before. Results arrive out of order where an upstream is probed by two entries.
func (u *upstream) observe(now time.Time, r Result) bool {
	if r.At.Before(u.newest) {
		return false
	}
	u.newest = r.At
	if now.Before(u.newest) {
		u.newest = now
	}
	return true
}

// recentlyUnanswered reports whether a probe was unanswered lately.
func (u *upstream) recentlyUnanswered(now time.Time) bool {
	return !u.unansweredAt.IsZero() && now.Sub(u.unansweredAt) < verifyTime
}
