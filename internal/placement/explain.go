package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Fate says what the pool would do with an Ask.
type Fate string

// Fates of an Ask.
const (
	WouldStart  Fate = "start"
	WouldQueue  Fate = "queue"
	WouldRefuse Fate = "refuse"
)

// Explanation says what the pool would do with an Ask now, and why.
type Explanation struct {
	Fate         Fate
	Upstream     string        // of WouldStart
	Reason       Reason        // of WouldRefuse
	Waiting      int           // requests that wait
	ExpectedWait time.Duration // of a request that would queue
	ServiceTime  time.Duration // usual service time of the route
	Overloaded   bool          // no slots of fast upstreams have been to spare
	HedgeAfter   time.Duration // time after which the call is considered slow; 0 if it isn't hedged by slowness, or none is known yet
	// RequestBytesLimit is the limit on request bytes at an upstream, 0 if there is none. HeldByBytes says that only this limit keeps the
	// request from the upstreams that suit it.
	RequestBytesLimit int64
	HeldByBytes       bool
	Upstreams         []UpstreamExplanation
}

// UpstreamExplanation says how an upstream suits an Ask.
type UpstreamExplanation struct {
	Status
	Predicted time.Duration // predicted latency
	// Cost is what the choice compares: the predicted latency with penalties for distance, refusals, expected failures and occupied slots.
	Cost     time.Duration
	Excluded string // why the upstream can't get the request now; empty if it can
}

// Explain says what the pool would do with an Ask, without doing it. The state of the pool doesn't change. Where costs are almost
// equal, or there are more than maxCompared candidates, another upstream may be chosen.
func (p *Pool) Explain(now time.Time, a Ask) Explanation {
	q := p.forExplanation()
	c := &call{ask: a, queuedAt: now}
	e := Explanation{Waiting: len(p.waiting), ServiceTime: p.serviceTime(c), Overloaded: q.overloaded(now)}
	if p.spec.hedgesSlowCalls() && a.MayHedge && !a.Large {
		if l := p.hedging.latencies[a.Route]; l != nil {
			e.HedgeAfter, _ = l.percentile(hedgePercentile(*p.spec.HedgeLimit))
		}
	}
	e.RequestBytesLimit, e.HeldByBytes = p.spec.MaxRequestBytes, q.lacksBytes(now, c)
	for i, status := range q.Upstreams(now) {
		e.Upstreams = append(e.Upstreams, q.explainUpstream(now, c, q.sortedUpstreams[i], status))
	}
	e.Fate, e.Reason = q.fate(now, c)
	switch e.Fate {
	case WouldStart:
		e.Upstream = q.choose(now, c).spec.ID
	case WouldQueue:
		e.ExpectedWait = q.expectedWait(now, c)
	case WouldRefuse:
	}
	return e
}

// forExplanation returns a copy of the pool for decisions that start or queue nothing. Caches and token buckets, which such decisions
// update, are copies.
func (p *Pool) forExplanation() *Pool {
	q := *p
	q.rng = rand.New(rand.NewPCG(1, 1)) //nolint:gosec // spreads load
	q.sortedUpstreams = make([]*upstream, 0, len(p.sortedUpstreams))
	for _, u := range p.sortedUpstreams {
		v := *u
		q.sortedUpstreams = append(q.sortedUpstreams, &v)
	}
	q.shares = p.shares.clone()
	q.candidates = slices.Clone(p.candidates)
	for i := range q.candidates {
		q.candidates[i].upstream = q.sortedUpstreams[i]
	}
	return &q
}

// fate decides in the order of Submit. Whether the request has crashed upstreams isn't known, since that depends on its body.
func (p *Pool) fate(now time.Time, c *call) (Fate, Reason) {
	p.budget.advance(now, p.spec.RetryWindow)
	switch {
	case c.ask.Attempt > 1 && !p.budget.allow(&p.spec, p.budgetShare(now, c)):
		return WouldRefuse, ReasonBudget
	case !p.hasCandidate(c):
		return WouldRefuse, ReasonNoUpstream
	case now.Add(p.serviceTime(c)).After(c.ask.Deadline):
		return WouldRefuse, ReasonDeadline
	}
	p.shares.arrive(now, c, p.averageWork, p.serviceTime(c))
	switch {
	case p.choose(now, c) != nil:
		return WouldStart, ""
	case !p.canQueue(now, c) && p.displaceable(now, c) < 0:
		return WouldRefuse, ReasonOverload
	}
	return WouldQueue, ""
}

func (p *Pool) explainUpstream(now time.Time, c *call, u *upstream, status Status) UpstreamExplanation {
	k := p.newCandidate(now, u)
	k.jitter = 0
	s := p.newSearch(now, c, "")
	return UpstreamExplanation{Status: status, Predicted: p.predict(now, c, u), Cost: s.cost(&k), Excluded: p.exclusion(now, c, u)}
}

// exclusion says, in a text for operators, why an upstream can't get a call now. It is empty if the upstream can.
func (p *Pool) exclusion(now time.Time, c *call, u *upstream) string {
	switch {
	case u.spec.Closed:
		return "it or its data centre leaves"
	case !u.reachable:
		return "no connection to it"
	case u.wrongInstance:
		return "another process answers at its address"
	case !u.probed && !p.spec.AllowUnprobed:
		return "not probed yet"
	case now.Before(u.ejectedUntil):
		return "ejected, because too many of its requests failed"
	case now.Before(u.fullUntil):
		return "paused, because it refused a request as full"
	case !u.usable(now, p.spec.AllowUnprobed):
		return "its health checks fail"
	case !p.move.allows(u.spec.Version):
		return "its version gets no requests in this phase of the move"
	case !p.move.admits(u.spec.Version):
		return "its version has had its share of the trial"
	case slices.Contains(c.ask.Exclude, u.spec.ID):
		return "an earlier attempt of the request used it"
	case u.limit.allowed(now, p.spec.LimitShare) < 1:
		return "the limit that it names is used up"
	case p.freeSlots(now, u) < 1:
		return "no free slot"
	case !p.admitsBytes(c, u):
		return p.byteExclusion(c, u)
	case !p.eligible(now, c, u):
		return "cold, and its rate for a cold start is used up"
	}
	return ""
}
