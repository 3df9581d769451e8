package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
)

var start = time.Date(2026, 1, 2, 3, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func event(seconds float64, upstream string, kind emulator.EventKind, uri string) Event {
	return Event{upstream, emulator.Event{At: at(seconds), Kind: kind, ID: "id", URI: uri}}
}

func cold(e Event) Event {
	e.ColdReported = true
	return e
}

// order is a call that ran once and was answered in full.
func order(change func(*Call)) Call {
	c := Call{
		URI: "/o/1", RequestID: "id", Sent: at(1), Deadline: at(6), Answered: at(2), Outcome: client.Done, Status: 200, Whole: true,
		BodyBytes: 10, WantBytes: -1, BodyFor: "/o/1",
	}
	change(&c)
	return c
}

// sound are records without a violation.
func sound() Records {
	return Records{
		Begin: at(0), End: at(100), Calls: []Call{order(func(*Call) {})},
		Events: []Event{event(1.5, "a", emulator.EventBegun, "/o/1")},
		Spans:  []Span{{Kind: Slow, Target: "b", Begin: at(0), End: at(90)}, {Kind: Cold, Target: "c", Begin: at(95)}},
	}
}

// Guards against a checker that never finds a kind of violation, finds it twice, or names another one.
func TestEachViolationIsFound(t *testing.T) {
	probes := func(r *Records) {
		for i := range 13 {
			r.Events = append(r.Events, event(3+float64(i)*0.7, "a", emulator.EventProbe, "/-/health"))
		}
	}
	call := func(change func(*Call)) func(*Records) {
		return func(r *Records) { r.Calls = []Call{order(change)} }
	}
	for _, c := range []struct {
		name   Name
		says   string
		change func(*Records)
	}{
		{Lost, "never ran", func(r *Records) { r.Events = nil }},
		{Doubled, "ran 2 times, at a, b", func(r *Records) { r.Events = append(r.Events, event(3, "b", emulator.EventBegun, "/o/1")) }},
		{Crossed, "/o/2", call(func(c *Call) { c.BodyFor = "/o/2" })},
		{Crossed, "12 bytes", call(func(c *Call) { c.BodyBytes, c.WantBytes, c.BodyFor = 12, 10, "" })},
		{Crossed, "10 bytes", call(func(c *Call) { c.WantBytes, c.BodyFor, c.Wrong = 10, "", true })},
		{Truncated, "4 bytes", call(func(c *Call) { c.BodyBytes, c.WantBytes, c.BodyFor = 4, 10, "" })},
		{Truncated, "0 bytes", call(func(c *Call) { c.BodyBytes, c.BodyFor = 0, "" })},
		{Late, "2s after", call(func(c *Call) { c.Answered = at(8) })},
		{FalseNot, "overload", call(func(c *Call) { c.Outcome, c.Reason = client.NotRun, "overload" })},
		{Overload, "above its allowance", func(r *Records) {
			r.Events = append(r.Events, cold(event(2, "a", emulator.EventCompleted, "/o/1")), event(2.6, "a", emulator.EventOverload, "/o/9"))
		}},
		{Overload, "got /o/9 above its allowance", func(r *Records) {
			r.Spans = append(r.Spans, Span{Kind: Crash, Target: "a", Begin: at(2), End: at(2.5)})
			r.Events = append(r.Events, event(1.6, "a", emulator.EventCompleted, "/o/1"), event(2.6, "a", emulator.EventOverload, "/o/9"))
		}},
		{AfterAway, "the command for e-1", func(r *Records) {
			r.Leaves = []Leave{{What: "e-1", Upstreams: []string{"a"}, Begin: at(1), End: at(20)}}
			r.Events = append(r.Events, event(6.1, "a", emulator.EventRefused, "/o/9"))
		}},
		{AfterStop, "was rolled back", func(r *Records) {
			r.Moves = []Move{{Name: "2.1", Upstreams: []string{"n"}, Begin: at(1), Faulty: at(2), Stopped: at(4), Ended: at(30)}}
			r.Events = append(r.Events, event(9.1, "n", emulator.EventBegun, "/o/9"))
		}},
		{Reverted, "from configuration 7 to 6", func(r *Records) { r.Versions = []Version{{"x", at(1), 7}, {"x", at(2), 6}} }},
		{Behind, "had configuration 6 when 7 was due", func(r *Records) {
			r.Versions = []Version{{"x", at(1), 6}, {"x", at(25), 7}}
			r.Accepted = []Accepted{{7, at(2)}}
			r.Presences = []Presence{{"x", at(1), at(50)}}
		}},
		{Probes, "13 probes", probes},
		{StopCut, "lost its connection", func(r *Records) {
			r.Stops = []Stop{{Address: "e", Begin: at(1), End: at(9)}}
			r.Cuts = []Cut{{"e", "/o/1", at(3)}, {"f", "/o/1", at(3)}, {"e", "/o/1", at(10)}}
		}},
		{StopCut, "cut short", func(r *Records) { r.Stops = []Stop{{Address: "e", Begin: at(1), End: at(9), Err: "cut short"}} }},
	} {
		r := sound()
		c.change(&r)
		found := Check(r)
		require.Len(t, found, 1, c.name)
		assert.Equal(t, c.name, found[0].Count)
		text := found[0].text(r.Begin)
		assert.Contains(t, text, c.says)
		assert.True(t, strings.HasSuffix(text, "faults: slow b"), text)
		report := NewReport(Options{}, r)
		assert.True(t, report.Failed())
		assert.Equal(t, 1, report.Counts[c.name])
	}
}

// Guards against verdicts on what the guarantees allow.
func TestSoundRecordsHaveNoViolation(t *testing.T) {
	for name, change := range map[string]func(*Records){
		"nothing":               func(*Records) {},
		"resent and idempotent": func(r *Records) { r.Calls[0].Idempotent = true; r.Events = append(r.Events, r.Events[0]) },
		"unknown":               func(r *Records) { r.Calls[0].Outcome = client.Unknown; r.Events = append(r.Events[:0], r.Events...) },
		"ran after the refusal": func(r *Records) { r.Calls[0].Outcome, r.Calls[0].Answered = client.NotRun, at(1.2) },
		"failure with a body":   func(r *Records) { r.Calls[0].Status, r.Calls[0].BodyFor = 500, "" },
		"broken answer":         func(r *Records) { r.Calls[0].Whole, r.Calls[0].BodyFor = false, "" },
		"cold unreported":       func(r *Records) { r.Events = append(r.Events, event(3, "a", emulator.EventOverload, "/o/9")) },
		"warm again": func(r *Records) {
			r.Events = append(r.Events, cold(event(2, "a", emulator.EventCompleted, "/o/1")), event(3, "a", emulator.EventCompleted, "/o/1"),
				event(4, "a", emulator.EventOverload, "/o/9"))
		},
		"returned": func(r *Records) {
			r.Leaves = []Leave{{What: "e-1", Upstreams: []string{"a"}, Begin: at(1), End: at(20)}}
			r.Events = append(r.Events, event(5.9, "a", emulator.EventBegun, "/o/8"), event(20, "a", emulator.EventBegun, "/o/9"))
		},
		"log outage": func(r *Records) {
			r.Versions = []Version{{"x", at(1), 6}, {"x", at(25), 7}}
			r.Accepted = []Accepted{{7, at(2)}}
			r.Presences = []Presence{{"x", at(1), at(50)}}
			r.Spans = append(r.Spans, Span{Kind: LogDown, Begin: at(3), End: at(8)})
		},
		"stopped while an upstream crashed": func(r *Records) {
			r.Stops = []Stop{{Address: "e", Begin: at(1), End: at(9)}}
			r.Cuts = []Cut{{"e", "/o/1", at(3)}}
			r.Spans = append(r.Spans, Span{Kind: Crash, Target: "a", Begin: at(2.9), End: at(8)})
		},
	} {
		r := sound()
		change(&r)
		assert.Empty(t, Check(r), name)
	}
}

// Guards against a schedule that changes between runs, leaves out kinds, or overlaps faults that exclude each other.
func TestPlan(t *testing.T) {
	plan := Plan(3, 10*time.Minute, Kinds())
	assert.Equal(t, plan, Plan(3, 10*time.Minute, Kinds()))
	assert.NotEqual(t, plan, Plan(4, 10*time.Minute, Kinds()))
	seen, together, ends := map[Kind]bool{}, 0, map[string]time.Duration{}
	for i, f := range plan {
		seen[f.Kind] = true
		if i > 0 && f.At == plan[i-1].At {
			together++
		}
		if group := exclusive(f.Kind); group != "" {
			assert.GreaterOrEqual(t, f.At, ends[group])
			ends[group] = f.At + f.For
		}
	}
	assert.Len(t, seen, len(Kinds()))
	assert.Positive(t, together)
	only, err := ParseKinds([]string{"cold", "kill"})
	require.NoError(t, err)
	assert.Equal(t, []Kind{Cold, Kill}, only)
	_, err = ParseKinds([]string{"flood"})
	assert.ErrorContains(t, err, "flood")
}

// Guards against figures of a bad version that count the good one, or the time before its faults.
func TestMoveFigures(t *testing.T) {
	m := Move{Name: "bad", Upstreams: []string{"n"}, Old: []string{"o"}, Begin: at(0), Faulty: at(2), Stopped: at(4), Ended: at(9)}
	var events []Event
	for _, e := range []struct {
		at float64
		up string
	}{{1, "n"}, {2.5, "n"}, {3, "o"}, {3.1, "o"}, {3.2, "o"}, {4.5, "n"}, {5, "o"}, {3, "other"}} {
		events = append(events, event(e.at, e.up, emulator.EventBegun, "/o"))
	}
	assert.Equal(t, MoveFigures{Name: "bad", Bad: true, Share: 0.25, BadFor: 2 * time.Second, RunsAfter: 1}, figures(m, events))
}
