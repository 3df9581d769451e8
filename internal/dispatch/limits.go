package dispatch

import "time"

// maxCustomerBuckets bounds the number of per-customer buckets. Beyond it, new customers share one bucket.
const maxCustomerBuckets = 4096

type bucketKey struct{ customer, class string }

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

// limiter holds one token bucket per limit of the Spec and, for "*" limits, one per customer.
type limiter struct {
	buckets      map[bucketKey]*bucket // key: customer and class of the LimitSpec
	perCustomer  map[bucketKey]*bucket // key: customer of the call and class of the LimitSpec
	specOrder    []bucketKey
	matched      [6]*bucket // buckets that apply to the call last passed to allows
	matchedCount int
	nextPrune    time.Time
	// New buckets start with the fill ratio startFill as of startedAt, or full if startedAt is zero.
	startedAt time.Time
	startFill float64
}

func (l *limiter) configure(now time.Time, specs []LimitSpec) {
	old := l.buckets
	l.buckets = make(map[bucketKey]*bucket, len(specs))
	l.specOrder = l.specOrder[:0]
	for _, s := range specs {
		key := bucketKey{s.Customer, s.Class}
		b := newBucket(now, s)
		b.tokens = l.initialTokens(now, b.spec)
		if o := old[key]; o != nil {
			o.refill(now)
			// The tokens and counters are kept, so that a change of configuration does not allow another burst.
			b.tokens = min(o.tokens, b.spec.Burst)
			b.passed, b.over, b.refused = o.passed, o.over, o.refused
		}
		if l.buckets[key] == nil {
			l.specOrder = append(l.specOrder, key)
		}
		l.buckets[key] = b
	}
	if l.perCustomer == nil {
		l.perCustomer = map[bucketKey]*bucket{}
	}
	for key, b := range l.perCustomer {
		parent := l.buckets[bucketKey{"*", key.class}]
		if parent == nil {
			delete(l.perCustomer, key)
			continue
		}
		b.spec = parent.spec
		b.tokens = min(b.tokens, b.spec.Burst)
	}
	l.matchedCount = 0
}

// allows reports whether every hard limit admits the call. It remembers the buckets that apply, for charge and
// retryAfter.
func (l *limiter) allows(now time.Time, r Request) bool {
	l.matchedCount = 0
	if len(l.buckets) == 0 {
		return true
	}
	for _, class := range [2]string{r.Class, ""} {
		l.addMatch(l.buckets[bucketKey{"", class}])
		if r.Customer != "" {
			l.addMatch(l.buckets[bucketKey{r.Customer, class}])
		}
		if parent := l.buckets[bucketKey{"*", class}]; parent != nil {
			l.addMatch(l.customerBucket(now, parent, r.Customer, class))
		}
		if r.Class == "" {
			break
		}
	}
	ok := true
	for _, b := range l.matched[:l.matchedCount] {
		b.refill(now)
		if !b.spec.Soft && b.tokens < 1 {
			b.refused++
			ok = false
		}
	}
	return ok
}

func (l *limiter) addMatch(b *bucket) {
	if b != nil {
		l.matched[l.matchedCount] = b
		l.matchedCount++
	}
}

func (l *limiter) customerBucket(now time.Time, parent *bucket, customer, class string) *bucket {
	key := bucketKey{customer, class}
	b := l.perCustomer[key]
	if b != nil {
		return b
	}
	if len(l.perCustomer) >= maxCustomerBuckets {
		key.customer = "*"
		if b = l.perCustomer[key]; b != nil {
			return b
		}
	}
	b = newBucket(now, parent.spec)
	b.tokens = l.initialTokens(now, b.spec)
	l.perCustomer[key] = b
	return b
}

// charge takes a token for the call last passed to allows. A call beyond a soft limit is counted as over and takes no
// token, so that it leaves no debt.
func (l *limiter) charge(Request) {
	for _, b := range l.matched[:l.matchedCount] {
		b.passed++
		if b.tokens < 1 {
			b.over++
			continue
		}
		b.tokens--
	}
	l.matchedCount = 0
}

// retryAfter returns the time until the buckets that refused the call last passed to allows hold a token again.
func (l *limiter) retryAfter(Request) time.Duration {
	longest := time.Duration(0)
	for _, b := range l.matched[:l.matchedCount] {
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

// pruneInterval is the period at which full per-customer buckets are deleted; a full bucket holds no state.
const pruneInterval = 10 * time.Second

func (l *limiter) prune(now time.Time) {
	if now.Before(l.nextPrune) {
		return
	}
	l.nextPrune = now.Add(pruneInterval)
	for key, b := range l.perCustomer {
		if b.refill(now); b.tokens >= b.spec.Burst {
			delete(l.perCustomer, key)
		}
	}
}

// Limits returns the counters of the limits in the order of the Spec.
func (p *Pool) Limits() []LimitStatus {
	out := make([]LimitStatus, 0, len(p.limits.specOrder))
	for _, key := range p.limits.specOrder {
		b := p.limits.buckets[key]
		out = append(out, LimitStatus{Limit: b.spec, Passed: b.passed, Refused: b.refused, Over: b.over})
	}
	return out
}
