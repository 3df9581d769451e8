package placement

import (
	"container/heap"
	"time"
)

const (
	// minHedgePercentile and maxHedgePercentile bound the percentile of a route's latencies after which a call is hedged.
	minHedgePercentile = 0.9
	maxHedgePercentile = 0.99
	// hedgeRecheck is the time after which a slow call that wasn't hedged is considered again.
	hedgeRecheck = 40 * time.Millisecond
	// maxHedgeChecks limits the slow calls for which one tick searches an upstream, to bound its cost. The others are next.
	maxHedgeChecks = 16
)

// hedging decides on hedges of calls that take longer than nearly all calls of their route. It works without probes.
type hedging struct {
	latencies map[string]*latencies // by route; only while calls are hedged by latency
	due       dueCalls
	stats     HedgeStats
}

func newHedging() hedging { return hedging{latencies: map[string]*latencies{}} }

// dueCall is a running call that is considered for a hedge at a time. It may have ended since.
type dueCall struct {
	at   time.Time
	call *call
}

// dueCalls is a heap ordered by time, so that a tick looks at the due calls only.
type dueCalls []dueCall

// Len implements heap.Interface.
func (d dueCalls) Len() int { return len(d) }

// Less implements heap.Interface.
func (d dueCalls) Less(i, j int) bool { return d[i].at.Before(d[j].at) }

// Swap implements heap.Interface.
func (d dueCalls) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dueCalls) Push(x any) { *d = append(*d, x.(dueCall)) } //nolint:forcetypeassert // only watchForHedge pushes

// Pop implements heap.Interface.
func (d *dueCalls) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = dueCall{}
	*d = old[:len(old)-1]
	return last
}

// hedgePercentile is the percentile of a route's latencies after which a call is hedged. It follows the limit, because the limit
// couldn't pay for more hedges, and would refuse some of the slowest calls in favour of others.
func hedgePercentile(limit float64) float64 {
	return min(maxHedgePercentile, max(minHedgePercentile, 1-limit))
}

// watchForHedge arranges that a call that has just started is considered for a hedge when it has taken longer than nearly all calls
// of its route. Large responses are excluded: their latency depends on how fast the caller reads.
func (p *Pool) watchForHedge(c *call) {
	if !c.ask.MayHedge || c.ask.Large || !p.spec.hedgesSlowCalls() {
		return
	}
	l := p.hedging.latencies[c.ask.Route]
	if l == nil {
		return
	}
	if threshold, known := l.percentile(hedgePercentile(*p.spec.HedgeLimit)); known {
		heap.Push(&p.hedging.due, dueCall{c.started.Add(threshold), c})
	}
}

// observeLatency learns the latencies of first attempts. One that a hedge superseded counts with the time it had taken, which is above
// the percentile already. Hedges don't count, because the slow ones among them are ended early.
func (p *Pool) observeLatency(c *call, e End) {
	if !p.spec.hedgesSlowCalls() || c.ask.Large || IsHedge(c.ask.ID) {
		return
	}
	if e.Outcome != Success && e.Outcome != Superseded && e.Outcome != TimedOut {
		return
	}
	l := p.hedging.latencies[c.ask.Route]
	if l == nil {
		l = &latencies{}
		p.hedging.latencies[c.ask.Route] = l
	}
	l.observe(e.Latency)
}

// hedgeSlowCalls hedges the calls that are due.
func (p *Pool) hedgeSlowCalls(now time.Time) {
	h := &p.hedging
	if !p.spec.hedgesSlowCalls() {
		h.due = nil
		return
	}
	for checks := 0; len(h.due) > 0 && !now.Before(h.due[0].at) && checks < maxHedgeChecks; {
		c := h.due[0].call
		if p.calls[c.ask.ID] != c || c.hedged {
			heap.Pop(&h.due)
			continue
		}
		checks++
		if p.hedgeSlowCall(now, c) {
			heap.Pop(&h.due)
			continue
		}
		h.due[0].at = now.Add(hedgeRecheck)
		heap.Fix(&h.due, 0)
	}
}

// hedgeSlowCall starts a second attempt if one can be expected to end before the first and before the deadline. It reports
// whether it did.
func (p *Pool) hedgeSlowCall(now time.Time, c *call) bool {
	if !p.roomForHedge(now, c) {
		return false
	}
	second, u := p.secondAttempt(now, c)
	if u == nil {
		return false
	}
	predicted := p.predict(now, second, u)
	if now.Add(predicted).After(c.ask.Deadline) || predicted >= p.hedging.latencies[c.ask.Route].remaining(now.Sub(c.started)) {
		return false
	}
	if !p.hedge(now, c, second, u) {
		return false
	}
	p.hedging.stats.BySlowness++
	return true
}
