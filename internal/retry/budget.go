package retry

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets in the sliding window of a budget.
	bucketCount = 10
	// keptBuckets is the number of buckets whose attempts count. One more than those of the window, as the current one has just begun at
	// times and the oldest one must count until it has left the window whole.
	keptBuckets = bucketCount + 1
)

// Limits of the retry and hedge budgets.
const (
	RetryRatio     = 0.10 // retries per call
	RetryPerSecond = 3.0  // additional retries per second, for services with few calls
	HedgeRatio     = 0.02 // hedges per call
	RetryWindow    = time.Second
	HedgeWindow    = 10 * time.Second // at 5 calls/s, 2 % of the calls in this window are one hedge
)

// Budget limits retries or hedges in a sliding window to a ratio of the calls plus a fixed number.
type Budget struct {
	ratio          float64
	fixedPerWindow float64 // attempts per window in addition to the ratio
	bucketLength   time.Duration

	mu    sync.Mutex
	index int64 // number of the newest bucket since the Unix epoch
	calls [keptBuckets]int
	taken [keptBuckets]int // retries or hedges
}

// NewBudget returns a budget of ratio*calls + perSecond*window attempts in any window.
func NewBudget(ratio, perSecond float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, fixedPerWindow: perSecond * window.Seconds(), bucketLength: window / bucketCount}
}

// NewRetryBudget returns the budget for the retries of one service.
func NewRetryBudget() *Budget { return NewBudget(RetryRatio, RetryPerSecond, RetryWindow) }

// NewHedgeBudget returns the budget for the hedges of one service and class.
func NewHedgeBudget() *Budget { return NewBudget(HedgeRatio, 0, HedgeWindow) }

// Call counts a call. Retries and hedges of a call are not counted as calls.
func (b *Budget) Call(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.calls[b.index%keptBuckets]++
}

// Take consumes budget for one retry or hedge and reports whether there was enough.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	calls, taken := 0, 0
	for age := range min(keptBuckets, b.index+1) {
		i := (b.index - age) % keptBuckets
		taken += b.taken[i]
		if age < bucketCount {
			calls += b.calls[i]
		}
	}
	if float64(taken+1) > b.ratio*float64(calls)+b.fixedPerWindow {
		return false
	}
	b.taken[b.index%keptBuckets]++
	return true
}

// advance moves the window to now and clears the buckets that it reuses. If the time goes backwards, the newest bucket stays
// current.
func (b *Budget) advance(now time.Time) {
	index := now.UnixNano() / int64(b.bucketLength)
	for n := 0; b.index < index && n < keptBuckets; n++ {
		b.index++
		if n == 0 && index-b.index >= keptBuckets {
			b.index = index - keptBuckets + 1
		}
		b.calls[b.index%keptBuckets], b.taken[b.index%keptBuckets] = 0, 0
	}
}
