package placement

import (
	"time"

	"boragehinge.example/boragehinge/internal/confidence"
)

// Limits and thresholds of a move, the gradual switch to a new version.
const (
	// trialShareFraction and trialSlackFraction are the fractions of Spec.BadShare and Spec.BadSlack that a trial uses. The
	// rest is left for the final phase and for a second leader.
	trialShareFraction = 0.3
	trialSlackFraction = 0.25
	// finalPhaseDuration is the time before the deadline of a move at which all traffic switches to the new version. After the
	// calls on the old version have drained, it leaves 1.2 s to report the completion. That allows a second write to the store
	// if the first one is lost.
	finalPhaseDuration = 2500 * time.Millisecond
	// minFinalDuration is the minimum time for which all traffic goes to the new version before the move completes, so that a
	// version that fails only under load is detected.
	minFinalDuration = 800 * time.Millisecond
	// drainTimeout is how long the move waits for running calls on the old version, which is stopped on completion.
	drainTimeout = 1100 * time.Millisecond
	// slowAnswerFactor is the ratio of actual to expected latency above which a response counts as slow.
	slowAnswerFactor = 1.9
	// logInverseErrorRate is ln(1/p), where p limits the probability that a confidence bound of a rate is wrong.
	logInverseErrorRate = 4.5
	// A version is bad if its failure rate exceeds badVersionFactor times that of the old version plus failureShareMargin, or
	// its rate of slow responses exceeds badVersionFactor times that of the old version plus slowShareMargin. Rolling back a
	// good version costs another move; completing a bad one fails that share of all requests.
	badVersionFactor   = 1.5
	failureShareMargin = 0.02
	slowShareMargin    = 0.06
	// minCapacityRatio is the ratio of the new version's slots to those of the other versions that is sufficient at any load.
	minCapacityRatio = 0.8
	// dependableSlotShare is the fraction of the slots that is available while noisy neighbours slow some upstreams down.
	dependableSlotShare = 0.55
	// loadWeight is the weight of a sample in the moving average of the running calls.
	loadWeight = 0.1
	// priorGoodAnswers is the number of good responses added to those of the old version on a route, so that a few bad ones
	// don't set a high baseline.
	priorGoodAnswers = 10
)

// MovePhase is the phase of a move.
type MovePhase uint8

// Phases of a move.
const (
	NoMove     MovePhase = iota
	Trial                // the new version gets a small share of the requests
	Final                // all requests go to the new version while the old one drains
	Done                 // completed: only the new version is used
	RolledBack           // the new version is not used
)

// String returns the name of the phase.
func (m MovePhase) String() string {
	return [...]string{"none", "trial", "final", "done", "rolled-back"}[m]
}

// versionStats counts the responses of a version.
type versionStats struct {
	answers, failures float64
	timed, slow       float64 // results whose latency can be assessed, and those of them that were too slow
}

// moveState is the state of a move.
type moveState struct {
	version        string
	phase          MovePhase
	deadline       time.Time
	finalSince     time.Time
	share, slack   float64 // limits of the trial: share*total + slack requests
	total, onTrial float64 // requests since the start of the trial, and those of them sent to the new version
	routes         map[string]*routeStats
	old            versionStats // over all routes
}

// routeStats holds the statistics of the old and the new version on one route.
type routeStats struct{ old, new versionStats }

// StartMove starts the trial of a version. left is the time until the move should be complete.
func (p *Pool) StartMove(now time.Time, version string, left time.Duration) {
	p.move = moveState{
		version: version, phase: Trial, deadline: now.Add(left), routes: map[string]*routeStats{},
		share: trialShareFraction * p.spec.BadShare, slack: trialSlackFraction * p.spec.BadSlack,
	}
}

// SetMovePhase sets the phase of the move to a version, such as a result that another process reported.
func (p *Pool) SetMovePhase(version string, phase MovePhase) {
	if p.move.version != version {
		p.move = moveState{version: version, routes: map[string]*routeStats{}}
	}
	p.move.phase = phase
}

// BlockVersion sends no requests to a version until the state of its move is known.
func (p *Pool) BlockVersion(version string) { p.SetMovePhase(version, RolledBack) }

// EndMove discards the state of the move.
func (p *Pool) EndMove() { p.move = moveState{} }

// Move returns the version and phase of the current move.
func (p *Pool) Move() (version string, phase MovePhase) { return p.move.version, p.move.phase }

// AdvanceMove evaluates the move and enters its next phase if one is due. While mayFinish is false, because another leader may decide on
// the move with more responses, the version can be rolled back but doesn't get further. It returns the current phase and, if it
// changed, the reason.
func (p *Pool) AdvanceMove(now time.Time, mayFinish bool) (phase MovePhase, why string, changed bool) {
	m := &p.move
	p.averageRunning += loadWeight * (float64(len(p.calls)) - p.averageRunning)
	if m.phase != Trial && m.phase != Final {
		return m.phase, "", false
	}
	if bad := m.evaluate(p.overdue(now)); bad != "" {
		m.phase = RolledBack
		return m.phase, bad, true
	}
	if !mayFinish {
		return m.phase, "", false
	}
	if m.phase == Trial && now.Add(finalPhaseDuration).After(m.deadline) {
		if !p.hasCapacity(m.version) {
			return m.phase, "", false
		}
		m.phase = Final
		m.finalSince = now
		m.deadline = now.Add(drainTimeout)
		return m.phase, "the trial is over", true
	}
	if m.phase == Final && !p.hasCapacity(m.version) {
		m.phase = Trial
		return m.phase, "too few upstreams of the new version", true
	}
	if m.phase == Final && now.Sub(m.finalSince) >= minFinalDuration && (p.runningOnOtherVersions(m.version) == 0 || now.After(m.deadline)) {
		m.phase = Done
		return m.phase, "the old version has finished its calls", true
	}
	return m.phase, "", false
}

// hasCapacity reports whether the upstreams of a version can carry the load alone, since those of other versions are stopped
// when the move completes.
func (p *Pool) hasCapacity(version string) bool {
	var own, others float64
	for _, u := range p.sortedUpstreams {
		if u.spec.Closed || !u.reachable || u.wrongInstance {
			continue
		}
		if u.spec.Version == version {
			own += p.occupancy.throughput(u.spec.Slots)
		} else {
			others += p.occupancy.throughput(u.spec.Slots)
		}
	}
	return own > 0 && (own >= minCapacityRatio*others || own*dependableSlotShare >= p.averageRunning)
}

// overdue counts the running calls on the new version that are already slow.
func (p *Pool) overdue(now time.Time) float64 {
	n := 0.0
	for _, c := range p.calls {
		if c.target.spec.Version == p.move.version && !c.adopted && float64(now.Sub(c.started)) > slowAnswerFactor*expectedLatency(c, p.serviceTime(c)) {
			n++
		}
	}
	return n
}

func (p *Pool) runningOnOtherVersions(version string) int {
	n := 0
	for _, u := range p.sortedUpstreams {
		if u.spec.Version != version {
			n += len(u.running)
		}
	}
	return n
}

// allows reports whether the version may get requests in the current phase.
func (m *moveState) allows(version string) bool {
	isNew := version == m.version
	switch m.phase {
	case Final, Done:
		return isNew
	case RolledBack:
		return !isNew
	}
	return true
}

// admits reports whether the version may get a request now, within the limit of its trial.
func (m *moveState) admits(version string) bool {
	if m.phase == Trial && version == m.version {
		return m.onTrial+1 <= m.share*m.total+m.slack
	}
	return m.allows(version)
}

// wantsSample reports whether the next request should go to the version on trial.
func (m *moveState) wantsSample() bool { return m.phase == Trial && m.admits(m.version) }

func (m *moveState) countArrival() {
	if m.phase == Trial {
		m.total++
	}
}

func (m *moveState) countPlacement(version string) {
	if m.phase == Trial && version == m.version {
		m.onTrial++
	}
}

func (m *moveState) recordEnd(c *call, e End, base time.Duration) {
	if m.phase != Trial && m.phase != Final {
		return
	}
	r := m.routes[c.ask.Route]
	if r == nil {
		r = &routeStats{}
		m.routes[c.ask.Route] = r
	}
	if c.target.spec.Version == m.version {
		r.new.add(c, e, base)
		return
	}
	r.old.add(c, e, base)
	m.old.add(c, e, base)
}

func (s *versionStats) add(c *call, e End, base time.Duration) {
	switch e.Outcome {
	case Success:
		s.answers++
	case Failure:
		s.answers++
		s.failures++
	case TimedOut, Superseded: // no response, but the elapsed time counts below
	default:
		// A lost response is not a sign of a bad version: connections are reset for other reasons too.
		return
	}
	if base <= 0 || c.adopted {
		return
	}
	expected := expectedLatency(c, base)
	if e.Load != nil {
		expected *= max(1, e.Load.Pace/max(1, c.pace))
	}
	s.timed++
	if float64(e.Latency) > slowAnswerFactor*expected {
		s.slow++
	}
}

// expectedLatency is the latency in nanoseconds that the pace at the start of the call predicts.
func expectedLatency(c *call, base time.Duration) float64 {
	return float64(base) * max(1, c.pace)
}

// evaluate returns why the new version is bad, or "". It checks each route alone, and all routes together with the overdue
// calls counted as slow.
func (m *moveState) evaluate(overdue float64) string {
	all := versionStats{timed: overdue, slow: overdue}
	oldShares := m.old.shares(0)
	var expected answerShares // results that the new version would have if it were as good as the baseline on each route
	for route, r := range m.routes {
		baseline := oldShares.larger(r.old.shares(priorGoodAnswers))
		if why := r.new.reasonWorseThan(baseline); why != "" {
			return why + " on route " + route
		}
		all.answers += r.new.answers
		all.failures += r.new.failures
		all.timed += r.new.timed
		all.slow += r.new.slow
		expected.failed += r.new.answers * baseline.failed
		expected.slow += r.new.timed * baseline.slow
	}
	return all.reasonWorseThan(oldShares.larger(answerShares{failed: ratio(expected.failed, all.answers), slow: ratio(expected.slow, all.timed)}))
}

// answerShares are the failure rate and the rate of slow responses of a version.
type answerShares struct{ failed, slow float64 }

// shares returns the rates of the version as if it had given extraGood more good responses.
func (s *versionStats) shares(extraGood float64) answerShares {
	return answerShares{failed: ratio(s.failures, s.answers+extraGood), slow: ratio(s.slow, s.timed+extraGood)}
}

// larger returns the larger value of each rate. It sets the baseline of a route, because a route that fails or is slow on the old
// version too is not a sign of a bad new version: a new leader underestimates the service time of a route at first, since
// short calls end first.
func (a answerShares) larger(b answerShares) answerShares {
	return answerShares{failed: max(a.failed, b.failed), slow: max(a.slow, b.slow)}
}

// reasonWorseThan returns why the version is significantly worse than the baseline, or "".
func (s *versionStats) reasonWorseThan(baseline answerShares) string {
	if confidence.Lower(s.failures, s.answers, logInverseErrorRate) > failureShareMargin+badVersionFactor*baseline.failed {
		return "failures"
	}
	if confidence.Lower(s.slow, s.timed, logInverseErrorRate) > slowShareMargin+badVersionFactor*baseline.slow {
		return "slow answers"
	}
	return ""
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
