package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
)

// Name names a count of violations.
type Name string

// Counts of violations.
const (
	Lost      Name = "lost"            // answered done, but never ran
	Doubled   Name = "doubled"         // not idempotent, and ran more than once
	Crossed   Name = "crossed"         // an answer of another request
	Truncated Name = "truncated"       // an incomplete answer that looked whole
	Late      Name = "late"            // answered after the deadline
	FalseNot  Name = "false not-run"   // ran before the answer "not run"
	Overload  Name = "cold overload"   // work above what a cold upstream can bear
	AfterAway Name = "after leaving"   // work 5 s after the command for an upstream or a data centre
	AfterStop Name = "after rollback"  // work of a bad version 5 s after its move was rolled back
	Reverted  Name = "config reverted" // an entry went back to an older configuration
	Behind    Name = "config behind"   // an entry without a configuration 18 s after it was accepted
	Probes    Name = "probes"          // more probes than the budget
	StopCut   Name = "cut by stop"     // a call that a planned stop cut
)

// Names lists the counts in the order of the report.
func Names() []Name {
	return []Name{Lost, Doubled, Crossed, Truncated, Late, FalseNot, Overload, AfterAway, AfterStop, Reverted, Behind, Probes, StopCut}
}

// SafetyNames are the counts that depend on no bound in time.
func SafetyNames() []Name { return []Name{Lost, Doubled, Crossed, Truncated, FalseNot, Reverted} }

// Bounds of the design page.
const (
	leaveBound  = 5 * time.Second
	configBound = 18 * time.Second
)

const (
	// lateGrace is the time that a busy machine may take to schedule the caller once its timer fired.
	lateGrace = time.Second
	// coldGrace is the time after the first response that reports a cold upstream. Calls that were granted before it
	// arrived have begun by then.
	coldGrace = 200 * time.Millisecond
	// connectionKept is the time after an answer within which an owner still has a connection, whose end shows a crash.
	connectionKept = 5 * time.Second
)

// Violation is one broken guarantee.
type Violation struct {
	Count     Name      `json:"count"`
	At        time.Time `json:"at"`
	RequestID string    `json:"requestId,omitempty"`
	What      string    `json:"what"`
	Faults    []string  `json:"faults,omitempty"`
}

func (v Violation) text(begin time.Time) string {
	id := v.RequestID
	if id == "" {
		id = "-"
	}
	faults := strings.Join(v.Faults, ", ")
	if faults == "" {
		faults = "none"
	}
	return fmt.Sprintf("%s at %.3f s, request %s: %s; faults: %s", v.Count, v.At.Sub(begin).Seconds(), id, v.What, faults)
}

// checker collects the violations.
type checker struct {
	r   Records
	out []Violation
}

// Check returns the violations in the records, in order of time. Events must be in order.
func Check(r Records) []Violation {
	c := &checker{r: r}
	c.calls()
	c.cold()
	c.leaves()
	c.moves()
	c.versions()
	c.probes()
	c.stops()
	slices.SortStableFunc(c.out, func(a, b Violation) int { return a.At.Compare(b.At) })
	return c.out
}

func (c *checker) add(name Name, at time.Time, id, format string, args ...any) {
	v := Violation{Count: name, At: at, RequestID: id, What: fmt.Sprintf(format, args...)}
	for _, s := range c.r.Spans {
		if s.covers(at) {
			v.Faults = append(v.Faults, strings.TrimSpace(string(s.Kind)+" "+s.Target))
		}
	}
	c.out = append(c.out, v)
}

func (c *checker) calls() {
	runs := map[string][]Event{}
	for _, e := range c.r.Events {
		if e.Kind == emulator.EventBegun {
			runs[e.URI] = append(runs[e.URI], e)
		}
	}
	for _, call := range c.r.Calls {
		c.ran(call, runs[call.URI])
		c.answer(call)
	}
}

// ran compares the end of a call with its runs.
func (c *checker) ran(call Call, runs []Event) {
	if len(runs) > 1 && !call.Idempotent {
		c.add(Doubled, runs[1].At, call.RequestID, "%s ran %d times, at %s", call.URI, len(runs), upstreamsOf(runs))
	}
	if call.Outcome == client.Done && len(runs) == 0 {
		c.add(Lost, call.Answered, call.RequestID, "%s was answered with %d and never ran", call.URI, call.Status)
	}
	if call.Outcome == client.NotRun && len(runs) > 0 && runs[0].At.Before(call.Answered) {
		c.add(FalseNot, call.Answered, call.RequestID, "%s was refused (%s), but ran at %s", call.URI, call.Reason, upstreamsOf(runs))
	}
}

func upstreamsOf(runs []Event) string {
	var out []string
	for _, e := range runs {
		out = append(out, e.Upstream)
	}
	return strings.Join(out, ", ")
}

// answer judges the time and the body of an answer.
func (c *checker) answer(call Call) {
	if late := call.Answered.Sub(call.Deadline); late > lateGrace {
		c.add(Late, call.Answered, call.RequestID, "%s was answered %s after its deadline", call.URI, late.Round(time.Millisecond))
	}
	if call.Outcome != client.Done || call.Status != 200 || !call.Whole {
		return
	}
	switch {
	case call.Wrong || call.BodyFor != "" && call.BodyFor != call.URI || call.WantBytes >= 0 && call.BodyBytes > call.WantBytes:
		c.add(Crossed, call.Answered, call.RequestID, "%s got the answer of %q, %d bytes", call.URI, call.BodyFor, call.BodyBytes)
	case call.WantBytes >= 0 && call.BodyBytes < call.WantBytes, call.WantBytes < 0 && call.BodyFor == "":
		c.add(Truncated, call.Answered, call.RequestID, "%s got %d bytes", call.URI, call.BodyBytes)
	}
}
