package dispatch

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
