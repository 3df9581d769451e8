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
	// restartMargin separates a restart from responses that arrive out of order.
	restartMargin = 64
	// foreignFresh is the time for which reported work of other senders lowers the limit.
	foreignFresh = 200 * time.Millisecond
)

// reportState is what the pool knows about an upstream's load reports.
type reportState struct {
	seen         bool
	seq          uint64
	same         int // responses in a row with the same sequence number
	points       int
	distrusted   bool
	foreign      int // calls of other senders, beyond the upstream's slots
	foreignUntil time.Time
}

// observeReport checks a report against what calls show and applies it when it is trusted. ratio is the call's latency
// relative to the peers' median, or 0 when unknown.
func (p *Pool) observeReport(now time.Time, u *upstream, rep *LoadReport, ratio float64, probe bool) {
	if rep == nil {
		return
	}
	r := &u.report
	r.score(contradiction(u, rep, ratio))
	restarted := r.seen && rep.Seq+restartMargin < r.seq
	outdated := r.seen && rep.Seq < r.seq && !restarted
	r.seen = true
	if !outdated {
		r.seq = rep.Seq
	}
	if r.distrusted || outdated {
		r.foreign = 0
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
	p.observeInherited(u, rep, probe)
	r.foreign = max(0, rep.InFlight+rep.Queued-u.spec.Slots)
	r.foreignUntil = now.Add(foreignFresh)
}

// contradiction returns how strongly a report contradicts what calls show; 0 when it agrees.
func contradiction(u *upstream, rep *LoadReport, ratio float64) int {
	r := &u.report
	if r.seen && rep.Seq == r.seq {
		r.same++
	} else {
		r.same = 0
	}
	idle := rep.InFlight == 0 && rep.Queued == 0
	busy := rep.InFlight+rep.Queued > u.spec.Slots
	normal := ratio > 0 && ratio < 1.5
	switch {
	case r.same >= frozenAfter:
		return pointsFrozen
	case idle && (u.inFlight >= 2 || ratio > slowRatio):
		return pointsFalseIdle
	case busy && normal:
		return pointsFalseBusy
	case rep.Cold && normal:
		return pointsFalseCold
	}
	return 0
}

// score adds a contradiction; each consistent report takes one point back.
func (r *reportState) score(points int) {
	if points == 0 {
		points = -1
	}
	r.points = min(max(r.points+points, 0), maxContradiction)
	switch {
	case r.points >= distrustAt:
		r.distrusted = true
	case r.points == 0:
		r.distrusted = false
	}
}
