package soak

import (
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/emulator"
)

// Call is a call as its caller saw it, resends included. URI names it at the upstreams and is unique in the run.
type Call struct {
	URI        string
	RequestID  string
	Idempotent bool
	Sent       time.Time
	Deadline   time.Time
	Answered   time.Time
	Outcome    client.Outcome
	Status     int
	Reason     string
	First      string // reason of the first answer, when the call was resent with its ID
	Whole      bool   // the body ended without an error
	BodyBytes  int64
	WantBytes  int64  // -1 when the length depends on the request ID
	BodyFor    string // URI in the body of an echo; empty for a download
	Wrong      bool   // the bytes of a download differ
}

// Event is an event at an upstream.
type Event struct {
	Upstream string
	emulator.Event
}

// Span is a fault under way. End is zero while it lasts.
type Span struct {
	Kind   Kind
	Target string
	Begin  time.Time
	End    time.Time
}

func (s Span) covers(at time.Time) bool {
	return !at.Before(s.Begin) && (s.End.IsZero() || at.Before(s.End))
}

// Leave is an upstream or a data centre out of service: from the accepted command to the begin of the return.
type Leave struct {
	What      string
	Upstreams []string
	Begin     time.Time
	End       time.Time // zero: until the end of the run
}

// Move is a version move. Faulty is when its faults began; zero for a good version. Stopped is when the first entry
// showed it as rolled back.
type Move struct {
	Name      string
	Upstreams []string // of the new version
	Old       []string
	Begin     time.Time
	Faulty    time.Time
	Stopped   time.Time
	Ended     time.Time // of the last look at its state
	State     string
	Why       string // of the roll-back
}

// Version is the configuration in force at one run of an entry, recorded when it changes.
type Version struct {
	Incarnation string
	At          time.Time
	Version     int64
}

// Presence is the time during which a run of an entry was ready and not stopping.
type Presence struct {
	Incarnation string
	Begin, End  time.Time
}

// Accepted is a configuration that was read back as accepted.
type Accepted struct {
	Version int64
	At      time.Time
}

// Cut is a connection to an entry that was lost after the request was sent, or the error of a planned stop.
type Cut struct {
	Address string
	URI     string
	At      time.Time
}

// Stop is a planned stop of an entry.
type Stop struct {
	Address    string
	Begin, End time.Time
	Err        string // calls that Run says were cut
}

// Records are all records of a run.
type Records struct {
	Begin, End time.Time
	Calls      []Call
	Events     []Event
	Spans      []Span
	Leaves     []Leave
	Moves      []Move
	Versions   []Version
	Presences  []Presence
	Accepted   []Accepted
	Cuts       []Cut
	Stops      []Stop
}

// recorder collects records. It is safe for concurrent use.
type recorder struct {
	mu sync.Mutex
	r  Records
}

func (c *recorder) add(f func(r *Records)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.r)
}

func (c *recorder) observe(upstream string, e emulator.Event) {
	c.add(func(r *Records) { r.Events = append(r.Events, Event{upstream, e}) })
}

// begin opens a span and returns the function that ends it.
func (c *recorder) begin(kind Kind, target string) func() {
	var i int
	c.add(func(r *Records) {
		i = len(r.Spans)
		r.Spans = append(r.Spans, Span{Kind: kind, Target: target, Begin: time.Now()})
	})
	return func() { c.add(func(r *Records) { r.Spans[i].End = time.Now() }) }
}

// records returns a copy with the events in order.
func (c *recorder) records() Records {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.r
	out.End = time.Now()
	out.Calls, out.Events, out.Spans = slices.Clone(c.r.Calls), slices.Clone(c.r.Events), slices.Clone(c.r.Spans)
	out.Leaves, out.Moves, out.Versions = slices.Clone(c.r.Leaves), slices.Clone(c.r.Moves), slices.Clone(c.r.Versions)
	out.Presences, out.Accepted = slices.Clone(c.r.Presences), slices.Clone(c.r.Accepted)
	out.Cuts, out.Stops = slices.Clone(c.r.Cuts), slices.Clone(c.r.Stops)
	slices.SortStableFunc(out.Events, func(a, b Event) int { return a.At.Compare(b.At) })
	return out
}
