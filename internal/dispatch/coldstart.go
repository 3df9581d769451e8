package dispatch

import "time"

const (
	// successesPerRampStep is the number of successes at normal latency, per slot of the allowance, after which the
	// allowance doubles.
	successesPerRampStep = 4
	// rampSlowRatio is the latency, relative to the peers' median, at which the allowance of a ramping upstream is halved.
	rampSlowRatio = 3
	// notRunUntilCold is the number of consecutive not-run responses after which a warm upstream counts as cold. A single
	// one may be caused by calls of another owner while the views of the entries differ.
	notRunUntilCold = 2
	// notRunUntilEjected is the number of consecutive not-run responses after which an upstream is ejected.
	notRunUntilEjected = 6
	// correlatedColdStartWindow is the time within which the cold starts of two upstreams are taken to have a common
	// cause.
	correlatedColdStartWindow = time.Second
	// suspicionTimeout bounds the time for which an upstream stays suspected when no response arrives, for example because
	// its calls are long.
	suspicionTimeout = 200 * time.Millisecond
	// Bounds of the backoff after a refused connection.
	minUnreachable = 50 * time.Millisecond
	maxUnreachable = time.Second
)

// ColdStarts returns how often upstreams became cold.
func (p *Pool) ColdStarts() uint64 { return p.coldStarts }

// becomeCold marks the upstream as cold and restarts its ramp at an allowance of 1.
func (p *Pool) becomeCold(u *upstream, reason string) {
	if !u.cold {
		p.coldStarts++
	}
	u.suspectedUntil = time.Time{}
	u.cold = true
	u.coldReason = reason
	u.allowance = 1
	u.rampSuccesses = 0
}

// observeColdStart is called when a warm upstream turns out to have become cold without announcing it. A second
// upstream of the same version within correlatedColdStartWindow suggests a common cause, such as a restart of all of
// them. The remaining warm ones are then limited to one call at a time until their next response.
func (p *Pool) observeColdStart(now time.Time, u *upstream) {
	g := u.versionGroup
	correlated := g.lastColdStartBy != nil && g.lastColdStartBy != u &&
		now.Sub(g.lastColdStart) < correlatedColdStartWindow
	g.lastColdStart, g.lastColdStartBy = now, u
	if !correlated {
		return
	}
	for _, m := range g.members {
		if m != u && !m.cold {
			m.suspectedUntil = now.Add(suspicionTimeout)
			p.updateFreeList(m)
		}
	}
}

// halveAllowance lowers the allowance after evidence that the upstream cannot handle it.
func (u *upstream) halveAllowance() {
	u.allowance = max(1, u.allowance/2)
	u.rampSuccesses = 0
}

// countRampSuccess counts a success at normal latency towards the next increase of the allowance. Calls granted under
// an earlier, larger allowance count as well.
func (u *upstream) countRampSuccess() {
	if u.allowance >= u.spec.Slots {
		return
	}
	u.rampSuccesses++
	if u.rampSuccesses < u.allowance*successesPerRampStep {
		return
	}
	u.rampSuccesses = 0
	u.allowance = min(u.allowance*2, u.spec.Slots)
	if u.allowance == u.spec.Slots {
		u.cold = false
		u.coldReason = ""
	}
}

// ramping reports whether the allowance is still limited after a cold start or an ejection.
func (u *upstream) ramping() bool { return u.allowance < u.spec.Slots || u.cold }

// mostPeersRefuse reports whether most peers also return not-run responses. The cause is then shared overload, not a
// cold start of this upstream.
func (g *versionGroup) mostPeersRefuse(u *upstream) bool {
	n := 0
	for _, m := range g.members {
		if m != u && m.consecutiveNotRun > 0 {
			n++
		}
	}
	return n*2 > len(g.members)
}

// observeRefusedConnection stops calls to an upstream that refuses connections, with exponential backoff. Unlike an
// ejection, this does not depend on the peers and is not limited to half of the pool: a pool whose data centre has
// failed must report no usable slots, or it attracts calls that it cannot run.
func (p *Pool) observeRefusedConnection(now time.Time, u *upstream) {
	u.unreachableUntil = now.Add(min(minUnreachable<<min(u.consecutiveRefusedConns, 10), maxUnreachable))
	u.consecutiveRefusedConns++
}

// abandonedCallTTL is the time allowed for an upstream to notice that a call was cancelled. Without it, on a busy
// machine, the next call can start on a cold upstream while the cancelled one still runs there.
const abandonedCallTTL = 200 * time.Millisecond

// countAbandoned counts a cancelled or timed-out call against the limit of a ramping upstream for as long as it may
// still run there, or until a report shows fewer calls.
func (u *upstream) countAbandoned(now time.Time, o Outcome) {
	if !u.ramping() || o.Kind != Cancelled && o.Kind != TimedOut {
		return
	}
	u.untracked.count++
	if countUntil := now.Add(abandonedCallTTL); countUntil.After(u.untracked.countUntil) {
		u.untracked.countUntil = countUntil
	}
}
