package operators

import (
	"fmt"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/rollout"
)

// maxNamed is the number of entries that a statement names; a list of hundreds cannot be read.
const maxNamed = 5

func stamp(t time.Time) string { return t.UTC().Format(time.DateTime) }

// since returns " since TIME", or nothing when the time is unknown.
func since(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return " since " + stamp(t)
}

// because returns " (REASON)", or nothing without a reason. Reasons come as nouns, clauses and error texts.
func because(reason string) string {
	if reason == "" {
		return ""
	}
	return " (" + reason + ")"
}

// by returns " by OPERATOR", or nothing when it is unknown.
func by(operator string) string {
	if operator == "" {
		return ""
	}
	return " by " + operator
}

// count returns the number with the word in singular or plural.
func count(n int, word string) string {
	switch {
	case n == 1:
		return "1 " + word
	case strings.HasSuffix(word, "ry"):
		return fmt.Sprintf("%d %sies", n, strings.TrimSuffix(word, "y"))
	default:
		return fmt.Sprintf("%d %ss", n, word)
	}
}

// run returns the verb for a number of calls.
func run(n int) string {
	if n == 1 {
		return "runs"
	}
	return "run"
}

func named(names []string) string {
	if len(names) > maxNamed {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNamed], ", "), len(names)-maxNamed)
	}
	return strings.Join(names, ", ")
}

func entryStatements(s State) []Statement {
	var out []Statement
	if s.Self.Stopping {
		st := Statement{
			Kind: KindEntry, Subject: s.Self.Host, Phase: InProgress, By: s.Self.StopBy,
			Why: "a planned stop", WaitsFor: count(s.Self.RunningCalls, "running call"), Change: "stopping",
		}
		st.Text = fmt.Sprintf("entry %s is stopping as planned; waits for %s and for callers to let go of its address",
			s.Self.Host, st.WaitsFor)
		if !st.By.IsZero() {
			st.Text += "; ends by " + stamp(st.By)
		}
		out = append(out, st)
	}
	if !s.Self.ViewConfirmed && s.Configuration.Version > 0 {
		out = append(out, Statement{
			Kind: KindEntry, Subject: s.Self.Host + " view", Phase: Waiting, Change: "unconfirmed",
			WaitsFor: "a majority of the entries of " + s.Self.DataCentre + " to report the same view",
			Text: fmt.Sprintf("entry %s gives no work to cold upstreams; waits for a majority of the entries of %s to report "+
				"the same view; warm upstreams are served", s.Self.Host, s.Self.DataCentre),
		})
	}
	return out
}

func logStatement(s State) []Statement {
	if !s.Log.Used || s.Log.Reachable {
		return nil
	}
	st := Statement{
		Kind: KindLog, Subject: "log", Phase: Waiting, Why: s.Log.Problem, Since: s.Log.LastRead,
		WaitsFor: "the platform's log", Change: "unreachable",
	}
	st.Text = "the log cannot be read"
	if s.Log.LastRead.IsZero() {
		st.Text += " since the start of this entry"
	} else {
		st.Text += since(s.Log.LastRead)
	}
	st.Text += because(s.Log.Problem) + "; the configuration in force stays, no change is accepted and no move makes a step"
	return []Statement{st}
}

func configurationStatement(s State) Statement {
	c := s.Configuration
	st := Statement{Kind: KindConfiguration, Subject: "configuration", Since: c.Since}
	if c.Version == 0 {
		st.Phase, st.WaitsFor, st.Change = Waiting, "the first change in the log", "none"
		st.Text = "no configuration is in force; waits for the first change in the log"
		return st
	}
	behind := Behind(c, s.Members)
	what := fmt.Sprintf("configuration %d%s", c.Version, by(c.Operator))
	st.Change = fmt.Sprint(c.Version)
	switch {
	case len(behind) > 0:
		st.Phase, st.WaitsFor = InProgress, named(behind)
		st.Text = fmt.Sprintf("%s is in force here%s, not yet on all %s; waits for %s", what, since(c.Since),
			count(len(s.Members), "entry"), st.WaitsFor)
	case len(s.Members) == 1:
		st.Phase = Done
		st.Text = fmt.Sprintf("%s is in force on the only entry%s", what, since(c.Since))
	default:
		st.Phase = Done
		st.Text = fmt.Sprintf("%s is in force on all %s%s", what, count(len(s.Members), "entry"), since(c.Since))
	}
	return st
}

// Behind names the live entries that don't have the configuration in force yet; it is empty when all have it. Of other
// data centres only the lowest version is known, so their entries are not named.
func Behind(c Configuration, members []Member) []string {
	if c.LowestVersion >= c.Version {
		return nil
	}
	var out []string
	for _, m := range members {
		if m.Version > 0 && m.Version < c.Version {
			out = append(out, fmt.Sprintf("%s (has %d)", m.Host, m.Version))
		}
	}
	if len(out) == 0 {
		return []string{"entries whose version is not known yet"}
	}
	return out
}

func dataCentreStatement(d DataCentre) Statement {
	st := Statement{Kind: KindDataCentre, Subject: d.Name, Since: d.Since, Why: d.Reason}
	switch {
	case d.Leaving:
		leavingText(&st, d)
	case d.Returning && d.Cold > 0:
		st.Phase = InProgress
		st.WaitsFor = count(d.Cold, "cold upstream")
		st.Text = fmt.Sprintf("data centre %s returns%s: %d of %s %s warm; waits for the others", d.Name, since(d.Since),
			d.Upstreams-d.Cold, count(d.Upstreams, "upstream"), are(d.Upstreams-d.Cold))
		st.Change = "returns"
	default:
		st.Phase, st.Why = Done, ""
		st.Text = fmt.Sprintf("data centre %s is in service%s with %s and %s", d.Name, since(d.Since),
			count(d.Entries, "entry"), count(d.Upstreams, "upstream"))
		st.Change = "in service"
	}
	return st
}

func leavingText(st *Statement, d DataCentre) {
	who := ""
	if d.Urgent {
		who = " by the urgent command" + strings.Replace(by(d.Operator), " by", " of", 1)
	}
	open := d.RunningCalls + d.QueuedCalls
	if d.KnownPools < d.Pools {
		st.Phase, st.WaitsFor = InProgress, "figures of the other pools"
		st.Text = fmt.Sprintf("data centre %s is leaving%s%s%s; gets no new calls; this entry sees %s in %d of its %s", d.Name, who,
			since(d.Since), because(d.Reason), count(open, "call"), d.KnownPools, count(d.Pools, "pool"))
		st.Change = "leaving" + d.Reason
		return
	}
	if open == 0 {
		st.Phase = Done
		st.Text = fmt.Sprintf("data centre %s is out of service%s%s%s; no call runs there", d.Name, who, since(d.Since),
			because(d.Reason))
		st.Change = "out of service" + d.Reason
		return
	}
	st.Phase = InProgress
	st.WaitsFor = count(open, "call")
	st.Text = fmt.Sprintf("data centre %s is leaving%s%s%s; gets no new calls; waits for %s that still %s there", d.Name,
		who, since(d.Since), because(d.Reason), count(open, "call"), run(open))
	st.Change = "leaving" + d.Reason
}

func are(n int) string {
	if n == 1 {
		return "is"
	}
	return "are"
}

func moveStatement(m rollout.Status) Statement {
	st := Statement{
		Kind: KindMove, Subject: m.Service + " " + m.Move, Since: m.Since, By: m.By, Evidence: m.Evidence,
		Text: "service " + m.String(), Change: fmt.Sprint(m.State, m.Percent),
	}
	switch m.State {
	case rollout.Done:
		st.Phase = Done
	case rollout.RolledBack:
		st.Phase, st.Why = RolledBack, m.Why
	case rollout.InProgress:
		st.Phase, st.WaitsFor = InProgress, m.Why
	default:
		st.Phase, st.WaitsFor = Waiting, m.Why
	}
	return st
}

// upstreamStatement returns no statement for a healthy upstream.
func upstreamStatement(s State, u Upstream) (Statement, bool) {
	st := Statement{
		Kind: KindUpstream, Subject: u.Name, Phase: InProgress, Why: u.Reason, Since: u.Since,
		Change: string(u.Health) + u.Reason,
	}
	what := fmt.Sprintf("upstream %s of %s in %s", u.Name, u.Service, u.DataCentre)
	switch u.Health {
	case dispatch.Ejected:
		st.By = u.EjectedUntil
		st.WaitsFor = "the next trial"
		st.Text = what + " is ejected" + since(u.Since) + because(u.Reason)
		if !u.EjectedUntil.IsZero() {
			st.Text += "; is tried again at " + stamp(u.EjectedUntil)
		}
	case dispatch.Cold:
		st.WaitsFor = "successes at normal latency"
		st.Text = fmt.Sprintf("%s is cold%s%s; may run %d of %s; each series of successes doubles that", what,
			since(u.Since), because(u.Reason), u.Allowance, count(u.Slots, "call"))
		if !s.Self.ViewConfirmed {
			st.WaitsFor = "a confirmed view"
			st.Text = fmt.Sprintf("%s is cold%s%s; gets no work; waits for a confirmed view", what, since(u.Since),
				because(u.Reason))
		}
	case dispatch.Leaving:
		leavingUpstream(&st, u, what)
	default:
		return Statement{}, false
	}
	return st, true
}

func leavingUpstream(st *Statement, u Upstream, what string) {
	if u.InFlight == 0 {
		st.Phase = Done
		st.Text = fmt.Sprintf("%s is out of service%s, %s; no call runs there", what, since(u.Since), u.Reason)
		return
	}
	st.WaitsFor = count(u.InFlight, "call")
	st.Text = fmt.Sprintf("%s is leaving%s, %s; gets no new calls; waits for %s that still %s there", what, since(u.Since),
		u.Reason, st.WaitsFor, run(u.InFlight))
}

func memberStatements(s State) []Statement {
	var out []Statement
	for _, m := range s.Members {
		st := Statement{Kind: KindMember, Subject: m.Host, Phase: Done, Change: "live" + m.Incarnation}
		st.Text = fmt.Sprintf("entry %s in %s is a live member", m.Host, m.DataCentre)
		if m.Leaving {
			st.Phase, st.Why, st.Change = InProgress, "a planned stop", "leaving"
			st.Text = fmt.Sprintf("entry %s in %s is leaving; owns no pools and finishes its calls", m.Host, m.DataCentre)
		}
		out = append(out, st)
	}
	return out
}

// goneStatement is recorded when a statement is no longer made.
func goneStatement(old Statement) Statement {
	st := Statement{Kind: old.Kind, Subject: old.Subject, Phase: Done}
	switch old.Kind {
	case KindUpstream:
		st.Text = fmt.Sprintf("upstream %s is healthy, has left the configuration, or is owned by another entry now", old.Subject)
	case KindLog:
		st.Text = "the log can be read again"
	case KindMember:
		st.Text = fmt.Sprintf("entry %s is no longer a live member", old.Subject)
	case KindMove:
		st.Text = fmt.Sprintf("the configuration no longer names the move %s", old.Subject)
	case KindDataCentre:
		st.Text = fmt.Sprintf("the configuration no longer names data centre %s", old.Subject)
	default:
		st.Text = fmt.Sprintf("no longer true: %s", old.Text)
	}
	return st
}

func leaveText(r LeaveResult, l Leaving) string {
	var b strings.Builder
	if r.Known {
		fmt.Fprintf(&b, "data centre %s was leaving already", r.DataCentre)
	} else {
		fmt.Fprintf(&b, "data centre %s leaves at once%s; %s told", r.DataCentre, because(l.Reason), wasOrWere(r.Told, "entry"))
	}
	if r.Logged {
		b.WriteString("; the log holds it")
	} else {
		b.WriteString("; the log does not hold it yet, entries pass it on to each other until it does")
	}
	fmt.Fprintf(&b, "; a configuration after %d that names the state of the data centre lifts it", r.Base)
	return b.String()
}

func wasOrWere(n int, word string) string {
	if n == 1 {
		return count(n, word) + " was"
	}
	return count(n, word) + " were"
}
