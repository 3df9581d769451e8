package placement

import "time"

// suspension notices that the process of the pool was suspended, from the time since the last tick. Followers may have elected another leader
// meanwhile, which places requests, too. The zero value has seen no tick.
type suspension struct {
	tickedAt  time.Time
	heldUntil time.Time // until then, requests with a body wait, because it isn't known what others have placed
	holds     bool      // as of the last event
}

// begin starts the decisions on an event.
func (p *Pool) begin(now time.Time) {
	p.decisions = Decisions{Grants: p.decisions.Grants[:0], Refusals: p.decisions.Refusals[:0]}
	s := &p.suspension
	if p.spec.MaxRequestBytes > 0 && p.spec.MaxTickGap > 0 && !s.tickedAt.IsZero() && now.Sub(s.tickedAt) > p.spec.MaxTickGap {
		s.tickedAt, s.heldUntil = now, now.Add(p.spec.HoldAfterGap)
	}
	if holds := now.Before(s.heldUntil); holds != s.holds {
		s.holds = holds
		p.expireCandidates()
	}
}
