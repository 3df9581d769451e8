package placement

import "time"

const (
	budgetSteps = 10
	// budgetShare keeps the sum below the bound while two entries place at once.
	budgetShare = 0.4
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

func (b *budget) allow(s *Spec) bool {
	var requests, repeats float64
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	return repeats+1 <= budgetShare*(s.RetryRatio*requests+s.RetryBurst)
}
