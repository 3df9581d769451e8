package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
)

// Report is the outcome of a run.
type Report struct {
	Seed       uint64         `json:"seed"`
	Duration   time.Duration  `json:"durationNs"`
	Begin      time.Time      `json:"begin"`
	Faults     map[Kind]int   `json:"faults"`   // begun, by kind
	Outcomes   map[string]int `json:"outcomes"` // calls by outcome, and by reason if not done
	Calls      int            `json:"calls"`
	Runs       int            `json:"runs"`
	Probes     int            `json:"probes"`
	Counts     map[Name]int   `json:"counts"`
	Moves      []MoveFigures  `json:"moves,omitempty"`
	Changes    int            `json:"changes"` // accepted configurations
	Overloads  int            `json:"overloads"`
	Violations []Violation    `json:"violations"`
}

// MoveFigures say how a version move went. Of a bad version, Share is the part of the service's runs that it got from the
// begin of its faults to the roll-back, or to the end without one.
type MoveFigures struct {
	Name      string        `json:"name"`
	State     string        `json:"state"`
	Why       string        `json:"why,omitempty"`
	Bad       bool          `json:"bad"`
	Share     float64       `json:"share"`
	BadFor    time.Duration `json:"badForNs"`
	RunsAfter int           `json:"runsAfter"` // runs of the bad version after the roll-back
}

// NewReport judges the records.
func NewReport(o Options, r Records) *Report {
	out := &Report{
		Seed: o.Seed, Duration: o.Duration, Begin: r.Begin, Faults: map[Kind]int{}, Outcomes: map[string]int{}, Calls: len(r.Calls),
		Counts: map[Name]int{}, Changes: len(r.Accepted), Violations: Check(r),
	}
	for _, s := range r.Spans {
		out.Faults[s.Kind]++
	}
	for _, c := range r.Calls {
		name := string(c.Outcome)
		if c.Outcome != client.Done {
			name = c.ending()
		}
		out.Outcomes[name]++
	}
	for _, e := range r.Events {
		switch e.Kind {
		case emulator.EventBegun:
			out.Runs++
		case emulator.EventProbe:
			out.Probes++
		case emulator.EventOverload:
			out.Overloads++
		}
	}
	for _, name := range Names() {
		out.Counts[name] = 0
	}
	for _, v := range out.Violations {
		out.Counts[v.Count]++
	}
	for _, m := range r.Moves {
		out.Moves = append(out.Moves, figures(m, r.Events))
	}
	return out
}

// ending names the end of a call that wasn't done.
func (c Call) ending() string {
	name := string(c.Outcome) + " " + c.Reason
	if c.First != "" {
		name += ", first " + c.First
	}
	switch {
	case c.Idempotent || c.RequestID == "":
	case strings.HasPrefix(c.RequestID, "bh1."):
		name += ", minted ID"
	default:
		name += ", opaque ID"
	}
	return name
}

func figures(m Move, events []Event) MoveFigures {
	out := MoveFigures{Name: m.Name, State: m.State, Why: m.Why, Bad: !m.Faulty.IsZero()}
	if !out.Bad {
		return out
	}
	until := m.Stopped
	if until.IsZero() {
		until = m.Ended
	}
	out.BadFor = until.Sub(m.Faulty)
	fresh, all := 0, 0
	for _, e := range events {
		isNew, isOld := slices.Contains(m.Upstreams, e.Upstream), slices.Contains(m.Old, e.Upstream)
		if e.Kind != emulator.EventBegun || !isNew && !isOld || e.At.Before(m.Faulty) || e.At.After(m.Ended) {
			continue
		}
		switch {
		case e.At.After(until):
			if isNew {
				out.RunsAfter++
			}
			continue
		case isNew:
			fresh++
		}
		all++
	}
	if all > 0 {
		out.Share = float64(fresh) / float64(all)
	}
	return out
}

// Failed reports whether a guarantee was broken.
func (r *Report) Failed() bool { return len(r.Violations) > 0 }

// WriteText writes the summary table and a line for each violation.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "seed\t%d\nduration\t%s\ncalls\t%d\nruns\t%d\nchanges\t%d\nprobes\t%d\noverloads of cold upstreams\t%d\n", r.Seed, r.Duration,
		r.Calls, r.Runs, r.Changes, r.Probes, r.Overloads)
	for _, name := range sortedKeys(r.Outcomes) {
		_, _ = fmt.Fprintf(t, "  %s\t%d\n", name, r.Outcomes[name])
	}
	var faults []string
	for _, k := range sortedKeys(r.Faults) {
		faults = append(faults, fmt.Sprintf("%s %d", k, r.Faults[k]))
	}
	_, _ = fmt.Fprintf(t, "faults\t%s\n", strings.Join(faults, ", "))
	for _, m := range r.Moves {
		_, _ = fmt.Fprintf(t, "move %s\t%s", m.Name, m.State)
		if m.Bad {
			_, _ = fmt.Fprintf(t, ", %.1f %% of the runs in the %s of its faults, %d after", 100*m.Share, m.BadFor.Round(time.Millisecond), m.RunsAfter)
		}
		if m.Why != "" {
			_, _ = fmt.Fprintf(t, " (%s)", m.Why)
		}
		_, _ = fmt.Fprintln(t)
	}
	_, _ = fmt.Fprintln(t, "\nviolations")
	for _, name := range Names() {
		_, _ = fmt.Fprintf(t, "  %s\t%d\n", name, r.Counts[name])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, v := range r.Violations {
		if _, err := fmt.Fprintln(w, v.text(r.Begin)); err != nil {
			return err
		}
	}
	return nil
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	var out []K
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
