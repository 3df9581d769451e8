package placement

import (
	"slices"
	"time"
)

// losses is what the pool knows about lost connections.
type losses struct {
	answersWhenFull bool // see LossEvidence
	counts          LossCounts
}

// LossCounts are the numbers of lost connections by class.
type LossCounts [lossClasses]uint64

// openLoss is a lost connection whose cause isn't known yet. It is neither a failure of the upstream nor a refusal until then.
type openLoss struct {
	at       time.Time
	evidence LossEvidence
	request  uint64 // fingerprint
}

// classifiesLosses reports whether the causes of lost connections are determined. Without probes nothing tells whether a process has
// outlived a loss.
func (p *Pool) classifiesLosses() bool { return p.spec.ResetsWhenFull && !p.spec.AllowUnprobed }

// deferLoss records the end of a call if it is a lost connection, and reports whether its effect on the upstream has to wait for its
// cause. A loss whose cause is known is treated by the caller as a failure.
func (p *Pool) deferLoss(now time.Time, c *call, e End) bool {
	if e.Outcome == NotRun && e.Load.full() {
		p.losses.answersWhenFull = true
	}
	if e.Outcome != Lost || e.Loss == nil || !p.classifiesLosses() {
		return false
	}
	u := c.target
	if e.Loss.duringWork() {
		u.workLostAt = now
		p.resolveLosses(now, u, unseen)
	}
	l := p.newOpenLoss(now, c, *e.Loss)
	if class := l.evidence.Class(); class != LossUndecided {
		p.losses.counts[class]++
		return false
	}
	if l.evidence.maybeFull() && (l.evidence.full() || !l.evidence.maybeIdle()) {
		u.backOffFull(now)
	}
	u.openLosses = append(u.openLosses, l)
	p.decisions.ProbeSoon = u.spec.ID
	return true
}

// newOpenLoss returns a lost connection with what is known of it when its report arrives. The call no longer counts as running.
func (p *Pool) newOpenLoss(now time.Time, c *call, l Loss) openLoss {
	u := c.target
	e := LossEvidence{
		Loss: l, Slots: u.spec.Slots, Running: u.occupied() + 1, Load: u.load, LoadAge: ageOf(now, u.loadAt),
		AnswersWhenFull: p.losses.answersWhenFull, OthersLost: u.lostDuringWork(now),
	}
	if !u.reachable || u.wrongInstance || u.spec.Born != c.born {
		e.Process = ProcessGone
	}
	return openLoss{at: now, evidence: e, request: c.ask.Fingerprint}
}

// lostDuringWork reports whether a request lost its connection during its work at about the given time.
func (u *upstream) lostDuringWork(at time.Time) bool {
	return !u.workLostAt.IsZero() && u.workLostAt.Sub(at).Abs() <= maxJointLoss
}

// unseen is the evidence about a process when there is no probe.
func unseen(time.Time) ProcessEvidence { return ProcessUnseen }

// resolveLosses determines the causes of open losses. Those of an unknown cause and of a crash count as failures from now on; the others
// count neither as failures nor as crash suspects. process returns what is known about the process that lost a connection at a given time.
func (p *Pool) resolveLosses(now time.Time, u *upstream, process func(lostAt time.Time) ProcessEvidence) {
	failed, open := false, u.openLosses[:0]
	for _, l := range u.openLosses {
		e := &l.evidence
		e.Age, e.Process, e.OthersLost, e.OthersAlive = now.Sub(l.at), process(l.at), u.lostDuringWork(l.at), u.runningSince(l.at)
		if e.NextLoad == nil && u.loadAt.After(l.at) && u.loadAt.Sub(l.at) <= maxLoadAge {
			e.NextLoad = u.load
		}
		class := e.Class()
		switch class {
		case LossUndecided:
			open = append(open, l)
			continue
		case LossFull, LossIdle:
			u.withdrawSuspicion(l)
		default:
			u.updateFailureRate(now, 1)
			failed = true
		}
		p.losses.counts[class]++
	}
	u.openLosses = open
	if failed {
		p.limitEjections(now)
		p.updateCandidate(now, u)
	}
}

// runningSince returns the number of calls that run since before the given time.
func (u *upstream) runningSince(at time.Time) int {
	n := 0
	for _, c := range u.running {
		if c.started.Before(at) {
			n++
		}
	}
	return n
}

// withdrawSuspicion withdraws the suspicion that a request has crashed the upstream.
func (u *upstream) withdrawSuspicion(l openLoss) {
	i := slices.IndexFunc(u.suspects, func(s suspect) bool { return s.fingerprint == l.request && s.at.Equal(l.at) })
	if i >= 0 {
		u.suspects = slices.Delete(u.suspects, i, i+1)
	}
}

// probedAfterLosses resolves losses with the answer to a probe. A probe that was sent before a loss tells nothing about it.
func (p *Pool) probedAfterLosses(now time.Time, u *upstream, r Probe) {
	if !r.Answered || r.WrongInstance {
		return // the caller treats it as a crash
	}
	sent, connected := now.Add(-r.Age-r.Took), now.Add(-r.Age-r.ConnAge)
	p.resolveLosses(now, u, func(lostAt time.Time) ProcessEvidence {
		switch {
		case sent.Before(lostAt):
			return ProcessUnseen
		case connected.Before(lostAt.Add(-lossReportDelay)):
			return ProcessKept
		}
		return ProcessAnswered
	})
}

// expireLosses resolves the losses for which no evidence is to be expected any more.
func (p *Pool) expireLosses(now time.Time) {
	for _, u := range p.sortedUpstreams {
		if len(u.openLosses) > 0 && now.Sub(u.openLosses[0].at) >= lossWindow {
			p.resolveLosses(now, u, unseen)
		}
	}
}

// resetsWhileFull reports whether a probe was refused because the upstream has no room: it accepted a new connection and reset it while it
// is known to be full. A crashed upstream refuses the connection of the next probe.
func (p *Pool) resetsWhileFull(now time.Time, u *upstream, r Probe) bool {
	if !r.ConnReset || !p.classifiesLosses() || p.losses.answersWhenFull {
		return false
	}
	full := slices.ContainsFunc(u.openLosses, func(l openLoss) bool { return l.evidence.maybeFull() && l.evidence.full() })
	return full || ageOf(now.Add(-r.Age), u.loadAt) <= maxLoadAge && u.load.full()
}

// LossCounts returns the numbers of lost connections by class.
func (p *Pool) LossCounts() LossCounts { return p.losses.counts }
