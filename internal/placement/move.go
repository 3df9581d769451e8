package placement

import (
	"time"

	"boragehinge.example/boragehinge/internal/confidence"
)

// Bounds of a move to a new version.
const (
	// trialPart is the part of the bound on a bad version that its trial uses; the final phase and a second leader may use
	// the rest.
	trialPart      = 0.3
	trialSlackPart = 0.25
	// finalPhase is the time before the end of a move at which all traffic goes to the new version. After the calls on the old one
	// it leaves 1.2 s to report the completion, enough for a second write to the store when the first one is lost.
	finalPhase = 2500 * time.Millisecond
	// minFinal is how long all traffic goes to the new version at least, so that one that is bad under load shows it.
	minFinal = 800 * time.Millisecond
	// drainBeforeCompletion is how long calls on the old version may still run; it ends at once on completion.
	drainBeforeCompletion = 1100 * time.Millisecond
	// badSlowdown is the factor above the expected latency at which an answer counts as slow.
	badSlowdown = 1.9
	// doubt is the logarithm of one over the probability with which a bound of a share is wrong.
	doubt = 4.5
	// badFactor, badFailureShare and badSlowShare are by how much a bad version is worse than the old one. A good version
	// that is rolled back costs a repetition; a bad one that is completed fails its share of all requests.
	badFactor       = 1.5
	badFailureShare = 0.02
	badSlowShare    = 0.06
	// enoughOfOld is the part of the old version's slots that a new one needs, whatever the load.
	enoughOfOld = 0.8
	// usableShare is the part of the slots that can be counted on while neighbours slow some upstreams down.
	usableShare = 0.55
	loadWeight  = 0.1
	// settledAnswers is the number of answers of the old version from which on its shares on one route are believed.
	settledAnswers = 10
)

// MovePhase says where a move stands.
type MovePhase uint8

// Phases of a move.
const (
	NoMove     MovePhase = iota
	Trial                // the new version gets a small share
	Final                // all requests go to the new version while the old one finishes its calls
	Done                 // completed: only the new version
	RolledBack           // only the old versions
)

// String returns the phase in words.
func (m MovePhase) String() string {
	return [...]string{"none", "trial", "final", "done", "rolled-back"}[m]
}

type versionStats struct {
	answers, failures float64
	timed, slow       float64 // answers whose latency can be judged, and those that took too long
}

type moveState struct {
	version        string
	phase          MovePhase
	deadline       time.Time
	finalSince     time.Time
	share, slack   float64 // of the requests that the trial may use
	total, onTrial float64
	routes         map[string]*routeStats
	old            versionStats // of all routes
}

// routeStats compares the versions on one route.
type routeStats struct{ old, new versionStats }

// StartMove begins a move to a version, with the time that is left for it.
func (p *Pool) StartMove(now time.Time, version string, left time.Duration) {
	p.move = moveState{
		version: version, phase: Trial, deadline: now.Add(left), routes: map[string]*routeStats{},
		share: trialPart * p.spec.BadShare, slack: trialSlackPart * p.spec.BadSlack,
	}
}

// SetMovePhase takes over the reported end of a move.
func (p *Pool) SetMovePhase(version string, phase MovePhase) {
	if p.move.version != version {
		p.move = moveState{version: version, routes: map[string]*routeStats{}}
	}
	p.move.phase = phase
}

// BlockVersion keeps requests off a version until the state of its move is known.
func (p *Pool) BlockVersion(version string) { p.SetMovePhase(version, RolledBack) }

// EndMove forgets the move.
func (p *Pool) EndMove() { p.move = moveState{} }

// Move returns the version and phase of the current move.
func (p *Pool) Move() (version string, phase MovePhase) { return p.move.version, p.move.phase }

// AdvanceMove decides on the next phase. The result tells the phase and why it was entered, or that nothing changed.
func (p *Pool) AdvanceMove(now time.Time) (phase MovePhase, why string, changed bool) {
	m := &p.move
	p.load += loadWeight * (float64(len(p.calls)) - p.load)
	if m.phase != Trial && m.phase != Final {
		return m.phase, "", false
	}
	if bad := m.judge(p.overdue(now)); bad != "" {
		m.phase = RolledBack
		return m.phase, bad, true
	}
	if m.phase == Trial && now.Add(finalPhase).After(m.deadline) {
		if !p.enoughUpstreams(m.version) {
			return m.phase, "", false
		}
		m.phase = Final
		m.finalSince = now
		m.deadline = now.Add(drainBeforeCompletion)
		return m.phase, "the trial is over", true
	}
	if m.phase == Final && !p.enoughUpstreams(m.version) {
		m.phase = Trial
		return m.phase, "too few upstreams of the new version", true
	}
	if m.phase == Final && now.Sub(m.finalSince) >= minFinal && (p.runningOnOther(m.version) == 0 || now.After(m.deadline)) {
		m.phase = Done
		return m.phase, "the old version has finished its calls", true
	}
	return m.phase, "", false
}

// enoughUpstreams reports whether the upstreams of a version can carry the load without the others, which end when the move
// is completed.
func (p *Pool) enoughUpstreams(version string) bool {
	var own, others float64
	for _, u := range p.order {
		if u.spec.Closed || !u.reachable || u.other {
			continue
		}
		if u.spec.Version == version {
			own += float64(u.slots(p.spec.MaxInFlight))
		} else {
			others += float64(u.slots(p.spec.MaxInFlight))
		}
	}
	return own > 0 && (own >= enoughOfOld*others || own*usableShare >= p.load)
}

// overdue counts the calls on the new version that have taken too long already.
func (p *Pool) overdue(now time.Time) float64 {
	n := 0.0
	for _, c := range p.calls {
		if c.up.spec.Version == p.move.version && !c.crowded && float64(now.Sub(c.started)) > badSlowdown*expectedLatency(c, p.serviceTime(c)) {
			n++
		}
	}
	return n
}

func (p *Pool) runningOnOther(version string) int {
	n := 0
	for _, u := range p.order {
		if u.spec.Version != version {
			n += len(u.running)
		}
	}
	return n
}

// allows reports whether the version may get requests at all.
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

// admits reports whether the version may get a request now.
func (m *moveState) admits(version string) bool {
	if m.phase == Trial && version == m.version {
		return m.onTrial+1 <= m.share*m.total+m.slack
	}
	return m.allows(version)
}

// wantsSample reports whether the version on trial should get the next request.
func (m *moveState) wantsSample() bool { return m.phase == Trial && m.admits(m.version) }

func (m *moveState) arrived() {
	if m.phase == Trial {
		m.total++
	}
}

func (m *moveState) placed(version string) {
	if m.phase == Trial && version == m.version {
		m.onTrial++
	}
}

func (m *moveState) ended(c *call, e End, base time.Duration) {
	if m.phase != Trial && m.phase != Final {
		return
	}
	r := m.routes[c.ask.Route]
	if r == nil {
		r = &routeStats{}
		m.routes[c.ask.Route] = r
	}
	if c.up.spec.Version == m.version {
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
	case TimedOut, Superseded: // too slow
	default:
		// A lost response says nothing about the version: connections are reset for other reasons too.
		return
	}
	if base <= 0 || c.crowded {
		return
	}
	expected := expectedLatency(c, base)
	if e.Load != nil {
		expected *= max(1, e.Load.Pace/max(1, c.pace))
	}
	s.timed++
	if float64(e.Latency) > badSlowdown*expected {
		s.slow++
	}
}

// expectedLatency is the latency of a call on an upstream that is as fast as its pace says, in nanoseconds.
func expectedLatency(c *call, base time.Duration) float64 {
	return float64(base) * max(1, c.pace)
}

// judge returns why the new version is bad, or nothing. It looks at each route and at all together, with the calls that
// are overdue.
func (m *moveState) judge(overdue float64) string {
	all := versionStats{timed: overdue, slow: overdue}
	onOld := m.old.shares(0)
	var expected answerShares // failures and slow answers if the new version did as well as the old one on each route
	for route, r := range m.routes {
		accepted := onOld.worst(r.old.shares(settledAnswers))
		if why := r.new.worseThan(accepted); why != "" {
			return why + " on route " + route
		}
		all.answers += r.new.answers
		all.failures += r.new.failures
		all.timed += r.new.timed
		all.slow += r.new.slow
		expected.failed += r.new.answers * accepted.failed
		expected.slow += r.new.timed * accepted.slow
	}
	return all.worseThan(onOld.worst(answerShares{failed: ratio(expected.failed, all.answers), slow: ratio(expected.slow, all.timed)}))
}

// answerShares are the parts of a version's answers that are failures and that are slow.
type answerShares struct{ failed, slow float64 }

// shares returns the shares of the version, as if it had given some more answers that were good.
func (s *versionStats) shares(more float64) answerShares {
	return answerShares{failed: ratio(s.failures, s.answers+more), slow: ratio(s.slow, s.timed+more)}
}

// worst returns the larger one of each share. A route that is slow or fails on the old version too says nothing about the new one:
// the estimate of its service time is low while a new leader has seen few answers, the short ones first.
func (a answerShares) worst(b answerShares) answerShares {
	return answerShares{failed: max(a.failed, b.failed), slow: max(a.slow, b.slow)}
}

func (s *versionStats) worseThan(accepted answerShares) string {
	if confidence.Lower(s.failures, s.answers, doubt) > badFailureShare+badFactor*accepted.failed {
		return "failures"
	}
	if confidence.Lower(s.slow, s.timed, doubt) > badSlowShare+badFactor*accepted.slow {
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
