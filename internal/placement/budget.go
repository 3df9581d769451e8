package placement

import "time"

const (
	budgetSteps = 10
	// ratioShare is the used part of the budget that grows with the requests. Entries that place at the same time, or one after
	// the other, count different requests, so only the steps of the window need a margin.
	ratioShare = 0.8
	// burstShare is the used part of the budget that doesn't depend on requests. Two entries may each use it.
	burstShare = 0.4
	// firstTriesShare is the part of the budget for requests whose caller will come back after a refusal. That costs no
	// attempt from the budget, so the rest is kept for those that are refused for good.
	firstTriesShare = 0.5
)

// budget counts requests and further attempts in a sliding window.
type budget struct {
	step     time.Duration
	at       time.Time
	requests [budgetSteps]float64
	repeats  [budgetSteps]float64
	current  int
}

func (b *budget) advance(now time.Time, window time.Duration) {
	b.step = max(window/budgetSteps, time.Millisecond)
	if b.at.IsZero() || now.Sub(b.at) > window {
		*b = budget{step: b.step, at: now}
	}
	for now.Sub(b.at) >= b.step {
		b.at = b.at.Add(b.step)
		b.current = (b.current + 1) % budgetSteps
		b.requests[b.current], b.repeats[b.current] = 0, 0
	}
}

// allow reports whether a further attempt fits into the budget. returns says that the caller comes back after a refusal.
func (b *budget) allow(s *Spec, returns bool) bool {
	var requests, repeats float64
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	allowed := ratioShare*s.RetryRatio*requests + burstShare*s.RetryBurst
	if returns {
		allowed *= firstTriesShare
	}
	return repeats+1 <= allowed
}
