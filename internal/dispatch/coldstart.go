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
	// settleTime covers most calls that a previous owner left running on a cold upstream.
	settleTime = 5 * time.Second
	// Bounds of the time without calls after a refused connection.
	minUnreachable = 50 * time.Millisecond
	maxUnreachable = time.Second
)

// becomeCold restarts the upstream's ramp at an allowance of 1.
func (p *Pool) becomeCold(u *upstream, reason string) {
	u.cold = true
	u.coldReason = reason
	u.allowance = 1
	u.coldProgress = 0
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

// settle keeps cold upstreams free of calls until the given time, after the pool was taken over.
func (p *Pool) settle(until time.Time) {
	for _, u := range p.upstreams {
		u.settleUntil = until
		p.relink(u)
	}
}

// abandonedHold is the time until an upstream has noticed that a call was cancelled. A soak run on a busy machine showed
// the next call begin on a cold upstream beside the cancelled one.
const abandonedHold = 200 * time.Millisecond

// holdAbandoned keeps a limited upstream free of further calls while it may still run one that was cancelled.
func (u *upstream) holdAbandoned(now time.Time, o Outcome) {
	if !u.limited() || o.Kind != Cancelled && o.Kind != TimedOut {
		return
	}
	if until := now.Add(abandonedHold); until.After(u.settleUntil) {
		u.settleUntil = until
	}
}

// observeSettled ends the wait for calls of a previous owner when a trusted report of an idle upstream shows none.
func (u *upstream) observeSettled(rep *LoadReport) {
	if rep != nil && !u.report.distrusted && rep.InFlight+rep.Queued <= u.inFlight {
		u.settleUntil = time.Time{}
	}
}
