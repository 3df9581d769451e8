package operators

import "time"

// Phase says how far something got.
type Phase string

// Phases of statements.
const (
	Done       Phase = "done"
	InProgress Phase = "in progress"
	RolledBack Phase = "rolled back"
	Waiting    Phase = "waiting"
)

// Kind says what a statement is about.
type Kind string

// Kinds of statements.
const (
	KindConfiguration Kind = "configuration"
	KindDataCentre    Kind = "data centre"
	KindMove          Kind = "version move"
	KindUpstream      Kind = "upstream"
	KindLog           Kind = "log"
	KindMember        Kind = "member"
	KindEntry         Kind = "entry"
)

// Statement is a plain statement on one subject.
type Statement struct {
	Kind     Kind      `json:"kind"`
	Subject  string    `json:"subject"`
	Phase    Phase     `json:"phase"`
	Why      string    `json:"why,omitempty"`
	Since    time.Time `json:"since,omitzero"`
	By       time.Time `json:"by,omitzero"`
	WaitsFor string    `json:"waitsFor,omitempty"`
	Evidence string    `json:"evidence,omitempty"`
	Text     string    `json:"text"`

	// Change differs when the statement says something new. It leaves out figures that change all the time, such as
	// running calls, which would push everything else out of the history.
	Change string `json:"change"`
}

// key identifies the subject over time.
func (s Statement) key() string { return string(s.Kind) + "\x00" + s.Subject }

// Statements derives all statements from the facts: the entry and its log first, then the configuration, data centres,
// version moves, upstreams and members.
func Statements(s State) []Statement {
	out := entryStatements(s)
	out = append(out, logStatement(s)...)
	out = append(out, configurationStatement(s))
	for _, d := range s.DataCentres {
		out = append(out, dataCentreStatement(d))
	}
	for _, m := range s.Moves {
		out = append(out, moveStatement(m))
	}
	for _, u := range s.Upstreams {
		if st, ok := upstreamStatement(s, u); ok {
			out = append(out, st)
		}
	}
	return append(out, memberStatements(s)...)
}
