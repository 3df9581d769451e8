package placement

import "time"

// lateLatencyRatio is the ratio of elapsed to predicted time above which a running call counts as late.
const lateLatencyRatio = 1.7

// hedgeLateCalls runs after a probe of an upstream and hedges its calls that will probably miss their objective. The pace may
// have changed between the last report and the start of a call; the first probe after the start shows it. age is that of the probe.
func (p *Pool) hedgeLateCalls(now time.Time, age time.Duration, u *upstream) {
	if p.spec.AllowUnprobed {
		return
	}
	hedging := !p.spec.hedgesOff()
	for _, c := range u.running {
		if !c.paceProbed && (age == 0 || !c.started.After(now.Add(-age))) {
			c.paceProbed = true
			c.pace = max(c.pace, u.expectedPace(now)*c.full)
		}
		if hedging && c.ask.MayHedge && !c.hedged && p.willBeLate(now, c) {
			p.hedgeLateCall(now, c)
		}
	}
}

// willBeLate reports whether a running call will probably miss its objective.
func (p *Pool) willBeLate(now time.Time, c *call) bool {
	if !c.target.reachable {
		return true
	}
	expected := time.Duration(expectedLatency(c, p.serviceTime(c)))
	if c.started.Add(expected).After(c.ask.Objective) {
		return true
	}
	return c.predicted > 0 && float64(now.Sub(c.started)) > lateLatencyRatio*float64(c.predicted)
}

// hedgeLateCall starts a second attempt if one can still meet the objective.
func (p *Pool) hedgeLateCall(now time.Time, c *call) {
	if !p.roomForHedge(now, c) {
		return
	}
	second, u := p.secondAttempt(now, c)
	if u == nil || now.Add(p.predict(now, second, u)).After(c.ask.Objective) {
		return
	}
	p.hedge(now, c, second, u)
}
