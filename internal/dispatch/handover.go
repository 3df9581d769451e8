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
	// takeoverColdWait is how long after an unplanned takeover a cold upstream gets no calls unless a probe's report
	// arrives. Calls of the previous owner may still run there.
	takeoverColdWait = 5 * time.Second
	// reportedCallsTTL bounds the time for which the reported calls of a lost owner count against the limit. Some
	// upstreams count the probe itself as in flight and would otherwise never get calls.
	reportedCallsTTL = 30 * time.Second
)

// Handover is the state that the next owner of a pool needs. All times are relative, so that the clocks of the two
// entries are never compared.
type Handover struct {
	Upstreams []UpstreamHandover `json:"upstreams"`
	Buckets   []BucketHandover   `json:"buckets,omitempty"`
	// RestFill is the fill ratio, 0 to 1, of the emptiest "*" bucket that is not listed in Buckets.
	RestFill float64 `json:"restFill"`
}

// UpstreamHandover is the state of one upstream. The zero value, apart from the name, is a warm upstream without calls.
type UpstreamHandover struct {
	Name          string `json:"name"`
	Cold          bool   `json:"cold,omitempty"`
	ColdReason    string `json:"coldReason,omitempty"`
	Allowance     int    `json:"allowance,omitempty"` // 0: all slots
	Progress      int    `json:"progress,omitempty"`  // successes since the allowance last changed
	Draining      bool   `json:"draining,omitempty"`
	Running       int    `json:"running,omitempty"`   // calls of the previous owner that may still run
	RunningMs     int64  `json:"runningMs,omitempty"` // time until the latest deadline of these calls
	EjectedMs     int64  `json:"ejectedMs,omitempty"` // time left
	EjectReason   string `json:"ejectReason,omitempty"`
	Ejections     int    `json:"ejections,omitempty"`
	UnreachableMs int64  `json:"unreachableMs,omitempty"` // time left
}

// BucketHandover is the level of one token bucket.
type BucketHandover struct {
	Customer string  `json:"customer,omitempty"`
	Class    string  `json:"class,omitempty"`
	Each     bool    `json:"each,omitempty"` // the bucket of one customer under a "*" limit
	Tokens   float64 `json:"tokens"`
}

// untracked describes the calls that may still run on an upstream although this owner does not hold them: those of a
// previous owner, and cancelled or timed-out ones.
type untracked struct {
	stateUnknown bool      // whether it is cold and what it runs is unknown until a report arrives
	waitUntil    time.Time // a cold upstream gets no calls before this time or a probe's report
	count        int       // untracked calls that count against the limit
	countUntil   time.Time // count is reset at this time
	heldUntil    time.Time // no calls start before this time or a handover; see WithPendingHandover
}

// Option restores state of the pool from before this owner took it over.
type Option func(*Pool)

// WithHandover restores the state of the previous owner after a planned handover. Upstreams that the previous owner did
// not know count as cold. The calls that it still runs count against the limits of their upstreams until a report shows
// fewer or their deadlines have passed.
func WithHandover(now time.Time, h Handover) Option {
	return func(p *Pool) {
		p.limits.restore(now, h.Buckets, h.RestFill)
		known := map[string]UpstreamHandover{}
		for _, s := range h.Upstreams {
			known[s.Name] = s
		}
		for _, u := range p.upstreams {
			// The previous owner may have sent a probe just before, so the upstream is not probed at once.
			u.lastProbe = now
			if s, ok := known[u.spec.Name]; ok {
				p.restore(now, u, s)
			} else {
				p.becomeCold(u, "unknown to the previous owner")
			}
			p.updateFreeList(u)
		}
		p.limitEjections()
	}
}

// WithTakeover initialises the pool after the previous owner failed without a handover, at the time failed by the new
// owner's clock. Token buckets hold only the refill since then. Each upstream runs one call at a time until its first
// report says that it is warm, or until it has completed its ramp. A cold upstream gets no calls until a probe's report
// shows its running calls, which then count against its allowance, or until 5 s have passed.
func WithTakeover(now, failed time.Time) Option {
	return func(p *Pool) {
		p.limits.restore(failed, nil, 0)
		for _, u := range p.upstreams {
			if u.spec.Cold {
				p.becomeCold(u, "cold under the previous owner")
			}
			u.allowance, u.rampSuccesses = 1, 0
			u.untracked = untracked{
				stateUnknown: true, waitUntil: now.Add(takeoverColdWait), countUntil: now.Add(reportedCallsTTL),
			}
			p.updateFreeList(u)
		}
	}
}

// WithPendingHandover holds all calls until a Configure with WithHandover, or until the given time. It is for an owner that has just
// started: another entry may still have calls running on cold upstreams, and sends its state when it learns of the new owner.
func WithPendingHandover(until time.Time) Option {
	return func(p *Pool) {
		for _, u := range p.upstreams {
			u.untracked.heldUntil = until
			p.updateFreeList(u)
		}
	}
}

// EndPendingHandover lets a wait that WithPendingHandover began end at the given time at the latest.
func (p *Pool) EndPendingHandover(at time.Time) {
	for _, u := range p.upstreams {
		if at.Before(u.untracked.heldUntil) {
			u.untracked.heldUntil = at
		}
	}
}

// AwaitsHandover reports whether calls are held since WithPendingHandover. The pool knows nothing then that another owner needs.
func (p *Pool) AwaitsHandover(now time.Time) bool {
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return now.Before(u.untracked.heldUntil) })
}

// Handover returns the state for the next owner. The pool must be closed first, so that no grant follows.
func (p *Pool) Handover(now time.Time) Handover {
	h := Handover{Upstreams: make([]UpstreamHandover, 0, len(p.upstreams))}
	for _, u := range p.upstreams {
		if !u.removed {
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
		Running:       u.inFlight + u.untracked.count,
		EjectedMs:     remainingMs(now, u.ejectedUntil),
		EjectReason:   u.ejectReason,
		Ejections:     u.ejections,
		UnreachableMs: remainingMs(now, u.unreachableUntil),
	}
	if u.allowance < u.spec.Slots {
		s.Allowance, s.Progress = u.allowance, u.rampSuccesses
	}
	if u.untracked.stateUnknown && u.cold {
		s.Running, s.RunningMs = u.spec.Slots, remainingMs(now, u.untracked.waitUntil)
	}
	if u.untracked.count > 0 {
		s.RunningMs = remainingMs(now, u.untracked.countUntil)
	}
	for c := u.oldestCall; c != nil; c = c.newer {
		s.RunningMs = max(s.RunningMs, remainingMs(now, c.req.Deadline))
	}
	return s
}

// remainingMs returns the time left, rounded up so that a state that has not yet expired is never reported as expired.
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
		u.allowance, u.rampSuccesses = s.Allowance, s.Progress
	}
	u.draining = s.Draining
	u.untracked = untracked{count: s.Running, countUntil: after(s.RunningMs)}
	if s.UnreachableMs > 0 {
		u.unreachableUntil = after(s.UnreachableMs)
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

// observeUntracked updates the untracked calls from a load report. Only a probe's report counts running calls exactly,
// because probes are sent only to upstreams on which this owner runs no call.
func (p *Pool) observeUntracked(u *upstream, rep *LoadReport, probe bool) {
	un := &u.untracked
	load := rep.InFlight + rep.Queued
	un.count = min(un.count, load)
	if !un.stateUnknown {
		return
	}
	switch {
	case !rep.Cold && !u.cold:
		// A warm upstream refuses excess calls itself, so it is used at full capacity at once.
		*un = untracked{}
		u.allowance = u.spec.Slots
	case probe:
		un.stateUnknown = false
		un.waitUntil = time.Time{}
		un.count = load
	}
}

// expireUntracked discards untracked calls whose time limit has passed.
func (u *upstream) expireUntracked(now time.Time) {
	un := &u.untracked
	if un.stateUnknown && !now.Before(un.waitUntil) {
		*un = untracked{}
	}
	if !now.Before(un.heldUntil) {
		un.heldUntil = time.Time{}
	}
	if un.count > 0 && !now.Before(un.countUntil) {
		un.count = 0
	}
}

// restore sets the token levels of all buckets. Buckets that are not listed start with the given fill ratio at the
// given time.
func (l *limiter) restore(at time.Time, levels []BucketHandover, fill float64) {
	l.startedAt, l.startFill = at, min(max(fill, 0), 1)
	clear(l.perCustomer)
	for _, b := range l.buckets {
		b.tokens, b.last = 0, at
	}
	for _, s := range levels {
		b := l.buckets[bucketKey{s.Customer, s.Class}]
		if s.Each {
			parent := l.buckets[bucketKey{"*", s.Class}]
			if parent == nil {
				continue
			}
			b = &bucket{spec: parent.spec, last: at}
			l.perCustomer[bucketKey{s.Customer, s.Class}] = b
		}
		if b != nil {
			b.tokens = min(max(s.Tokens, 0), b.spec.Burst)
		}
	}
}

// handover returns the token levels of the buckets and the fill ratio of the emptiest bucket left out. Of the
// per-customer buckets it lists only the emptiest ones.
func (l *limiter) handover(now time.Time) ([]BucketHandover, float64) {
	out := make([]BucketHandover, 0, len(l.specOrder))
	for _, key := range l.specOrder {
		b := l.buckets[key]
		b.refill(now)
		out = append(out, BucketHandover{Customer: key.customer, Class: key.class, Tokens: b.tokens})
	}
	nonFull := make([]bucketKey, 0, len(l.perCustomer))
	for key, b := range l.perCustomer {
		if b.refill(now); b.tokens < b.spec.Burst {
			nonFull = append(nonFull, key)
		}
	}
	fill := func(key bucketKey) float64 { return l.perCustomer[key].tokens / l.perCustomer[key].spec.Burst }
	slices.SortFunc(nonFull, func(a, b bucketKey) int {
		return cmp.Or(cmp.Compare(fill(a), fill(b)), cmp.Compare(a.customer, b.customer), cmp.Compare(a.class, b.class))
	})
	restFill := l.newCustomerFill(now)
	if len(nonFull) > maxHandoverBuckets {
		restFill = min(restFill, fill(nonFull[maxHandoverBuckets]))
		nonFull = nonFull[:maxHandoverBuckets]
	}
	for _, key := range nonFull {
		out = append(out, BucketHandover{key.customer, key.class, true, l.perCustomer[key].tokens})
	}
	return out, restFill
}

// newCustomerFill returns the fill ratio of the bucket that a new customer gets, the lowest over all "*" limits.
func (l *limiter) newCustomerFill(now time.Time) float64 {
	lowest := 1.0
	for key, b := range l.buckets {
		if key.customer == "*" {
			lowest = min(lowest, l.initialTokens(now, b.spec)/b.spec.Burst)
		}
	}
	return lowest
}

// initialTokens returns the token level of a bucket that is used for the first time.
func (l *limiter) initialTokens(now time.Time, s LimitSpec) float64 {
	if l.startedAt.IsZero() {
		return s.Burst
	}
	return min(s.Burst, s.Burst*l.startFill+s.Rate*max(0, now.Sub(l.startedAt).Seconds()))
}
