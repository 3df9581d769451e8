package soak

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"
)

// eventCrashed is a crash among the events of an upstream.
const eventCrashed emulator.EventKind = "crashed"

// cold judges the work that a cold upstream got above its allowance, once it had reported that it is cold, or had lost
// its connections in a crash.
func (c *checker) cold() {
	since, answered := map[string]time.Time{}, map[string]time.Time{}
	for _, e := range c.withCrashes() {
		first := since[e.Upstream]
		if e.Kind == emulator.EventCompleted {
			answered[e.Upstream] = e.At
		}
		switch {
		case e.Kind == eventCrashed && e.At.Sub(answered[e.Upstream]) < connectionKept:
			since[e.Upstream] = e.At.Add(-coldGrace)
		case e.Kind == emulator.EventCompleted && !e.ColdReported:
			delete(since, e.Upstream)
		case e.Kind == emulator.EventCompleted && first.IsZero():
			since[e.Upstream] = e.At
		case e.Kind == emulator.EventOverload && !first.IsZero() && e.At.Sub(first) > coldGrace:
			c.add(Overload, e.At, e.ID, "%s got %s above its allowance, %s after it was known to be cold", e.Upstream, e.URI,
				e.At.Sub(first).Round(time.Millisecond))
		}
	}
}

// withCrashes returns the events with the crashes of the schedule among them.
func (c *checker) withCrashes() []Event {
	out := slices.Clone(c.r.Events)
	for _, s := range c.r.Spans {
		if s.Kind == Crash {
			out = append(out, Event{s.Target, emulator.Event{At: s.Begin, Kind: eventCrashed}})
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int { return a.At.Compare(b.At) })
	return out
}

// leaves judges the work that arrived after an upstream or a data centre had to be free of new work.
func (c *checker) leaves() {
	for _, l := range c.r.Leaves {
		limit := l.Begin.Add(leaveBound)
		for _, e := range c.r.Events {
			work := e.Kind == emulator.EventBegun || e.Kind == emulator.EventRefused
			if !work || !slices.Contains(l.Upstreams, e.Upstream) || !e.At.After(limit) || !l.End.IsZero() && !e.At.Before(l.End) {
				continue
			}
			c.add(AfterAway, e.At, e.ID, "%s got %s %s after the command for %s", e.Upstream, e.URI,
				e.At.Sub(l.Begin).Round(time.Millisecond), l.What)
		}
	}
}

// moves judges the work of a bad version after its move was rolled back.
func (c *checker) moves() {
	for _, m := range c.r.Moves {
		if m.Stopped.IsZero() {
			continue
		}
		for _, e := range c.r.Events {
			after := e.At.Sub(m.Stopped)
			if e.Kind == emulator.EventBegun && after > leaveBound && e.At.Before(m.Ended) && slices.Contains(m.Upstreams, e.Upstream) {
				c.add(AfterStop, e.At, e.ID, "%s got %s %s after %s was rolled back", e.Upstream, e.URI, after.Round(time.Millisecond), m.Name)
			}
		}
	}
}

// versions judges the configurations in force.
func (c *checker) versions() {
	byRun := map[string][]Version{}
	for _, v := range c.r.Versions {
		seen := byRun[v.Incarnation]
		if n := len(seen); n > 0 && v.Version < seen[n-1].Version {
			c.add(Reverted, v.At, "", "entry %s went from configuration %d to %d", v.Incarnation, seen[n-1].Version, v.Version)
		}
		byRun[v.Incarnation] = append(seen, v)
	}
	for _, a := range c.r.Accepted {
		due := c.due(a.At)
		for _, p := range c.r.Presences {
			if p.Begin.After(due) || p.End.Before(due) {
				continue
			}
			if have := versionAt(byRun[p.Incarnation], due); have < a.Version {
				c.add(Behind, due, "", "entry %s had configuration %d when %d was due", p.Incarnation, have, a.Version)
			}
		}
	}
}

// due returns when a configuration must be in force. An outage of the log that overlaps the bound extends it.
func (c *checker) due(accepted time.Time) time.Time {
	due := accepted.Add(configBound)
	for _, s := range c.r.Spans {
		if s.Kind != LogDown || s.Begin.After(due) || !s.End.IsZero() && s.End.Before(accepted) {
			continue
		}
		if s.End.IsZero() {
			return c.r.End.Add(configBound)
		}
		due = later(due, s.End.Add(configBound))
	}
	return due
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func versionAt(list []Version, at time.Time) int64 {
	have := int64(0)
	for _, v := range list {
		if !v.At.After(at) {
			have = v.Version
		}
	}
	return have
}

// probes judges windows of probeWindow against 1 probe a second, with one more for each border and for each entry that
// ended, because the next owner doesn't know when its predecessor probed last.
func (c *checker) probes() {
	const probeWindow = 10 * time.Second
	byUpstream := map[string]*[]time.Time{}
	for _, e := range c.r.Events {
		if e.Kind != emulator.EventProbe {
			continue
		}
		if byUpstream[e.Upstream] == nil {
			byUpstream[e.Upstream] = &[]time.Time{}
		}
		kept := byUpstream[e.Upstream]
		*kept = append(*kept, e.At)
		list := *kept
		for e.At.Sub(list[0]) > probeWindow {
			list = list[1:]
		}
		limit := int(probeWindow/time.Second) + 2
		for _, s := range c.r.Spans {
			if (s.Kind == Kill || s.Kind == PlannedStop) && s.Begin.Before(e.At) && (s.End.IsZero() || s.End.After(list[0])) {
				limit += 2 // away, and back to the replacement
			}
		}
		if len(list) > limit {
			c.add(Probes, e.At, "", "%s got %d probes within %s", e.Upstream, len(list), probeWindow)
			list = nil
		}
		*kept = list
	}
}

// stops judges the calls that planned stops cut.
func (c *checker) stops() {
	for _, s := range c.r.Stops {
		if s.Err != "" {
			c.add(StopCut, s.End, "", "the planned stop of %s: %s", s.Address, s.Err)
		}
		for _, cut := range c.r.Cuts {
			if cut.Address == s.Address && cut.At.After(s.Begin) && !cut.At.After(s.End) && !c.lostUpstream(cut.At) {
				c.add(StopCut, cut.At, "", "%s lost its connection to %s", cut.URI, s.Address)
			}
		}
	}
}

// lostUpstream reports whether an upstream or another entry went away shortly before. An answer that had begun must end
// in a lost connection then.
func (c *checker) lostUpstream(at time.Time) bool {
	for _, s := range c.r.Spans {
		switch s.Kind {
		case Crash, Poison, Silence, Kill, LinkCut:
			if !at.Before(s.Begin) && (s.End.IsZero() || at.Before(s.End.Add(time.Second))) {
				return true
			}
		}
	}
	return false
}
