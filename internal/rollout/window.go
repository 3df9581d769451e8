package rollout

import (
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Buckets is the number of latency buckets. Bucket i counts latencies from 100 us * 2^(i-1) to 100 us * 2^i; the first
// one starts at 0 and the last one has no end.
const Buckets = 22

// Sample counts the calls of one route, class and version since the previous sample from the same source.
type Sample struct {
	Route, Class, Version string
	// Cold marks calls to upstreams in cold start. Their latency is ignored, and their failures are a fault only when more
	// than half of the calls fail.
	Cold bool
	// Calls is the number of calls that ran. Refusals for lack of capacity count in NotRun only. Failures is the number of
	// calls that ran and failed with a lost connection, a timeout or a 5xx status.
	Calls, Failures, NotRun int
	// Latency is a histogram of the time from dispatch to response, without queueing, of the calls that succeeded.
	Latency [Buckets]int
}

// FromWire converts a peer's statistics of one route. Missing and negative fields become 0. Peers report calls to cold
// upstreams in an element of their own; a mixed element counts as cold only if at least half of its calls are, since cold
// calls weigh less in failures and latency.
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

// cellKey identifies the calls that are compared between the two versions: those of one route and class, to either warm or
// cold upstreams.
type cellKey struct {
	route, class string
	cold         bool
}

// callCounts sums up samples. It can be subtracted from, so that a window can slide.
type callCounts struct {
	calls, failures, notRun float64
	latency                 [Buckets]float64
}

func (c *callCounts) add(o *callCounts, sign float64) {
	c.calls += sign * o.calls
	c.failures += sign * o.failures
	c.notRun += sign * o.notRun
	for i, n := range o.latency {
		if n != 0 {
			c.latency[i] += sign * n
		}
	}
}

func (c *callCounts) empty() bool { return c.calls+c.notRun == 0 }

// latencySamples returns the number of calls with a known latency.
func (c *callCounts) latencySamples() float64 {
	n := 0.0
	for _, v := range c.latency {
		n += v
	}
	return n
}

// countAbove returns the number of latencies in the buckets after bucket i.
func (c *callCounts) countAbove(i int) float64 {
	n := 0.0
	for _, v := range c.latency[i+1:] {
		n += v
	}
	return n
}

// pair holds the counts of both versions.
type pair struct {
	old, new callCounts
}

// cells holds the counts of both versions by cell.
type cells map[cellKey]*pair

func (c cells) at(key cellKey) *pair {
	p := c[key]
	if p == nil {
		p = &pair{}
		c[key] = p
	}
	return p
}

// aggregateKey is the cell of all routes and classes together. Requests are assigned to a version by a hash of their ID,
// so both versions get the same mix of routes and can be compared as a whole. This detects a fault of all routes with
// fewer calls.
var aggregateKey = cellKey{route: "all", class: "all"}

// secondSlice holds the calls of one second.
type secondSlice struct {
	at    time.Time
	cells cells
}

// window is a sliding window of one-second slices and their sum.
type window struct {
	span   time.Duration
	slices []secondSlice
	total  cells
}

func newWindow(span time.Duration) *window { return &window{span: span, total: cells{}} }

func (w *window) observe(now time.Time, from, to string, samples []Sample) {
	at := now.Truncate(time.Second)
	if n := len(w.slices); n == 0 || at.After(w.slices[n-1].at) {
		w.slices = append(w.slices, secondSlice{at: at, cells: cells{}})
	}
	for len(w.slices) > 1 && at.Sub(w.slices[0].at) >= w.span {
		w.dropOldest()
	}
	newest := w.slices[len(w.slices)-1].cells
	for i := range samples {
		s := &samples[i]
		if s.Version != from && s.Version != to {
			continue
		}
		sampleCounts, key := s.callCounts(), cellKey{s.Route, s.Class, s.Cold}
		for _, c := range []cells{newest, w.total} {
			c.at(key).countsOf(s.Version == to).add(&sampleCounts, 1)
			if !s.Cold {
				c.at(aggregateKey).countsOf(s.Version == to).add(&sampleCounts, 1)
			}
		}
	}
}

// dropOldest removes the oldest slice and subtracts it from the sum.
func (w *window) dropOldest() {
	for key, p := range w.slices[0].cells {
		t := w.total[key]
		t.old.add(&p.old, -1)
		t.new.add(&p.new, -1)
		if t.old.empty() && t.new.empty() {
			delete(w.total, key)
		}
	}
	w.slices[0] = secondSlice{}
	w.slices = w.slices[1:]
}

func (p *pair) countsOf(isNew bool) *callCounts {
	if isNew {
		return &p.new
	}
	return &p.old
}

func (s *Sample) callCounts() callCounts {
	c := callCounts{calls: float64(s.Calls), failures: float64(s.Failures), notRun: float64(s.NotRun)}
	for i, n := range s.Latency {
		c.latency[i] = float64(n)
	}
	return c
}
