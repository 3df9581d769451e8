package dispatch

import "time"

// maxCustomerBuckets bounds the buckets of "*" limits. Past it, a new customer shares one bucket with other new ones.
const maxCustomerBuckets = 4096

type limitKey struct{ customer, class string }

// bucket is one token bucket.
type bucket struct {
	spec         LimitSpec
	tokens       float64
	last         time.Time
	passed, over uint64
	refused      uint64
}

func newBucket(now time.Time, s LimitSpec) *bucket {
	if s.Burst <= 0 {
		s.Burst = max(s.Rate, 1)
	}
	return &bucket{spec: s, tokens: s.Burst, last: now}
}

func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.last).Seconds(); dt > 0 {
		b.tokens = min(b.spec.Burst, b.tokens+dt*b.spec.Rate)
		b.last = now
	}
}

// limiter holds the buckets of the limits and, for "*" limits, one bucket per customer.
type limiter struct {
	buckets   map[limitKey]*bucket // by the Spec's customer and class
	perEach   map[limitKey]*bucket // by the call's customer and the Spec's class
	order     []limitKey
	hit       [6]*bucket // buckets of the call that allows looked at last
	hits      int
	nextPrune time.Time
	// Buckets that are used for the first time start with this fill at this time; full while the time is zero.
	startedAt time.Time
	startFill float64
}

func (l *limiter) configure(now time.Time, specs []LimitSpec) {
	old := l.buckets
	l.buckets = make(map[limitKey]*bucket, len(specs))
	l.order = l.order[:0]
	for _, s := range specs {
		key := limitKey{s.Customer, s.Class}
		b := newBucket(now, s)
		b.tokens = l.startTokens(now, b.spec)
		if o := old[key]; o != nil {
			o.refill(now)
			// The meter goes on, so that a change of configuration gives no fresh burst.
			b.tokens = min(o.tokens, b.spec.Burst)
			b.passed, b.over, b.refused = o.passed, o.over, o.refused
		}
		if l.buckets[key] == nil {
			l.order = append(l.order, key)
		}
		l.buckets[key] = b
	}
	if l.perEach == nil {
		l.perEach = map[limitKey]*bucket{}
	}
	for key, b := range l.perEach {
		parent := l.buckets[limitKey{"*", key.class}]
		if parent == nil {
			delete(l.perEach, key)
			continue
		}
		b.spec = parent.spec
		b.tokens = min(b.tokens, b.spec.Burst)
	}
	l.hits = 0
}

// allows reports whether no hard limit refuses the call, and remembers the call's buckets for take.
func (l *limiter) allows(now time.Time, r Request) bool {
	l.hits = 0
	if len(l.buckets) == 0 {
		return true
	}
	for _, class := range [2]string{r.Class, ""} {
		l.collect(l.buckets[limitKey{"", class}])
		if r.Customer != "" {
			l.collect(l.buckets[limitKey{r.Customer, class}])
		}
		if parent := l.buckets[limitKey{"*", class}]; parent != nil {
			l.collect(l.each(now, parent, r.Customer, class))
		}
		if r.Class == "" {
			break
		}
	}
	ok := true
	for _, b := range l.hit[:l.hits] {
		b.refill(now)
		if !b.spec.Soft && b.tokens < 1 {
			b.refused++
			ok = false
		}
	}
	return ok
}

func (l *limiter) collect(b *bucket) {
	if b != nil {
		l.hit[l.hits] = b
		l.hits++
	}
}

func (l *limiter) each(now time.Time, parent *bucket, customer, class string) *bucket {
	key := limitKey{customer, class}
	b := l.perEach[key]
	if b != nil {
		return b
	}
	if len(l.perEach) >= maxCustomerBuckets {
		key.customer = "*"
		if b = l.perEach[key]; b != nil {
			return b
		}
	}
	b = newBucket(now, parent.spec)
	b.tokens = l.startTokens(now, b.spec)
	l.perEach[key] = b
	return b
}

// take charges the call that allows looked at. Soft limits go below zero only by one token, so that a call past the
// limit counts as over but leaves no debt.
func (l *limiter) take(Request) {
	for _, b := range l.hit[:l.hits] {
		b.passed++
		if b.tokens < 1 {
			b.over++
			continue
		}
		b.tokens--
	}
	l.hits = 0
}

// retryAfter returns the time until the last refused call's buckets hold a token again.
func (l *limiter) retryAfter(Request) time.Duration {
	longest := time.Duration(0)
	for _, b := range l.hit[:l.hits] {
		if b.spec.Soft || b.tokens >= 1 {
			continue
		}
		if b.spec.Rate <= 0 {
			return maxRetryAfter
		}
		longest = max(longest, time.Duration((1-b.tokens)/b.spec.Rate*float64(time.Second)))
	}
	return min(longest, maxRetryAfter)
}

// pruneInterval is the period in which full buckets of "*" limits are dropped; a full bucket holds no state.
const pruneInterval = 10 * time.Second

func (l *limiter) prune(now time.Time) {
	if now.Before(l.nextPrune) {
		return
	}
	l.nextPrune = now.Add(pruneInterval)
	for key, b := range l.perEach {
		if b.refill(now); b.tokens >= b.spec.Burst {
			delete(l.perEach, key)
		}
	}
}

// Limits returns the meters of the limits in the order of the Spec.
func (p *Pool) Limits() []LimitStatus {
	out := make([]LimitStatus, 0, len(p.limits.order))
	for _, key := range p.limits.order {
		b := p.limits.buckets[key]
		out = append(out, LimitStatus{Limit: b.spec, Passed: b.passed, Refused: b.refused, Over: b.over})
	}
	return out
}
