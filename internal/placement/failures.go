package placement

import (
	"math"
	"time"
)

const (
	// failureHalfLife is the half-life of the results that count for the expected failures of an upstream, so that one that has
	// recovered gets requests again.
	failureHalfLife = 2 * time.Second
	// priorResults is the number of results of an average upstream of the service that are added to those of each upstream. It keeps one
	// failure from counting as a failure rate of 1, and makes an upstream without recent results an average one.
	priorResults = 1.0
	// ignoredFailures is the failure rate below which upstreams don't differ. Single failures of a service in calm mustn't decide
	// where requests go.
	ignoredFailures = 0.02
)

// recentResults counts the results of requests, with a weight that decays.
type recentResults struct {
	failed, total float64
	at            time.Time // to which both have decayed
}

// decayed returns the counts, decayed to now.
func (r *recentResults) decayed(now time.Time) recentResults {
	if r.total == 0 {
		return recentResults{at: now}
	}
	factor := math.Exp2(-float64(now.Sub(r.at)) / float64(failureHalfLife))
	return recentResults{failed: r.failed * factor, total: r.total * factor, at: now}
}

// add counts a result: failed is 1 for a failure and 0 for a success.
func (r *recentResults) add(now time.Time, failed float64) {
	*r = r.decayed(now)
	r.failed += failed
	r.total++
}

// rate is the share of failures. Less than one result, after the decay, counts as one, so the rate falls to 0 without new results.
func (r *recentResults) rate() float64 { return r.failed / max(1, r.total) }

// expectedFailures is the probability that a request fails on an upstream, from its own recent results and the failure rate of all.
func expectedFailures(own *recentResults, average float64) float64 {
	return (own.failed + priorResults*average) / (own.total + priorResults)
}

// failureCost is the cost of the failures that are expected on an upstream. Each would cost the call the whole time that its caller
// waits, because nothing but the caller can make up for it. Calls that may be hedged are exempt: they are idempotent, buffered and have
// another attempt left. Their cost would be small, and trials showed that it only takes them to busier and more distant upstreams.
func (s *search) failureCost(k *candidate) time.Duration {
	if !s.pool.spec.AvoidFailing || s.call.ask.MayHedge {
		return 0
	}
	expected := max(0, expectedFailures(&k.results, s.pool.failures)-ignoredFailures)
	return time.Duration(expected * float64(s.call.ask.Deadline.Sub(s.call.queuedAt)))
}
