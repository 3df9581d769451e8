package rollout

import (
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Buckets is the number of latency buckets. Bucket i counts latencies from 100 us * 2^(i-1) to 100 us * 2^i; the first
// one starts at 0 and the last one has no end.
const Buckets = 22

// Sample counts the calls of one route, class and version since the last sample of the same source.
type Sample struct {
	Route, Class, Version string
	// Cold marks calls to upstreams in cold start. They don't count for latency, and for failures only when at least
	// half of them fail.
	Cold bool
	// Calls ran; refusals for lack of capacity are in NotRun alone. Failures are calls that ran and failed, by a lost
	// connection, a time out or a 5xx status.
	Calls, Failures, NotRun int
	// Latency is the time from dispatch to the answer, without the wait in the queue, of the calls that succeeded.
	Latency [Buckets]int
}

// FromWire converts a peer's statistics of one route. Missing fields count 0, negative ones too. Calls to cold upstreams
// come in an entry of their own; a mixed entry counts as cold only if at least half of it is, since the failures and
// latencies of cold calls weigh less.
func FromWire(r wire.RouteStatistics) Sample {
	s := Sample{Route: r.Route, Class: r.Class, Version: r.Version}
	if r.Calls != nil {
		s.Calls = max(0, *r.Calls)
	}
	if r.Failures != nil {
		s.Failures = min(max(0, *r.Failures), s.Calls)
	}
	if r.NotRun != nil {
		s.NotRun = max(0, *r.NotRun)
	}
	if r.Cold != nil {
		s.Cold = *r.Cold > 0 && 2*float64(*r.Cold) >= float64(s.Calls)+float64(s.NotRun)
	}
	for i, n := range r.LatencyBuckets {
		s.Latency[min(i, Buckets-1)] += max(0, n)
	}
	return s
}

type cellKey struct {
	route, class string
	cold         bool
}

type count struct {
	calls, failures, notRun float64
	latency                 [Buckets]float64
}

func (c *count) add(o *count, sign float64) {
	c.calls += sign * o.calls
	c.failures += sign * o.failures
	c.notRun += sign * o.notRun
	for i, n := range o.latency {
		if n != 0 {
			c.latency[i] += sign * n
		}
	}
}

func (c *count) empty() bool { return c.calls+c.notRun == 0 }

func (c *count) timed() float64 {
	n := 0.0
	for _, v := range c.latency {
		n += v
	}
	return n
}

// above counts the latencies in the buckets after i.
func (c *count) above(i int) float64 {
	n := 0.0
	for _, v := range c.latency[i+1:] {
		n += v
	}
	return n
}

// pair holds the counts of both versions.
type pair struct {
	old, new count
}

type cells map[cellKey]*pair

func (c cells) at(key cellKey) *pair {
	p := c[key]
	if p == nil {
		p = &pair{}
		c[key] = p
	}
	return p
}

// pooled is the cell of all routes and classes together. Requests are chosen by a hash of their ID, so both versions get
// the same mix of routes and can be compared as a whole, which shows a general fault with fewer calls.
var pooled = cellKey{route: "all", class: "all"}

type slice struct {
	at    time.Time
	cells cells
}

// window keeps slices of one second and their sum, up to a span.
type window struct {
	span   time.Duration
	slices []slice
	total  cells
}

func newWindow(span time.Duration) *window { return &window{span: span, total: cells{}} }

func (w *window) observe(now time.Time, from, to string, samples []Sample) {
	at := now.Truncate(time.Second)
	if n := len(w.slices); n == 0 || at.After(w.slices[n-1].at) {
		w.slices = append(w.slices, slice{at: at, cells: cells{}})
	}
	for len(w.slices) > 1 && at.Sub(w.slices[0].at) >= w.span {
		w.drop()
	}
	newest := w.slices[len(w.slices)-1].cells
	for i := range samples {
		s := &samples[i]
		if s.Version != from && s.Version != to {
			continue
		}
		one, key := s.count(), cellKey{s.Route, s.Class, s.Cold}
		for _, c := range []cells{newest, w.total} {
			c.at(key).of(s.Version == to).add(&one, 1)
			if !s.Cold {
				c.at(pooled).of(s.Version == to).add(&one, 1)
			}
		}
	}
}

// drop removes the oldest slice.
func (w *window) drop() {
	for key, p := range w.slices[0].cells {
		t := w.total[key]
		t.old.add(&p.old, -1)
		t.new.add(&p.new, -1)
		if t.old.empty() && t.new.empty() {
			delete(w.total, key)
		}
	}
	w.slices[0] = slice{}
	w.slices = w.slices[1:]
}

func (p *pair) of(isNew bool) *count {
	if isNew {
		return &p.new
	}
	return &p.old
}

func (s *Sample) count() count {
	c := count{calls: float64(s.Calls), failures: float64(s.Failures), notRun: float64(s.NotRun)}
	for i, n := range s.Latency {
		c.latency[i] = float64(n)
	}
	return c
}
