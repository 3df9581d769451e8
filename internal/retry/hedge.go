package retry

import (
	"math"
	"sync"
	"time"
)

const (
	// latencyBuckets spans 50 us to 3 min by steps of 19 %, the error of the estimate.
	latencyBuckets = 88
	firstLatency   = 50 * time.Microsecond
	stepsPerDouble = 4

	// latencyPeriod is the age at which samples are replaced by those of the next period.
	latencyPeriod = 10 * time.Second
	// minSamples is the number of latencies without which the 95th percentile says nothing.
	minSamples = 100
)

// Hedger decides on the hedges of one service and class.
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

// Observe takes the latency of a call that ended in success and was not hedged.
func (h *Hedger) Observe(now time.Time, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	i := 0
	if latency > firstLatency {
		i = int(math.Ceil(stepsPerDouble * math.Log2(float64(latency)/float64(firstLatency))))
	}
	h.current[min(i, latencyBuckets-1)]++
}

func (h *Hedger) rotate(now time.Time) {
	passed := now.Sub(h.rotated)
	if passed < latencyPeriod {
		return
	}
	h.previous = h.current
	if passed >= 2*latencyPeriod {
		h.previous = [latencyBuckets]int{}
	}
	h.current = [latencyBuckets]int{}
	h.rotated = now
}

// Delay returns the time after which a call is hedged, which is the 95th percentile of the latencies of the last 10 to
// 20 s. It returns false while there are too few.
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
	seen := 0
	for i := range latencyBuckets {
		seen += h.current[i] + h.previous[i]
		if float64(seen) >= 0.95*float64(total) {
			return time.Duration(float64(firstLatency) * math.Pow(2, float64(i)/stepsPerDouble)), true
		}
	}
	return 0, false
}

// Hedge is a call that has run for the Delay.
type Hedge struct {
	Idempotent         bool
	ClassAllowsHedging bool // the class says that its calls are hedged
	Overloaded         bool // the pools queue calls: a second attempt would add to the overload
	Attempts           int  // attempts made so far
	Remaining          time.Duration
}

// Decide says whether to start a second attempt. A positive decision has used the budget.
func (h *Hedger) Decide(now time.Time, c Hedge) Decision {
	switch {
	case !c.Idempotent || !c.ClassAllowsHedging:
		return Decision{Reason: "calls of this kind are not hedged"}
	case c.Overloaded:
		return Decision{Reason: "the pools are overloaded"}
	case c.Attempts != 1:
		return Decision{Reason: "the call was tried again already"}
	}
	delay, ok := h.Delay(now)
	if !ok || c.Remaining < delay/2 {
		return Decision{Reason: "the remaining time is too short or the latency unknown"}
	}
	if !h.budget.Take(now) {
		return Decision{Reason: "the hedge budget is spent"}
	}
	return Decision{Retry: true}
}
