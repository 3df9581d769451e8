package placement

import (
	"slices"
	"time"
)

// hedgeBit marks the number of a second attempt that runs beside the first one of the same ask.
const hedgeBit = uint64(1) << 63

// lateRatio is the time that a call has taken, relative to the prediction, from which on it counts as late.
const lateRatio = 1.7

// IsHedge reports whether an ask's number is that of a second attempt beside the first.
func IsHedge(ask uint64) bool { return ask&hedgeBit != 0 }

// HedgeOf returns the number of the second attempt of an ask.
func HedgeOf(ask uint64) uint64 { return ask | hedgeBit }

// FirstOf returns the number of the first attempt.
func FirstOf(ask uint64) uint64 { return ask &^ hedgeBit }

// hedgeRunning starts second attempts for the calls of an upstream that will probably be late, after a probe of it. The pace of
// an upstream may have changed between the last report and the start of a call, and the first probe after the start tells so.
func (p *Pool) hedgeRunning(now time.Time, u *upstream) {
	if p.spec.AllowUnprobed {
		return
	}
	for _, c := range u.running {
		if !c.seen {
			c.seen = true
			c.pace = max(c.pace, u.expectedPace(now))
		}
		if c.ask.MayHedge && !c.hedged && p.willBeLate(now, c) {
			p.hedge(now, c)
		}
	}
}

// willBeLate reports whether a running call will probably miss its objective.
func (p *Pool) willBeLate(now time.Time, c *call) bool {
	if !c.up.reachable {
		return true
	}
	expected := time.Duration(expectedLatency(c, p.serviceTime(c)))
	if c.started.Add(expected).After(c.ask.Objective) {
		return true
	}
	return c.predicted > 0 && float64(now.Sub(c.started)) > lateRatio*float64(c.predicted)
}

// hedge starts a second attempt where one can still meet the objective, within the budget and the slots that are to spare. The
// answers of a version on trial decide about it, so its calls are left alone.
func (p *Pool) hedge(now time.Time, c *call) {
	if p.move.judges(c.up.spec.Version) || !p.countSlots(now).spare() {
		return
	}
	second := &call{ask: c.ask, queuedAt: now}
	second.ask.ID = HedgeOf(c.ask.ID)
	second.ask.Attempt, second.ask.MayHedge = c.ask.Attempt+1, false
	second.ask.Exclude = append(slices.Clone(c.ask.Exclude), c.up.spec.ID)
	u := p.best(now, second, "")
	if u == nil || u.cold(now) || now.Add(p.predict(now, second, u)).After(c.ask.Objective) {
		return
	}
	p.budget.advance(now, p.spec.RetryWindow)
	if !p.budget.allow(&p.spec, true) {
		return
	}
	c.hedged = true
	p.grant(now, second, u)
}

// judges reports whether the answers of a version decide about a move at present.
func (m *moveState) judges(version string) bool {
	return version == m.version && (m.phase == Trial || m.phase == Final)
}
