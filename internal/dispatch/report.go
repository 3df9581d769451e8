package dispatch

import "time"

const (
	// distrustAt is the sum of contradictions at which a load report is discounted.
	distrustAt = 16
	// Contradictions weigh by how hard they are to explain by delay alone.
	pointsFrozen     = 4
	pointsFalseIdle  = 2
	pointsFalseBusy  = 2
	pointsFalseCold  = 1
	maxContradiction = 2 * distrustAt
	// frozenAfter is the number of responses with the same sequence number that shows a frozen report.
	frozenAfter = 3
	// foreignFresh is the time for which reported work of other senders lowers the limit.
	foreignFresh = 200 * time.Millisecond
)

// reportState is what the pool knows about an upstream's load reports.
type reportState struct {
	seen         bool
	seq          uint64
	seqAt        time.Time // arrival of the report with seq
	same         int       // responses in a row with the same sequence number
	figures      trust     // in the load figures
	state        trust     // in the sequence number, cold and draining
	foreign      int       // calls of other senders, beyond the upstream's slots
	foreignUntil time.Time
}

// reported is a report with what is known about the call or probe that it came with.
type reported struct {
	*LoadReport
	probe    bool
	sent     time.Time // grant of the call, or the time at which the probe became due
	coldThen bool      // the upstream was known to be cold then
	ratio    float64   // the call's latency relative to the peers' median, or 0 when unknown
}

// observeReport checks a report against what calls show and applies it when it is trusted.
func (p *Pool) observeReport(now time.Time, u *upstream, rep reported) {
	if rep.LoadReport == nil {
		return
	}
	r := &u.report
	r.judge(u, rep.LoadReport, rep.ratio)
	lower := r.seen && rep.Seq < r.seq
	// Only what was sent after the higher number had arrived proves a restart; other responses may be out of order.
	restarted := lower && !rep.sent.Before(r.seqAt)
	outdated := lower && !restarted
	r.seen = true
	if !outdated {
		r.seq, r.seqAt = rep.Seq, now
	}
	if r.state.distrusted || outdated {
		r.foreign = 0
		// After a restart, the responses to calls sent before have low numbers too; they are the first sign.
		if outdated && !r.state.distrusted && rep.Cold && !rep.coldThen && !u.cold {
			p.becomeCold(u, "own report")
		}
		return
	}
	if restarted {
		p.becomeCold(u, "restarted: report sequence went back")
	}
	if rep.Cold && (!u.cold || u.allowance > 1) {
		p.becomeCold(u, "own report")
	}
	if u.draining && !rep.Draining {
		p.becomeCold(u, "drain ended")
	}
	u.draining = rep.Draining
	if r.figures.distrusted {
		r.foreign = 0
		return
	}
	p.observeInherited(u, rep.LoadReport, rep.probe)
	r.foreign = max(0, rep.InFlight+rep.Queued-u.spec.Slots)
	r.foreignUntil = now.Add(foreignFresh)
}

// judge scores the report's contradictions with what calls show. The load figures and the state are judged apart: honest
// figures that lag contradict calls often, which says nothing about a report of cold start.
func (r *reportState) judge(u *upstream, rep *LoadReport, ratio float64) {
	if r.seen && rep.Seq == r.seq {
		r.same++
	} else {
		r.same = 0
	}
	idle := rep.InFlight == 0 && rep.Queued == 0
	busy := rep.InFlight+rep.Queued > u.spec.Slots
	normal := ratio > 0 && ratio < 1.5
	figures, state := 0, 0
	switch {
	case r.same >= frozenAfter:
		figures, state = pointsFrozen, pointsFrozen
	case idle && (u.inFlight >= 2 || ratio > slowRatio):
		figures = pointsFalseIdle
	case busy && normal:
		figures = pointsFalseBusy
	}
	if rep.Cold && normal {
		state = max(state, pointsFalseCold)
	}
	r.figures.score(figures)
	r.state.score(state)
}

// trust counts contradictions.
type trust struct {
	points     int
	distrusted bool
}

// score adds a contradiction; each consistent report takes one point back.
func (t *trust) score(points int) {
	if points == 0 {
		points = -1
	}
	t.points = min(max(t.points+points, 0), maxContradiction)
	switch {
	case t.points >= distrustAt:
		t.distrusted = true
	case t.points == 0:
		t.distrusted = false
	}
}
