package placement

import "time"

const (
	budgetBuckets = 10
	// usedRatioShare is the fraction of RetryRatio that a pool uses. Leaders that place at the same time, or one after the other,
	// count different requests, so a margin is needed only for the granularity of the buckets.
	usedRatioShare = 0.8
	// usedBurstShare is the fraction of RetryBurst that a pool uses. Two leaders at the same time may each use this much.
	usedBurstShare = 0.4
	// callerRetriesShare is the fraction of the budget that is open to requests whose caller will retry after a refusal. A
	// retry by the caller doesn't use the budget, so the rest is reserved for requests for which a refusal is final.
	callerRetriesShare = 0.5
)

// budget counts requests, and their retries and hedges, in a sliding window of buckets.
type budget struct {
	bucketLength  time.Duration
	bucketStart   time.Time
	requests      [budgetBuckets]float64
	retries       [budgetBuckets]float64
	currentBucket int
}

func (b *budget) advance(now time.Time, window time.Duration) {
	b.bucketLength = max(window/budgetBuckets, time.Millisecond)
	if b.bucketStart.IsZero() || now.Sub(b.bucketStart) > window {
		*b = budget{bucketLength: b.bucketLength, bucketStart: now}
	}
	for now.Sub(b.bucketStart) >= b.bucketLength {
		b.bucketStart = b.bucketStart.Add(b.bucketLength)
		b.currentBucket = (b.currentBucket + 1) % budgetBuckets
		b.requests[b.currentBucket], b.retries[b.currentBucket] = 0, 0
	}
}

// allow reports whether another attempt fits into the budget. callerRetries is true if a refusal is not final because the caller
// retries; such an attempt may only use a part of the budget.
func (b *budget) allow(s *Spec, callerRetries bool) bool {
	var requests, retries float64
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := usedRatioShare*s.RetryRatio*requests + usedBurstShare*s.RetryBurst
	if callerRetries {
		allowed *= callerRetriesShare
	}
	return retries+1 <= allowed
}
