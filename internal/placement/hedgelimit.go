package placement

import "time"

const (
	// usedHedgeShare is the fraction of the hedge limit that a pool uses. The rest covers the hedges that a lost leader granted after it
	// last told its counts.
	usedHedgeShare = 0.8
	// hedgePeriod is the time between two messages of a leader with its counts, historyInterval in the package coordinator.
	hedgePeriod = 200 * time.Millisecond
	// hedgePeriodShare is the fraction of the allowance that may be used in one hedgePeriod. A leader that is lost has told its
	// counts at most two periods before, so the next leader misses no more than twice this share.
	hedgePeriodShare = (1 - usedHedgeShare) / 2
)

// hedgeCounts are the counts of a budget for the hedge limit.
type hedgeCounts struct {
	// own counts the requests submitted to this pool. Those of other pools aren't included: two leaders at the same time would both
	// grant hedges for the requests that one has told the other.
	own         [keptBuckets]float64
	sent        [keptBuckets]float64 // hedges, including those of other pools
	periodStart time.Time
	inPeriod    float64 // hedges since periodStart
}

func (h *hedgeCounts) clearBucket(i int) { h.own[i], h.sent[i] = 0, 0 }

// countRequest counts the first attempt of a request.
func (b *budget) countRequest() {
	b.requests[b.currentBucket]++
	b.hedges.own[b.currentBucket]++
}

func (b *budget) countHedge(now time.Time) {
	h := &b.hedges
	h.sent[b.currentBucket]++
	if now.Sub(h.periodStart) >= hedgePeriod {
		h.periodStart, h.inPeriod = now, 0
	}
	h.inPeriod++
}

// adoptHedges raises the counts of hedges to those of another pool.
func (b *budget) adoptHedges(told []float64) {
	for age := range min(keptBuckets, len(told)) {
		i := b.bucket(age)
		b.hedges.sent[i] = max(b.hedges.sent[i], told[age])
	}
}

// allowsHedge reports whether another hedge keeps the limit, a number of hedges per request of the window.
func (b *budget) allowsHedge(now time.Time, limit float64) bool {
	sent, requests := b.hedgeUse()
	allowance := limit * requests
	if sent+1 > usedHedgeShare*allowance {
		return false
	}
	return now.Sub(b.hedges.periodStart) >= hedgePeriod || b.hedges.inPeriod+1 <= max(1, hedgePeriodShare*allowance)
}

// hedgeUse returns the hedges and the requests of this pool in the window.
func (b *budget) hedgeUse() (sent, requests float64) {
	for age := range keptBuckets {
		sent += b.hedges.sent[b.bucket(age)]
		if age < budgetBuckets {
			requests += b.hedges.own[b.bucket(age)]
		}
	}
	return sent, requests
}

// hedgesOff reports whether the operator has turned hedges off.
func (s *Spec) hedgesOff() bool { return s.HedgeLimit != nil && *s.HedgeLimit <= 0 }

// hedgesSlowCalls reports whether calls are hedged that take longer than nearly all of their route.
func (s *Spec) hedgesSlowCalls() bool {
	return s.HedgeLimit != nil && *s.HedgeLimit > 0 && !s.AllowUnprobed
}

// HedgeStats counts decisions on hedges since the pool exists.
type HedgeStats struct {
	Granted        uint64 // hedges
	BySlowness     uint64 // those among them that no probe has caused
	RefusedByLimit uint64 // calls for which the limit has refused a hedge, once each
}

// HedgeUse is what the pool's hedges have used of their limit within the window.
type HedgeUse struct {
	HedgeStats
	Limit          *float64 // the limit in force, nil if there is none
	Sent, Requests float64  // Requests are those of this pool only
}

// HedgeUse returns the counts of hedges.
func (p *Pool) HedgeUse(now time.Time) HedgeUse {
	p.budget.advance(now, p.spec.RetryWindow)
	use := HedgeUse{HedgeStats: p.hedging.stats, Limit: p.spec.HedgeLimit}
	use.Sent, use.Requests = p.budget.hedgeUse()
	return use
}
