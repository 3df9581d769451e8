package placement

import "time"

const (
	// budgetBuckets is the number of buckets of the window.
	budgetBuckets = 10
	// keptBuckets is the number of buckets whose retries count. One more than those of the window, as the current one has just begun at
	// times and the oldest one must count until it has left the window whole.
	keptBuckets = budgetBuckets + 1
	// usedRatioShare is the fraction of RetryRatio that a pool uses. Leaders that place at the same time, or one after the other,
	// count different requests, so a margin is needed only for retries that arrive late and requests that are submitted twice.
	usedRatioShare = 0.9
	// usedBurstShare is the fraction of RetryBurst that a pool uses. Two leaders at the same time may each use this much.
	usedBurstShare = 0.4
	// callerRetriesShare is the fraction of the budget that is open to requests whose caller will retry after a refusal. A
	// retry by the caller doesn't use the budget, so the rest is reserved for requests for which a refusal is final.
	callerRetriesShare = 0.5
	// lateRetriesShare replaces callerRetriesShare if the caller's retry would be late, so that this attempt is the last one that can be
	// in time.
	lateRetriesShare = 0.8
)

// budget counts requests, and their retries and hedges, in a sliding window of buckets. retries includes the hedges.
type budget struct {
	bucketLength  time.Duration
	bucketStart   time.Time
	requests      [keptBuckets]float64
	retries       [keptBuckets]float64
	currentBucket int
	hedges        hedgeCounts
}

func (b *budget) advance(now time.Time, window time.Duration) {
	b.bucketLength = budgetBucketLength(window)
	if b.bucketStart.IsZero() || now.Sub(b.bucketStart) > keptBuckets*b.bucketLength {
		*b = budget{bucketLength: b.bucketLength, bucketStart: now}
	}
	for now.Sub(b.bucketStart) >= b.bucketLength {
		b.bucketStart = b.bucketStart.Add(b.bucketLength)
		b.currentBucket = (b.currentBucket + 1) % keptBuckets
		b.requests[b.currentBucket], b.retries[b.currentBucket] = 0, 0
		b.hedges.clearBucket(b.currentBucket)
	}
}

// BudgetUse is what a pool has counted for its retry budget, by age: the first element belongs to the current tenth of the window.
type BudgetUse struct {
	Requests []float64
	Retries  []float64
	Hedges   []float64 `cbor:",omitempty"` // those among Retries that were hedges; empty from entries of earlier versions
}

// Aged returns the use as it is some time later in a window.
func (u BudgetUse) Aged(d, window time.Duration) BudgetUse {
	passed := min(keptBuckets, int(d/budgetBucketLength(window)))
	shift := func(counts []float64) []float64 {
		return append(make([]float64, passed), counts[:max(0, min(len(counts), keptBuckets-passed))]...)
	}
	return BudgetUse{Requests: shift(u.Requests), Retries: shift(u.Retries), Hedges: shift(u.Hedges)}
}

// IsZero reports whether no retry was counted.
func (u BudgetUse) IsZero() bool {
	for _, n := range u.Retries {
		if n > 0 {
			return false
		}
	}
	return true
}

func budgetBucketLength(window time.Duration) time.Duration {
	return max(window/budgetBuckets, time.Millisecond)
}

// bucket returns the index of the bucket of an age.
func (b *budget) bucket(age int) int { return (b.currentBucket + keptBuckets - age) % keptBuckets }

func (b *budget) use() BudgetUse {
	u := BudgetUse{Requests: make([]float64, keptBuckets), Retries: make([]float64, keptBuckets), Hedges: make([]float64, keptBuckets)}
	for age := range keptBuckets {
		u.Requests[age], u.Retries[age] = b.requests[b.bucket(age)], b.retries[b.bucket(age)]
		u.Hedges[age] = b.hedges.sent[b.bucket(age)]
	}
	return u
}

// adopt raises the counts to those of another pool. Counts aren't added, because the same ones may be told several times.
func (b *budget) adopt(u BudgetUse) {
	for age := range min(keptBuckets, len(u.Requests), len(u.Retries)) {
		i := b.bucket(age)
		b.requests[i] = max(b.requests[i], u.Requests[age])
		b.retries[i] = max(b.retries[i], u.Retries[age])
	}
	b.adoptHedges(u.Hedges)
}

// BudgetUse returns what the pool has counted, so that another pool of the service can adopt it.
func (p *Pool) BudgetUse(now time.Time) BudgetUse {
	p.budget.advance(now, p.spec.RetryWindow)
	return p.budget.use()
}

// AdoptBudgetUse accounts for the requests and retries that another pool of the service has counted.
func (p *Pool) AdoptBudgetUse(now time.Time, u BudgetUse) {
	p.budget.advance(now, p.spec.RetryWindow)
	p.budget.adopt(u)
}

// budgetShare returns the fraction of the retry budget that another attempt of the call may use.
func (p *Pool) budgetShare(now time.Time, c *call) float64 {
	if !c.ask.Returns {
		return 1
	}
	if !p.spec.ObjectiveFromFirstTry {
		return callerRetriesShare
	}
	lateFrom := c.lateAt(p.serviceTime(c))
	if back := now.Add(p.tries.returnDelay(c.ask.Route)); back.After(lateFrom) && !now.After(lateFrom) {
		return lateRetriesShare
	}
	return callerRetriesShare
}

// allow reports whether another attempt fits into the given fraction of the budget.
func (b *budget) allow(s *Spec, share float64) bool {
	var requests, retries float64
	for age := range keptBuckets {
		retries += b.retries[b.bucket(age)]
		if age < budgetBuckets {
			requests += b.requests[b.bucket(age)]
		}
	}
	allowed := usedRatioShare*s.RetryRatio*requests + usedBurstShare*s.RetryBurst
	return retries+1 <= share*allowed
}
