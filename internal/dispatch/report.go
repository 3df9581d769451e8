package dispatch

import "time"

const (
	// distrustThreshold is the number of contradiction points at which load reports are no longer trusted.
	distrustThreshold = 16
	// A contradiction scores more points the less a delayed report can explain it.
	pointsFrozen           = 4
	pointsFalseIdle        = 2
	pointsFalseBusy        = 2
	pointsFalseCold        = 1
	maxContradictionPoints = 2 * distrustThreshold
	// frozenReportCount is the number of consecutive repeats of a sequence number after which the report counts as frozen.
	frozenReportCount = 3
	// foreignCallsTTL is the time for which reported calls of other senders lower the limit.
	foreignCallsTTL = 200 * time.Millisecond
)

// reportState is what the pool has learnt from an upstream's load reports.
type reportState struct {
	seen              bool
	seq               uint64
	seqAt             time.Time // arrival time of the report with seq
	repeatedSeq       int       // consecutive repeats of the same sequence number
	loadFigures       trust     // trust in InFlight and Queued
	state             trust     // trust in Seq, Cold and Draining
	foreignCalls      int       // reported calls beyond the upstream's slots, so sent by others
	foreignCallsUntil time.Time
}

// receivedReport is a load report with the context of the call or probe whose response carried it.
type receivedReport struct {
	*LoadReport
	probe        bool
	sentAt       time.Time // when the call was granted or the probe became due
	coldWhenSent bool      // the upstream was known to be cold at that time
	ratio        float64   // the call's latency relative to the peers' median, or 0 when unknown
}

// observeReport checks a report against the observed calls and applies it if it is trusted.
func (p *Pool) observeReport(now time.Time, u *upstream, rep receivedReport) {
	if rep.LoadReport == nil {
		return
	}
	r := &u.loadReport
	r.scoreReport(u, rep.LoadReport, rep.ratio)
	lower := r.seen && rep.Seq < r.seq
	// A lower number proves a restart only if the call was sent after the higher number had arrived; other responses may
	// have been reordered.
	restarted := lower && !rep.sentAt.Before(r.seqAt)
	outdated := lower && !restarted
	r.seen = true
	if !outdated {
		r.seq, r.seqAt = rep.Seq, now
	}
	if r.state.distrusted || outdated {
		r.foreignCalls = 0
		// After a restart, responses to calls that were sent before it also carry low numbers, and they are the earliest
		// evidence of it.
		if outdated && !r.state.distrusted && rep.Cold && !rep.coldWhenSent && !u.cold {
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
	if r.loadFigures.distrusted {
		r.foreignCalls = 0
		return
	}
	p.observeUntracked(u, rep.LoadReport, rep.probe)
	r.foreignCalls = max(0, rep.InFlight+rep.Queued-u.spec.Slots)
	r.foreignCallsUntil = now.Add(foreignCallsTTL)
}

// scoreReport scores the contradictions between the report and the observed calls. Load figures and state are scored
// separately: honest figures that lag often contradict the calls, which says nothing about a reported cold start.
func (r *reportState) scoreReport(u *upstream, rep *LoadReport, ratio float64) {
	if r.seen && rep.Seq == r.seq {
		r.repeatedSeq++
	} else {
		r.repeatedSeq = 0
	}
	idle := rep.InFlight == 0 && rep.Queued == 0
	busy := rep.InFlight+rep.Queued > u.spec.Slots
	normal := ratio > 0 && ratio < 1.5
	loadFigures, state := 0, 0
	switch {
	case r.repeatedSeq >= frozenReportCount:
		loadFigures, state = pointsFrozen, pointsFrozen
	case idle && (u.inFlight >= 2 || ratio > slowRatio):
		loadFigures = pointsFalseIdle
	case busy && normal:
		loadFigures = pointsFalseBusy
	}
	if rep.Cold && normal {
		state = max(state, pointsFalseCold)
	}
	r.loadFigures.addPoints(loadFigures)
	r.state.addPoints(state)
}

// trust accumulates contradiction points and derives whether the reports are distrusted.
type trust struct {
	points     int
	distrusted bool
}

// addPoints adds the points of a contradiction; a consistent report, with 0 points, removes one.
func (t *trust) addPoints(points int) {
	if points == 0 {
		points = -1
	}
	t.points = min(max(t.points+points, 0), maxContradictionPoints)
	switch {
	case t.points >= distrustThreshold:
		t.distrusted = true
	case t.points == 0:
		t.distrusted = false
	}
}
