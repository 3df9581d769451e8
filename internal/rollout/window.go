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

// FromWire converts a peer's statistics of one route. Missing fields count 0, negative ones too.
func FromWire(r wire.RouteStatistics) Sample {
	s := Sample{Route: r.Route, Class: r.Class, Version: r.Version}
	if r.Calls != nil {
		s.Calls = max(0, *r.Calls)
	}
	if r.Failures != nil {
		s.Failures = min(max(0, *r.Failures), s.Calls)
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

func (c *count) add(o *count) {
	c.calls += o.calls
	c.failures += o.failures
	c.notRun += o.notRun
	for i := range c.latency {
		c.latency[i] += o.latency[i]
	}
}

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

type slice struct {
	at    time.Time
	cells map[cellKey]*pair
}

// window keeps slices of one second, up to a span.
type window struct {
	span   time.Duration
	slices []slice
}

func (w *window) observe(now time.Time, from, to string, samples []Sample) {
	at := now.Truncate(time.Second)
	if n := len(w.slices); n == 0 || at.After(w.slices[n-1].at) {
		w.slices = append(w.slices, slice{at: at, cells: map[cellKey]*pair{}})
	}
	drop := 0
	for drop < len(w.slices) && at.Sub(w.slices[drop].at) >= w.span {
		drop++
	}
	w.slices = append(w.slices[:0], w.slices[drop:]...)
	cells := w.slices[len(w.slices)-1].cells
	for i := range samples {
		s := &samples[i]
		if s.Version != from && s.Version != to {
			continue
		}
		key := cellKey{s.Route, s.Class, s.Cold}
		p := cells[key]
		if p == nil {
			p = &pair{}
			cells[key] = p
		}
		c := &p.old
		if s.Version == to {
			c = &p.new
		}
		one := count{calls: float64(s.Calls), failures: float64(s.Failures), notRun: float64(s.NotRun)}
		for j, n := range s.Latency {
			one.latency[j] = float64(n)
		}
		c.add(&one)
	}
	delete(cells, pooled)
	addPooled(cells)
}

// sum adds up the slices after since.
func (w *window) sum(since time.Time) map[cellKey]*pair {
	total := map[cellKey]*pair{}
	for _, s := range w.slices {
		if s.at.Before(since) {
			continue
		}
		for k, p := range s.cells {
			if k == pooled {
				continue
			}
			t := total[k]
			if t == nil {
				t = &pair{}
				total[k] = t
			}
			t.old.add(&p.old)
			t.new.add(&p.new)
		}
	}
	return total
}
