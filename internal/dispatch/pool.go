package dispatch

import (
	"math/rand"
	"time"
)

// Pool holds the state of one pool at its owner. It is not safe for concurrent use.
type Pool struct {
	spec Spec
	rng  *rand.Rand
	ev   Events
}

// New returns a pool with the given configuration. The random source spreads probes and breaks ties.
func New(spec Spec, rng *rand.Rand) *Pool {
	return &Pool{spec: spec, rng: rng}
}

// Configure replaces the configuration. Upstreams that stay keep their health, and running calls keep their slots.
func (p *Pool) Configure(now time.Time, spec Spec) Events { return p.ev }

// SetConfirmed sets the time until which the owner's view is confirmed. Cold upstreams get calls, and probes are sent,
// only before this time.
func (p *Pool) SetConfirmed(now time.Time, confirmedUntil time.Time) {}

// Submit offers a request. It is granted, queued or refused.
func (p *Pool) Submit(now time.Time, r Request) Events { return p.ev }

// Finish ends a granted request, frees its slot and records the outcome. An unknown ID has no effect.
func (p *Pool) Finish(now time.Time, requestID uint64, o Outcome) Events { return p.ev }

// Cancel ends a queued or granted request. A granted one frees its slot at once.
func (p *Pool) Cancel(now time.Time, requestID uint64) Events { return p.ev }

// Tick expires queued calls, ends ejections and returns the upstreams to probe. Call it about every 10 ms.
func (p *Pool) Tick(now time.Time) (ev Events, probes []string) { return p.ev, nil }

// ProbeResult records the result of a probe that Tick asked for.
func (p *Pool) ProbeResult(now time.Time, upstream string, ok bool, latency time.Duration, rep *LoadReport) Events {
	return p.ev
}

// Summary returns the figures for the choice among pools.
func (p *Pool) Summary(now time.Time) Summary { return Summary{} }

// Upstreams returns the status of each upstream, ordered by name.
func (p *Pool) Upstreams(now time.Time) []UpstreamStatus { return nil }
