package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyBuckets is the number of histogram buckets. They cover 50 us to 3 min in steps of 19 %, which is the error of the
	// estimate.
	latencyBuckets     = 88
	minLatency         = 50 * time.Microsecond
	bucketsPerDoubling = 4

	// histogramPeriod is the time after which a new histogram is started. The previous one is kept for another period.
	histogramPeriod = 10 * time.Second
	// minSamples is the number of latencies below which the estimate of the 95th percentile is not meaningful.
	minSamples = 100
)

// Hedger decides which calls of one service and class are hedged.
type Hedger struct {
	budget *Budget

	mu       sync.Mutex
	rotated  time.Time
	current  [latencyBuckets]int
	previous [latencyBuckets]int
}

// NewHedger returns a hedger without samples, which does not hedge.
func NewHedger() *Hedger { return &Hedger{budget: NewHedgeBudget()} }

// Call counts a call of the service and class.
func (h *Hedger) Call(now time.Time) { h.budget.Call(now) }

// Observe records the latency of a successful call that was not hedged.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	i := 0
	if latency > minLatency {
		i = int(math.Ceil(bucketsPerDoubling * math.Log2(float64(latency)/float64(minLatency))))
	}
	h.current[min(i, latencyBuckets-1)]++
}

// rotate starts a new histogram if the current one is older than histogramPeriod.
func (h *Hedger) rotate(now time.Time) {
	elapsed := now.Sub(h.rotated)
	if elapsed < histogramPeriod {
		return
	}
	h.previous = h.current
	if elapsed >= 2*histogramPeriod {
		h.previous = [latencyBuckets]int{}
	}
	h.current = [latencyBuckets]int{}
	h.rotated = now
}

// Delay returns the time after which a call is hedged: the 95th percentile of the latencies of the last 10 to 20 s. It returns
// false if there are fewer than minSamples.
func (h *Hedger) Delay(now time.Time) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	total := 0
	for i := range latencyBuckets {
		total += h.current[i] + h.previous[i]
	}
	if total < minSamples {
		return 0, false
	}
	cumulative := 0
	for i := range latencyBuckets {
		cumulative += h.current[i] + h.previous[i]
		if float64(cumulative) >= 0.95*float64(total) {
			return time.Duration(float64(minLatency) * math.Pow(2, float64(i)/bucketsPerDoubling)), true
		}
	}
	return 0, false
}

// Hedge describes a call that has run for the Delay and may be hedged.
type Hedge struct {
	Idempotent         bool
	ClassAllowsHedging bool // the class permits hedging
	Overloaded         bool // calls are queued, so a hedge would add to the overload
	Attempts           int  // attempts made so far
	Remaining          time.Duration
}

// Decide decides whether to start a hedge. If so, it has consumed budget.
func (h *Hedger) Decide(now time.Time, c Hedge) Decision {
	switch {
	case !c.Idempotent || !c.ClassAllowsHedging:
		return Decision{Reason: "calls of this kind are not hedged"}
	case c.Overloaded:
		return Decision{Reason: "the pools are overloaded"}
	case c.Attempts != 1:
		return Decision{Reason: "the call was already retried"}
	}
	delay, ok := h.Delay(now)
	if !ok || c.Remaining < delay/2 {
		return Decision{Reason: "the remaining time is too short or the latency is unknown"}
	}
	if !h.budget.Take(now) {
		return Decision{Reason: "the hedge budget is exhausted"}
	}
	return Decision{Retry: true}
}
