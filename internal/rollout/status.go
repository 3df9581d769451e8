package rollout

import (
	"fmt"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
)

// State is the state of a move as shown to operators.
type State string

// The states of a move.
const (
	Waiting    State = "waiting"
	InProgress State = "in progress"
	Done       State = "done"
	RolledBack State = "rolled back"
)

// Status describes a move to operators.
type Status struct {
	Service, Move, From, To string
	State                   State
	Percent                 float64
	Since                   time.Time // start of the state or, for a move in progress, of the current step
	By                      time.Time // deadline
	Why                     string    // what the move waits for, or why it was rolled back
	Evidence                string
}

func (m *Mover) status(state configlog.MoveState) Status {
	return Status{
		Service: m.rule.Service, Move: m.name, From: m.rule.From, To: m.rule.To,
		Percent: effectivePercent(state.Percent), Since: m.since, By: m.rule.By,
	}
}

// String describes the move in one line.
func (s Status) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, move %s: %s", s.Service, s.Move, s.State)
	if s.State == InProgress {
		fmt.Fprintf(&b, " at %v %% on version %s", s.Percent, s.To)
	}
	fmt.Fprintf(&b, " since %s", s.Since.UTC().Format(time.DateTime))
	switch s.State {
	case Done:
		fmt.Fprintf(&b, "; all traffic is on version %s", s.To)
	case RolledBack:
		fmt.Fprintf(&b, "; all traffic is on version %s: %s", s.From, s.Why)
		if s.Evidence != "" {
			fmt.Fprintf(&b, " (%s)", s.Evidence)
		}
		fmt.Fprintf(&b, "; a move with a new name is needed to try again")
	default:
		if s.Why != "" {
			fmt.Fprintf(&b, "; waits for %s", s.Why)
		}
		fmt.Fprintf(&b, "; must finish by %s", s.By.UTC().Format(time.DateTime))
	}
	return b.String()
}
