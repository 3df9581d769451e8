package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxHandoverBuckets bounds the per-customer buckets in a Handover, so that it fits into one message of 256 KiB.
	maxHandoverBuckets = 1024
	// takeoverWait is the time after an unplanned take-over for which cold upstreams get nothing without a probe's
	// report. Calls of the previous owner may still run there.
	takeoverWait = 5 * time.Second
	// reportedRunningFor is the longest time for which reported calls of a lost owner count against the limit. Some
	// upstreams count the probe itself as in flight and would otherwise stay without calls.
	reportedRunningFor = 30 * time.Second
)

// Handover is what the next owner of a pool needs to know. Times are relative, so no clocks are compared.
type Handover struct {
	Upstreams []UpstreamHandover `json:"upstreams"`
	Buckets   []BucketHandover   `json:"buckets,omitempty"`
	// RestFill is the fill, 0 to 1, of the emptiest "*" bucket that is not in Buckets.
	RestFill float64 `json:"restFill"`
}

// UpstreamHandover is the state of one upstream. Zero fields stand for a warm upstream without calls.
type UpstreamHandover struct {
	Name          string `json:"name"`
	Cold          bool   `json:"cold,omitempty"`
	ColdReason    string `json:"coldReason,omitempty"`
	Allowance     int    `json:"allowance,omitempty"` // 0: all slots
	Progress      int    `json:"progress,omitempty"`  // successes since the last step of the allowance
	Draining      bool   `json:"draining,omitempty"`
	Running       int    `json:"running,omitempty"`   // calls that the previous owner still runs
	RunningMs     int64  `json:"runningMs,omitempty"` // until the latest deadline of these calls
	EjectedMs     int64  `json:"ejectedMs,omitempty"` // remaining
	EjectReason   string `json:"ejectReason,omitempty"`
	Ejections     int    `json:"ejections,omitempty"`
	UnreachableMs int64  `json:"unreachableMs,omitempty"` // remaining
}

// BucketHandover is the level of one token bucket.
type BucketHandover struct {
	Customer string  `json:"customer,omitempty"`
	Class    string  `json:"class,omitempty"`
	Each     bool    `json:"each,omitempty"` // a customer's bucket of a "*" limit
	Tokens   float64 `json:"tokens"`
}

// inherited is what an upstream may still run beside the calls of this owner: those of a previous one, and cancelled ones.
type inherited struct {
	unknown   bool      // its cold state and calls are unknown until a report arrives
	waitUntil time.Time // while cold, no calls until then or until a probe's report
	running   int       // calls that count against the limit
	until     time.Time // end of that count
}

// Option says what a new owner knows about the time before it took over.
type Option func(*Pool)

// WithHandover starts from the state of the previous owner after a planned hand over. Upstreams that the previous owner
// did not know count as cold, and the calls that it still runs count against the limits of their upstreams until a
// report shows fewer or their deadlines have passed.
func WithHandover(now time.Time, h Handover) Option {
	return func(p *Pool) {
		p.limits.restore(now, h.Buckets, h.RestFill)
		known := map[string]UpstreamHandover{}
		for _, s := range h.Upstreams {
			known[s.Name] = s
		}
		for _, u := range p.upstreams {
			// The previous owner may just have sent a probe.
			u.lastProbe = now
			if s, ok := known[u.spec.Name]; ok {
				p.restore(now, u, s)
			} else {
				p.becomeCold(u, "unknown to the previous owner")
			}
			p.relink(u)
		}
		p.keepHalf()
	}
}

// WithTakeover starts from what is left after the previous owner was lost at the time failed, in the new owner's clock.
// Buckets start with the refill since then. Each upstream runs one call at a time until its first report says that it
// is warm, or it has passed its ramp. A cold one gets nothing until a probe's report shows its running calls, which
// then count against its allowance, or until 5 s have passed.
func WithTakeover(now, failed time.Time) Option {
	return func(p *Pool) {
		p.limits.restore(failed, nil, 0)
		for _, u := range p.upstreams {
			if u.spec.Cold {
				p.becomeCold(u, "cold under the previous owner")
			}
			u.allowance, u.coldProgress = 1, 0
			u.inherited = inherited{unknown: true, waitUntil: now.Add(takeoverWait), until: now.Add(reportedRunningFor)}
			p.relink(u)
		}
	}
}

// Handover returns the state for the next owner. Close the pool before, so that no grant follows.
func (p *Pool) Handover(now time.Time) Handover {
	h := Handover{Upstreams: make([]UpstreamHandover, 0, len(p.upstreams))}
	for _, u := range p.upstreams {
		if !u.gone {
			h.Upstreams = append(h.Upstreams, u.handover(now))
		}
	}
	h.Buckets, h.RestFill = p.limits.handover(now)
	return h
}

func (u *upstream) handover(now time.Time) UpstreamHandover {
	s := UpstreamHandover{
		Name:          u.spec.Name,
		Cold:          u.cold,
		ColdReason:    u.coldReason,
		Draining:      u.draining,
		Running:       u.inFlight + u.inherited.running,
		EjectedMs:     remainingMs(now, u.ejectedUntil),
		EjectReason:   u.ejectReason,
		Ejections:     u.ejections,
		UnreachableMs: remainingMs(now, u.unreachable),
	}
	if u.allowance < u.spec.Slots {
		s.Allowance, s.Progress = u.allowance, u.coldProgress
	}
	if u.inherited.unknown && u.cold {
		s.Running, s.RunningMs = u.spec.Slots, remainingMs(now, u.inherited.waitUntil)
	}
	if u.inherited.running > 0 {
		s.RunningMs = remainingMs(now, u.inherited.until)
	}
	for c := u.oldest; c != nil; c = c.newer {
		s.RunningMs = max(s.RunningMs, remainingMs(now, c.req.Deadline))
	}
	return s
}

// remainingMs rounds up, so that a state that lasts is never lost.
func remainingMs(now, until time.Time) int64 {
	if until.IsZero() {
		return 0
	}
	return max(0, int64(math.Ceil(float64(until.Sub(now))/float64(time.Millisecond))))
}

func (p *Pool) restore(now time.Time, u *upstream, s UpstreamHandover) {
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	if s.Cold {
		p.becomeCold(u, s.ColdReason)
	}
	if s.Allowance > 0 && s.Allowance < u.spec.Slots && (s.Cold || !u.cold) {
		u.allowance, u.coldProgress = s.Allowance, s.Progress
	}
	u.draining = s.Draining
	u.inherited = inherited{running: s.Running, until: after(s.RunningMs)}
	if s.UnreachableMs > 0 {
		u.unreachable = after(s.UnreachableMs)
	}
	u.ejections, u.ejectReason = s.Ejections, s.EjectReason
	if s.Ejections > 0 {
		u.lastEjected = now
	}
	if s.EjectedMs > 0 && !u.ejected() {
		p.ejected++
		u.ejectedUntil = after(s.EjectedMs)
	}
}

// observeInherited applies a report to what the previous owner left. Only a probe's report counts running calls exactly:
// probes go to upstreams that run no own call.
func (p *Pool) observeInherited(u *upstream, rep *LoadReport, probe bool) {
	in := &u.inherited
	load := rep.InFlight + rep.Queued
	in.running = min(in.running, load)
	if !in.unknown {
		return
	}
	switch {
	case !rep.Cold && !u.cold:
		// A warm upstream sheds what is too much, so it is served at once.
		*in = inherited{}
		u.allowance = u.spec.Slots
	case probe:
		in.unknown = false
		in.waitUntil = time.Time{}
		in.running = load
	}
}

// expireInherited ends what is limited in time.
func (u *upstream) expireInherited(now time.Time) {
	in := &u.inherited
	if in.unknown && !now.Before(in.waitUntil) {
		*in = inherited{}
	}
	if in.running > 0 && !now.Before(in.until) {
		in.running = 0
	}
}

// restore sets the levels of all buckets. Those that are not listed start with the given fill at the time at.
func (l *limiter) restore(at time.Time, levels []BucketHandover, fill float64) {
	l.startedAt, l.startFill = at, min(max(fill, 0), 1)
	clear(l.perEach)
	for _, b := range l.buckets {
		b.tokens, b.last = 0, at
	}
	for _, s := range levels {
		b := l.buckets[limitKey{s.Customer, s.Class}]
		if s.Each {
			parent := l.buckets[limitKey{"*", s.Class}]
			if parent == nil {
				continue
			}
			b = &bucket{spec: parent.spec, last: at}
			l.perEach[limitKey{s.Customer, s.Class}] = b
		}
		if b != nil {
			b.tokens = min(max(s.Tokens, 0), b.spec.Burst)
		}
	}
}

// handover lists the buckets, of the "*" limits only the emptiest ones, and the fill of the emptiest unlisted one.
func (l *limiter) handover(now time.Time) ([]BucketHandover, float64) {
	out := make([]BucketHandover, 0, len(l.order))
	for _, key := range l.order {
		b := l.buckets[key]
		b.refill(now)
		out = append(out, BucketHandover{Customer: key.customer, Class: key.class, Tokens: b.tokens})
	}
	each := make([]limitKey, 0, len(l.perEach))
	for key, b := range l.perEach {
		if b.refill(now); b.tokens < b.spec.Burst {
			each = append(each, key)
		}
	}
	fill := func(key limitKey) float64 { return l.perEach[key].tokens / l.perEach[key].spec.Burst }
	slices.SortFunc(each, func(a, b limitKey) int {
		return cmp.Or(cmp.Compare(fill(a), fill(b)), cmp.Compare(a.customer, b.customer), cmp.Compare(a.class, b.class))
	})
	rest := l.fillAt(now)
	if len(each) > maxHandoverBuckets {
		rest = min(rest, fill(each[maxHandoverBuckets]))
		each = each[:maxHandoverBuckets]
	}
	for _, key := range each {
		out = append(out, BucketHandover{key.customer, key.class, true, l.perEach[key].tokens})
	}
	return out, rest
}

// fillAt is the fill of a "*" bucket that a new customer gets: the lowest over the limits.
func (l *limiter) fillAt(now time.Time) float64 {
	lowest := 1.0
	for key, b := range l.buckets {
		if key.customer == "*" {
			lowest = min(lowest, l.startTokens(now, b.spec)/b.spec.Burst)
		}
	}
	return lowest
}

// startTokens is the level of a bucket that is used for the first time.
func (l *limiter) startTokens(now time.Time, s LimitSpec) float64 {
	if l.startedAt.IsZero() {
		return s.Burst
	}
	return min(s.Burst, s.Burst*l.startFill+s.Rate*max(0, now.Sub(l.startedAt).Seconds()))
}
