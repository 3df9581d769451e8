package placement

import (
	"slices"
	"time"
)

// hedgeBit is set in the ID of a hedge: a second attempt that runs concurrently with the first one of the same Ask.
const hedgeBit = uint64(1) << 63

// IsHedge reports whether the ID belongs to a hedge.
func IsHedge(ask uint64) bool { return ask&hedgeBit != 0 }

// HedgeOf returns the ID of the hedge of an Ask.
func HedgeOf(ask uint64) uint64 { return ask | hedgeBit }

// FirstOf returns the ID of the first attempt, for the ID of either attempt.
func FirstOf(ask uint64) uint64 { return ask &^ hedgeBit }

// roomForHedge reports whether a call may be hedged now. Calls on a version under evaluation are not hedged, because their results
// decide whether it is rolled back. With a limit set by the operator, free slots of slow upstreams are no room, calls that wait for a
// slot go first, and requests that have crashed an upstream are not hedged.
func (p *Pool) roomForHedge(now time.Time, c *call) bool {
	if p.move.underEvaluation(c.target.spec.Version) {
		return false
	}
	count := p.countSlots(now)
	if p.spec.HedgeLimit == nil {
		return count.usable.spare()
	}
	return len(p.waiting) == 0 && count.usable.spare() && count.fast.spare() && !p.crashedUpstream(c)
}

// secondAttempt returns the hedge of a running call and the upstream that would run it, or nil if there is none.
func (p *Pool) secondAttempt(now time.Time, c *call) (*call, *upstream) {
	second := &call{ask: c.ask, queuedAt: now}
	second.ask.ID = HedgeOf(c.ask.ID)
	second.ask.Attempt, second.ask.MayHedge = c.ask.Attempt+1, false
	second.ask.Exclude = append(slices.Clone(c.ask.Exclude), c.target.spec.ID)
	u := p.best(now, second, "")
	if u == nil || u.cold(now) {
		return nil, nil
	}
	return second, u
}

// hedge starts the second attempt of a call if the limit and the retry budget allow it, and reports whether it did.
func (p *Pool) hedge(now time.Time, c, second *call, u *upstream) bool {
	p.budget.advance(now, p.spec.RetryWindow)
	if limit := p.spec.HedgeLimit; limit != nil && !p.budget.allowsHedge(now, *limit) {
		if !c.overLimit {
			c.overLimit = true
			p.hedging.stats.RefusedByLimit++
		}
		return false
	}
	if !p.budget.allow(&p.spec, callerRetriesShare) {
		return false
	}
	c.hedged = true
	p.budget.countHedge(now)
	p.hedging.stats.Granted++
	p.grant(now, second, u)
	return true
}

// underEvaluation reports whether the results of the version currently decide about a move.
func (m *moveState) underEvaluation(version string) bool {
	return version == m.version && (m.phase == Trial || m.phase == Final)
}
