package dispatch

import "time"

const (
	// successesPerStep times the allowance is the number of successes at normal latency before the allowance doubles.
	successesPerStep = 4
	// coldSlowRatio is the latency, relative to the peers' median, at which a limited upstream's allowance halves.
	coldSlowRatio = 3
	// refusalsUntilCold is the run of refusals after which a warm upstream counts as cold. A single one may come from
	// another owner's calls while views differ.
	refusalsUntilCold = 2
	// refusalsUntilEjected is the run of refusals after which an upstream gets no work for a backoff time.
	refusalsUntilEjected = 6
	// signWindow is the time within which cold starts of two upstreams count as common.
	signWindow = time.Second
	// suspectFor bounds the suspicion of an upstream that answers nothing, such as one with long calls.
	suspectFor = 200 * time.Millisecond
	// Bounds of the time without calls after a refused connection.
	minUnreachable = 50 * time.Millisecond
	maxUnreachable = time.Second
)

// becomeCold restarts the upstream's ramp at an allowance of 1.
func (p *Pool) becomeCold(u *upstream, reason string) {
	u.suspectUntil = time.Time{}
	u.cold = true
	u.coldReason = reason
	u.allowance = 1
	u.coldProgress = 0
}

// observeColdSign is called when a warm upstream shows that it became cold without warning. A second upstream of the
// same version within signWindow suggests a common cause, such as a restart of all. The other warm ones then run one
// call at a time until their next response.
func (p *Pool) observeColdSign(now time.Time, u *upstream) {
	g := u.group
	common := g.signBy != nil && g.signBy != u && now.Sub(g.signAt) < signWindow
	g.signAt, g.signBy = now, u
	if !common {
		return
	}
	for _, m := range g.members {
		if m != u && !m.cold {
			m.suspectUntil = now.Add(suspectFor)
			p.relink(m)
		}
	}
}

// halve lowers the allowance after evidence that the upstream cannot handle it.
func (u *upstream) halve() {
	u.allowance = max(1, u.allowance/2)
	u.coldProgress = 0
}

// warmUp counts a success at normal latency. Calls granted under a larger, earlier allowance count as well.
func (u *upstream) warmUp() {
	if u.allowance >= u.spec.Slots {
		return
	}
	u.coldProgress++
	if u.coldProgress < u.allowance*successesPerStep {
		return
	}
	u.coldProgress = 0
	u.allowance = min(u.allowance*2, u.spec.Slots)
	if u.allowance == u.spec.Slots {
		u.cold = false
		u.coldReason = ""
	}
}

// limited reports whether the upstream is on its ramp, after cold start or an ejection.
func (u *upstream) limited() bool { return u.allowance < u.spec.Slots || u.cold }

// refusing reports whether most peers are refusing too. Then the refusals come from shared overload, not from the
// upstream's own cold start.
func (g *group) refusing(u *upstream) bool {
	n := 0
	for _, m := range g.members {
		if m != u && m.notRunInRow > 0 {
			n++
		}
	}
	return n*2 > len(g.members)
}

// observeRefusedConnection keeps calls away from an upstream that accepts no connection, for a time that doubles with
// each refusal in a row. This is no judgement relative to peers and not bounded to half of the pool: a pool that has
// lost its data centre must show no usable slots, or it attracts calls that it cannot run.
func (p *Pool) observeRefusedConnection(now time.Time, u *upstream) {
	u.unreachable = now.Add(min(minUnreachable<<min(u.refusedConns, 10), maxUnreachable))
	u.refusedConns++
}

// abandonedHold is the time until an upstream has noticed that a call was cancelled. A soak run on a busy machine showed
// the next call begin on a cold upstream beside the cancelled one.
const abandonedHold = 200 * time.Millisecond

// holdAbandoned counts a cancelled call against a limited upstream while it may still run there, until a report shows
// fewer calls.
func (u *upstream) holdAbandoned(now time.Time, o Outcome) {
	if !u.limited() || o.Kind != Cancelled && o.Kind != TimedOut {
		return
	}
	u.inherited.running++
	if until := now.Add(abandonedHold); until.After(u.inherited.until) {
		u.inherited.until = until
	}
}
