package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of parts of a budget's window.
const bucketCount = 10

// Limits of the budgets.
const (
	RetryRatio     = 0.10 // retries per call
	RetryPerSecond = 3.0  // retries per second on top, for services with few calls
	HedgeRatio     = 0.02 // hedges per call
	RetryWindow    = time.Second
	HedgeWindow    = 10 * time.Second // long enough for 2 % to be a whole hedge at 5 calls/s
)

// Budget bounds further attempts to a ratio of the calls and a rate, in each window of the length given.
type Budget struct {
	ratio  float64
	fixed  float64 // attempts per window on top of the ratio
	bucket time.Duration

	mu    sync.Mutex
	index int64 // number of the newest bucket
	calls [bucketCount]int
	taken [bucketCount]int
}

// NewBudget returns a budget of ratio x calls + perSecond attempts.
func NewBudget(ratio, perSecond float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, fixed: perSecond * window.Seconds(), bucket: window / bucketCount}
}

// NewRetryBudget returns the budget for the retries of one service.
func NewRetryBudget() *Budget { return NewBudget(RetryRatio, RetryPerSecond, RetryWindow) }

// NewHedgeBudget returns the budget for the hedges of one service and class.
func NewHedgeBudget() *Budget { return NewBudget(HedgeRatio, 0, HedgeWindow) }

// Call counts a call. Further attempts of it are not calls.
func (b *Budget) Call(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.calls[b.index%bucketCount]++
}

// Take uses the budget for one further attempt and reports whether it was there.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	calls, taken := 0, 0
	for i := range bucketCount {
		calls += b.calls[i]
		taken += b.taken[i]
	}
	if float64(taken+1) > b.ratio*float64(calls)+b.fixed {
		return false
	}
	b.taken[b.index%bucketCount]++
	return true
}

// advance empties the buckets that the window has left. A step back in time counts for the newest bucket.
func (b *Budget) advance(now time.Time) {
	index := now.UnixNano() / int64(b.bucket)
	for n := 0; b.index < index && n < bucketCount; n++ {
		b.index++
		if n == 0 && index-b.index >= bucketCount {
			b.index = index - bucketCount + 1
		}
		b.calls[b.index%bucketCount], b.taken[b.index%bucketCount] = 0, 0
	}
}
