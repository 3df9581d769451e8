package rollout

import (
	"fmt"
	"math"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/model"
)

// Config configures a Mover. Zero fields take their defaults.
type Config struct {
	// FalseStopsPerHour is the probability per hour that a version as good as the old one is rolled back; default 0.005.
	FalseStopsPerHour float64
	// CallsPerCell is the number of calls that each route and class needs at each step; default 100.
	CallsPerCell float64
	// MinStepTime and MaxStepTime bound the minimum duration of a step; defaults 10 s and 5 min. Within these bounds a
	// move takes about three quarters of the time until its deadline.
	MinStepTime, MaxStepTime time.Duration
	// DeadlineMargin is the time before the deadline in which no more records are appended; default 3 s.
	DeadlineMargin time.Duration
}

func (c Config) withDefaults() Config {
	if c.FalseStopsPerHour <= 0 {
		c.FalseStopsPerHour = 0.005
	}
	if c.CallsPerCell <= 0 {
		c.CallsPerCell = 100
	}
	if c.MinStepTime <= 0 {
		c.MinStepTime = 10 * time.Second
	}
	if c.MaxStepTime < c.MinStepTime {
		c.MaxStepTime = max(c.MinStepTime, 5*time.Minute)
	}
	if c.DeadlineMargin <= 0 {
		c.DeadlineMargin = 3 * time.Second
	}
	return c
}

const (
	// minCallsOverdue is the number of calls that a route with little traffic needs once a step is overdue.
	minCallsOverdue = 10
	// stepRetryInterval is the time after which a step that hasn't taken effect is written again.
	stepRetryInterval = 3 * time.Second
	// maxUtilisation is the fraction of the new version's slots that a step may use.
	maxUtilisation = 0.9
	// maxExtraRefusalRate is the refusal rate that the new version may have above the old version's. The next step waits
	// while it is exceeded.
	maxExtraRefusalRate = 0.05
)

// Capacity is the capacity of the new version and the demand of the service.
type Capacity struct {
	NewSlots    int     // concurrency slots of the new version's upstreams in service, cold ones included
	NeededSlots float64 // slots that all versions of the service together use concurrently
}

// Input is the state on which Mover.Tick bases its decision.
type Input struct {
	View     configlog.View
	Stops    *Stops
	Capacity Capacity
}

// Decision is the result of Mover.Tick. At most one of Step, Finish and Stop is set.
type Decision struct {
	Step   float64 // new share in percent; only the lease holder appends it to the log
	Finish bool    // the move is complete; only the lease holder appends the finished record to the log
	Stop   *Stop   // rolls the move back; every entry adds it to Stops, sends it to its peers and appends it to the log
	Status Status
}

// Mover controls one move. It isn't safe for concurrent use.
type Mover struct {
	rule  model.VersionRule
	name  string
	cfg   Config
	judge *judge

	percent      float64   // share of the current step
	since        time.Time // start of the current step by the entry's clock
	stepCalls    cells     // calls since the start of the step
	lastWrite    time.Time
	lastAnalysis time.Time
}

// NewMover returns a Mover for the move of a rule.
func NewMover(rule model.VersionRule, cfg Config, now time.Time) *Mover {
	cfg = cfg.withDefaults()
	return &Mover{
		rule: rule, name: configlog.MoveName(rule), cfg: cfg, since: now,
		judge:     newJudge(rule.From, rule.To, cfg.FalseStopsPerHour),
		stepCalls: cells{},
	}
}

// SetRule updates the rule from a new configuration. It returns false when the rule has other versions or another move
// name, which needs a new Mover.
func (m *Mover) SetRule(rule model.VersionRule) bool {
	if rule.Service != m.rule.Service || rule.From != m.rule.From || rule.To != m.rule.To ||
		configlog.MoveName(rule) != m.name {
		return false
	}
	m.rule = rule
	return true
}

// Observe adds the calls of all entries that ended since the previous call of Observe.
func (m *Mover) Observe(now time.Time, samples []Sample) {
	m.judge.observe(now, samples)
	for i := range samples {
		s := &samples[i]
		if s.Version != m.rule.From && s.Version != m.rule.To {
			continue
		}
		// Cold calls count towards the calls that a step needs; otherwise a cold version would block its move.
		sampleCounts := s.callCounts()
		m.stepCalls.at(cellKey{route: s.Route, class: s.Class}).countsOf(s.Version == m.rule.To).add(&sampleCounts, 1)
	}
}

// Tick returns what to do now. It may be called at any rate; it compares the versions at most once a second.
func (m *Mover) Tick(now time.Time, in Input) Decision {
	state, named := in.View.Moves[configlog.Move{Service: m.rule.Service, Name: m.name}]
	m.enterStep(now, state)
	status := m.status(state)
	if !named {
		status.State, status.Why = Waiting, "the configuration to name it"
		return Decision{Status: status}
	}
	if m.fillEndedStatus(now, &status, state, in) {
		return Decision{Status: status}
	}
	if stop := m.detectRegression(now); stop != nil {
		status.State, status.Why, status.Evidence, status.Percent = RolledBack, stop.Reason, stop.Evidence, 0
		status.Since = now
		return Decision{Stop: stop, Status: status}
	}
	why := m.waitsFor(now, in)
	status.State, status.Why = InProgress, why
	if state.Percent == 0 {
		status.State = Waiting
	}
	if why != "" || now.Sub(m.lastWrite) < stepRetryInterval {
		return Decision{Status: status}
	}
	m.lastWrite = now
	next, _ := nextStep(m.rule, m.percent)
	if next == 0 {
		return Decision{Finish: true, Status: status}
	}
	return Decision{Step: next, Status: status}
}

func (m *Mover) enterStep(now time.Time, state configlog.MoveState) {
	if state.Percent == m.percent {
		return
	}
	if state.Percent >= 100 {
		m.judge.saveBaseline()
	}
	m.judge.reset()
	m.percent, m.since, m.lastWrite = state.Percent, now, time.Time{}
	clear(m.stepCalls)
}

// fillEndedStatus fills the status of a move that has finished or was rolled back, and reports whether it has.
func (m *Mover) fillEndedStatus(now time.Time, status *Status, state configlog.MoveState, in Input) bool {
	switch stop, stopped := in.Stops.Get(m.rule.Service, m.name); {
	case state.Stopped:
		status.State, status.Percent, status.Since = RolledBack, 0, state.EndedAt
		status.Why, status.Evidence = state.Reason, state.Evidence
	case stopped:
		status.State, status.Percent, status.Since = RolledBack, 0, stop.At
		status.Why, status.Evidence = stop.Reason, stop.Evidence
	case state.Finished:
		status.State, status.Percent, status.Since = Done, 100, state.EndedAt
	case !now.Before(m.rule.By):
		status.State, status.Percent, status.Since = RolledBack, 0, m.rule.By
		status.Why = configlog.ReasonDeadline
	default:
		return false
	}
	return true
}

// detectRegression compares the versions at most once a second. It returns a stop when the new version is worse.
func (m *Mover) detectRegression(now time.Time) *Stop {
	if m.percent == 0 || now.Sub(m.lastAnalysis) < time.Second {
		return nil
	}
	m.lastAnalysis = now
	evidence := m.judge.findRegression(m.percent >= 100)
	if evidence == "" {
		return nil
	}
	return &Stop{
		Service: m.rule.Service, Move: m.name, Version: m.rule.To,
		Reason: "version " + m.rule.To + " is worse than " + m.rule.From, Evidence: evidence, At: now,
	}
}

// minStepTime returns the minimum duration of the current step: half of an even share of the time that was left until the
// deadline when the step started.
func (m *Mover) minStepTime() time.Duration {
	_, left := nextStep(m.rule, m.percent)
	available := m.rule.By.Add(-m.cfg.DeadlineMargin).Sub(m.since)
	return min(max(available/time.Duration(2*(left+1)), m.cfg.MinStepTime), m.cfg.MaxStepTime)
}

// waitsFor describes what the next step waits for. It is empty when the step can be written.
func (m *Mover) waitsFor(now time.Time, in Input) string {
	if earlierMove := BlockedBy(in.View, in.Stops, m.rule); earlierMove != "" {
		return "move " + earlierMove + " of the same service"
	}
	if !now.Before(m.rule.By.Add(-m.cfg.DeadlineMargin)) {
		return "the deadline; there is no time left to finish"
	}
	next, _ := nextStep(m.rule, m.percent)
	if need := in.Capacity.NeededSlots * next / 100; float64(in.Capacity.NewSlots)*maxUtilisation < need {
		return fmt.Sprintf("upstreams of version %s: %d slots in service, %.0f needed at %v %%",
			m.rule.To, in.Capacity.NewSlots, need/maxUtilisation, next)
	}
	if m.percent == 0 {
		return ""
	}
	if why := m.sheddingReason(); why != "" {
		return why
	}
	if remaining := m.minStepTime() - now.Sub(m.since); remaining > 0 {
		return fmt.Sprintf("%s more at this step", remaining.Round(time.Second))
	}
	return m.missingCalls(now)
}

// sheddingReason returns a reason to wait while the new version refuses calls for lack of capacity, as a cold one does.
func (m *Mover) sheddingReason() string {
	var oldRan, oldNotRun, newRan, newNotRun float64
	for key, p := range m.judge.short.total {
		if key == aggregateKey {
			continue
		}
		oldRan, oldNotRun = oldRan+p.old.calls, oldNotRun+p.old.notRun
		newRan, newNotRun = newRan+p.new.calls, newNotRun+p.new.notRun
	}
	refusedNew := newNotRun / max(newRan+newNotRun, 1)
	refusedOld := oldNotRun / max(oldRan+oldNotRun, 1)
	if refusedNew <= refusedOld+maxExtraRefusalRate {
		return ""
	}
	return fmt.Sprintf("warm upstreams of version %s: they refuse %s of calls for lack of capacity",
		m.rule.To, percent(refusedNew, 1))
}

// missingCalls names a route and class with too few calls at this step. Once the step has taken 1.5 times its minimum
// time, half of the calls expected at its share are enough: otherwise a service or route with little traffic would never
// get past 1 %. Such a route is tested at the later steps instead.
func (m *Mover) missingCalls(now time.Time) string {
	due := m.minStepTime() * 3 / 2
	overdue := now.Sub(m.since) >= due
	// expected returns half the calls that were expected at this share when the step was due. The number doesn't grow
	// while the step waits.
	expected := func(all float64) float64 {
		return math.Floor(all * m.percent / 200 * due.Seconds() / now.Sub(m.since).Seconds())
	}
	total, all := 0.0, 0.0
	for _, key := range sortedKeys(m.stepCalls) {
		p := m.stepCalls[key]
		total += p.new.calls
		all += p.old.calls + p.new.calls
		need := m.cfg.CallsPerCell
		if overdue {
			need = min(minCallsOverdue, expected(p.old.calls+p.new.calls))
		}
		if p.new.calls < need {
			return fmt.Sprintf("%.0f calls on %s, %.0f so far", need, key, p.new.calls)
		}
	}
	need := m.cfg.CallsPerCell
	if overdue {
		need = max(1, min(need, expected(all)))
	}
	if total < need {
		return fmt.Sprintf("%.0f calls on version %s, %.0f so far", need, m.rule.To, total)
	}
	return ""
}
