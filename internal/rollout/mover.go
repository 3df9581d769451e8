package rollout

import (
	"fmt"
	"math"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/model"
)

// Config configures a Mover. The zero value has the defaults.
type Config struct {
	// FalseStopsPerHour is the probability that a version as good as the old one is stopped in an hour; default 0.005.
	FalseStopsPerHour float64
	// CallsPerCell is how many calls each route and class needs at each step; default 100.
	CallsPerCell float64
	// MinHold and MaxHold bound the time of a step; default 10 s and 5 min. Within them a move uses about three
	// quarters of the time until its deadline.
	MinHold, MaxHold time.Duration
	// Margin is the time before the deadline in which nothing is written any more; default 3 s.
	Margin time.Duration
}

func (c Config) withDefaults() Config {
	if c.FalseStopsPerHour <= 0 {
		c.FalseStopsPerHour = 0.005
	}
	if c.CallsPerCell <= 0 {
		c.CallsPerCell = 100
	}
	if c.MinHold <= 0 {
		c.MinHold = 10 * time.Second
	}
	if c.MaxHold < c.MinHold {
		c.MaxHold = max(c.MinHold, 5*time.Minute)
	}
	if c.Margin <= 0 {
		c.Margin = 3 * time.Second
	}
	return c
}

const (
	// fewCalls is what a rare route needs once a step has used up its time.
	fewCalls = 10
	// writeAgain is how long a written step is waited for before it is written again.
	writeAgain = 3 * time.Second
	// freeCapacity is the part of the new version's slots that a step may use.
	freeCapacity = 0.9
	// sheddingShare is the share of refusals above the old version's from which a step waits.
	sheddingShare = 0.05
)

// Capacity compares what the new version can carry with what the service needs.
type Capacity struct {
	NewSlots    int     // slots of the new version's upstreams in service, cold ones included
	NeededSlots float64 // slots that the whole service uses at the same time
}

// Input is what a Mover decides on at one moment.
type Input struct {
	View     configlog.View
	Stops    *Stops
	Capacity Capacity
}

// Decision is what to do now. At most one of Step, Finish and Stop is set.
type Decision struct {
	Step   float64 // share to write to the log; by the lease holder only
	Finish bool    // write the finished record; by the lease holder only
	Stop   *Stop   // fact to add to Stops, pass to peers and write to the log; by every entry
	Status Status
}

// Mover decides on one move. It isn't safe for concurrent use.
type Mover struct {
	rule  model.VersionRule
	name  string
	cfg   Config
	judge *judge

	percent  float64
	since    time.Time // entry's time of the step
	byCells  cells
	wroteAt  time.Time
	lastLook time.Time
}

// NewMover returns the policy of a move.
func NewMover(rule model.VersionRule, cfg Config, now time.Time) *Mover {
	cfg = cfg.withDefaults()
	return &Mover{
		rule: rule, name: configlog.MoveName(rule), cfg: cfg, since: now,
		judge:   newJudge(rule.From, rule.To, cfg.FalseStopsPerHour),
		byCells: cells{},
	}
}

// SetRule takes the rule of a new configuration. It reports false when the rule is of other versions or of another
// move, which needs a new Mover.
func (m *Mover) SetRule(rule model.VersionRule) bool {
	if rule.Service != m.rule.Service || rule.From != m.rule.From || rule.To != m.rule.To ||
		configlog.MoveName(rule) != m.name {
		return false
	}
	m.rule = rule
	return true
}

// Observe adds calls that ended since the last time, of all entries.
func (m *Mover) Observe(now time.Time, samples []Sample) {
	m.judge.observe(now, samples)
	for i := range samples {
		s := &samples[i]
		if s.Version != m.rule.From && s.Version != m.rule.To {
			continue
		}
		// Cold calls count as calls of a step, since a step to a cold version must be able to go on.
		one := s.count()
		m.byCells.at(cellKey{route: s.Route, class: s.Class}).of(s.Version == m.rule.To).add(&one, 1)
	}
}

// Tick decides. It is called at any rate; it looks at the statistics once a second.
func (m *Mover) Tick(now time.Time, in Input) Decision {
	state, named := in.View.Moves[configlog.Move{Service: m.rule.Service, Name: m.name}]
	m.enterStep(now, state)
	status := m.status(state)
	if !named {
		status.State, status.Why = Waiting, "the configuration to name it"
		return Decision{Status: status}
	}
	if m.ended(now, &status, state, in) {
		return Decision{Status: status}
	}
	if stop := m.look(now); stop != nil {
		status.State, status.Why, status.Evidence, status.Percent = RolledBack, stop.Reason, stop.Evidence, 0
		status.Since = now
		return Decision{Stop: stop, Status: status}
	}
	why := m.waitsFor(now, in)
	status.State, status.Why = InProgress, why
	if state.Percent == 0 {
		status.State = Waiting
	}
	if why != "" || now.Sub(m.wroteAt) < writeAgain {
		return Decision{Status: status}
	}
	m.wroteAt = now
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
		m.judge.freeze()
	}
	m.judge.restart()
	m.percent, m.since, m.wroteAt = state.Percent, now, time.Time{}
	clear(m.byCells)
}

// ended fills the status of a move that is over.
func (m *Mover) ended(now time.Time, status *Status, state configlog.MoveState, in Input) bool {
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

// look judges the new version once a second.
func (m *Mover) look(now time.Time) *Stop {
	if m.percent == 0 || now.Sub(m.lastLook) < time.Second {
		return nil
	}
	m.lastLook = now
	evidence := m.judge.condemn(m.percent >= 100)
	if evidence == "" {
		return nil
	}
	return &Stop{
		Service: m.rule.Service, Move: m.name, Version: m.rule.To,
		Reason: "version " + m.rule.To + " is worse than " + m.rule.From, Evidence: evidence, At: now,
	}
}

// hold is the time that the current step takes at least: half of an even part of the time that was left at its start.
func (m *Mover) hold() time.Duration {
	_, left := nextStep(m.rule, m.percent)
	rest := m.rule.By.Add(-m.cfg.Margin).Sub(m.since)
	return min(max(rest/time.Duration(2*(left+1)), m.cfg.MinHold), m.cfg.MaxHold)
}

// waitsFor says what the next step waits for; it is empty when it can be written.
func (m *Mover) waitsFor(now time.Time, in Input) string {
	if blocked := Blocked(in.View, in.Stops, m.rule); blocked != "" {
		return "move " + blocked + " of the same service"
	}
	if !now.Before(m.rule.By.Add(-m.cfg.Margin)) {
		return "the deadline; there is no time left to finish"
	}
	next, _ := nextStep(m.rule, m.percent)
	if need := in.Capacity.NeededSlots * next / 100; float64(in.Capacity.NewSlots)*freeCapacity < need {
		return fmt.Sprintf("upstreams of version %s: %d slots in service, %.0f needed at %v %%",
			m.rule.To, in.Capacity.NewSlots, need/freeCapacity, next)
	}
	if m.percent == 0 {
		return ""
	}
	if why := m.sheds(); why != "" {
		return why
	}
	if rest := m.hold() - now.Sub(m.since); rest > 0 {
		return fmt.Sprintf("%s more at this step", rest.Round(time.Second))
	}
	return m.missingCalls(now)
}

// sheds reports a new version that refuses calls for lack of capacity, as a cold one does.
func (m *Mover) sheds() string {
	var oldRan, oldNot, newRan, newNot float64
	for key, p := range m.judge.short.total {
		if key == pooled {
			continue
		}
		oldRan, oldNot = oldRan+p.old.calls, oldNot+p.old.notRun
		newRan, newNot = newRan+p.new.calls, newNot+p.new.notRun
	}
	refusedNew := newNot / max(newRan+newNot, 1)
	refusedOld := oldNot / max(oldRan+oldNot, 1)
	if refusedNew <= refusedOld+sheddingShare {
		return ""
	}
	return fmt.Sprintf("warm upstreams of version %s: they refuse %s of calls for lack of capacity",
		m.rule.To, percent(refusedNew, 1))
}

// missingCalls names a route and class with too few calls at this step. Once the step has taken 1.5 times its time, half of
// the calls that the share lets expect are enough, since a rare route or a quiet service would never get on at 1 %. It
// is tested at the later steps.
func (m *Mover) missingCalls(now time.Time) string {
	due := m.hold() * 3 / 2
	late := now.Sub(m.since) >= due
	// expected is half the calls that the share let expect when the step was due; it doesn't grow while the step waits.
	expected := func(all float64) float64 {
		return math.Floor(all * m.percent / 200 * due.Seconds() / now.Sub(m.since).Seconds())
	}
	total, all := 0.0, 0.0
	for _, key := range sortedKeys(m.byCells) {
		p := m.byCells[key]
		total += p.new.calls
		all += p.old.calls + p.new.calls
		need := m.cfg.CallsPerCell
		if late {
			need = min(fewCalls, expected(p.old.calls+p.new.calls))
		}
		if p.new.calls < need {
			return fmt.Sprintf("%.0f calls on %s, %.0f so far", need, key, p.new.calls)
		}
	}
	need := m.cfg.CallsPerCell
	if late {
		need = max(1, min(need, expected(all)))
	}
	if total < need {
		return fmt.Sprintf("%.0f calls on version %s, %.0f so far", need, m.rule.To, total)
	}
	return ""
}
