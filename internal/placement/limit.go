package placement

import (
	"math"
	"time"
)

const (
	// limitBurst is the time for which an unused limit accumulates, within minLimitBurst and maxLimitBurst requests. It spans the time
	// for which a neighbour typically slows an upstream down, so that the limit isn't lost meanwhile.
	limitBurst                   = 500 * time.Millisecond
	minLimitBurst, maxLimitBurst = 2.0, 4.0
	// minLimit is the lowest rate, in requests per second, at which an upstream is used, because only its responses tell that a limit
	// of 0 no longer holds.
	minLimit = 0.1
	// workWeight is the weight of a request in the moving average of the service time of all routes.
	workWeight = 0.01
)

// rateLimit is the limit that an upstream names in its responses: the requests per second that it takes from all entries together.
// It is a token bucket. The zero value is no limit.
type rateLimit struct {
	named     bool
	perSecond float64
	namedAt   time.Time // last response that named it
	tokens    float64
	tokensAt  time.Time
}

// name sets the limit. The bucket of a new limit is empty, because requests that the limit counts may just have been sent by this or
// another entry.
func (l *rateLimit) name(now time.Time, perSecond float64) {
	if !l.named {
		l.tokens, l.tokensAt = 0, now
	}
	l.named, l.perSecond, l.namedAt = true, perSecond, now
}

// rate returns the requests per second for a pool that may use a share of the limit. A share of 0 stands for the whole limit.
func (l *rateLimit) rate(share float64) float64 {
	if share > 0 {
		return max(minLimit, l.perSecond) * share
	}
	return max(minLimit, l.perSecond)
}

// allowed returns the number of requests that the limit allows now.
func (l *rateLimit) allowed(now time.Time, share float64) int {
	if !l.named {
		return math.MaxInt
	}
	rate := l.rate(share)
	burst := max(minLimitBurst, min(maxLimitBurst, rate*limitBurst.Seconds()))
	l.tokens = min(burst, l.tokens+now.Sub(l.tokensAt).Seconds()*rate)
	l.tokensAt = now
	return int(l.tokens)
}

// take accounts for a request.
func (l *rateLimit) take() {
	if l.named {
		l.tokens--
	}
}

// LiftsLimit reports whether the result of an attempt without a limit in its response lifts the limit that was named last at namedAt.
// An attempt that started before doesn't, because responses may overtake each other.
func LiftsLimit(o Outcome, started, namedAt time.Time) bool {
	answered := o == Success || o == Failure
	return answered && started.After(namedAt)
}

// observe updates the limit with the result of a call. The start of an adopted call isn't known, so it lifts no limit.
func (l *rateLimit) observe(now time.Time, c *call, e End) {
	switch {
	case e.Limit != nil:
		l.name(now, *e.Limit)
	case !c.adopted && LiftsLimit(e.Outcome, c.started, l.namedAt):
		*l = rateLimit{}
	}
}

// SetLimit sets or, if limit is nil, lifts the limit of an upstream, as another entry or an earlier leader has learned it. An unknown
// ID has no effect.
func (p *Pool) SetLimit(now time.Time, upstreamID string, limit *float64) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return
	}
	if limit == nil {
		u.limit = rateLimit{}
	} else {
		u.limit.name(now, *limit)
	}
	p.updateCandidate(now, u)
}

// freeSlots is the number of requests that may start on the upstream now.
func (p *Pool) freeSlots(now time.Time, u *upstream) int {
	free := max(0, p.occupancy.limit(u.spec.Slots)-u.occupied())
	return min(free, u.limit.allowed(now, p.spec.LimitShare))
}

// throughput is the work that an upstream completes when it is fully used, in concurrent requests that aren't slowed down.
func (p *Pool) throughput(u *upstream) float64 {
	full := p.occupancy.throughput(u.spec.Slots)
	if !u.limit.named {
		return full
	}
	return min(full, u.limit.rate(p.spec.LimitShare)*p.averageWork.Seconds())
}

// countWork adds the service time of a request to the average.
func (p *Pool) countWork(work time.Duration) {
	if p.averageWork == 0 {
		p.averageWork = work
	}
	p.averageWork += time.Duration(workWeight * float64(work-p.averageWork))
}
