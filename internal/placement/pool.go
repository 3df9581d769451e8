package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// nearBonus is what a shorter way is worth when two upstreams are equally fast.
	nearBonus = 4 * time.Millisecond
	// nearBonusLarge holds for large responses, whose bytes between data centres are expensive.
	nearBonusLarge = 40 * time.Millisecond
	// nearBonusUnprobed holds without probes: the upstreams of the entry's own data centre are likely to live as the entry does.
	nearBonusUnprobed = 500 * time.Millisecond
	// serviceMargin is the part of the service time that is kept in reserve for variation.
	serviceMargin = 1.15
	maxRetryAfter = 2 * time.Second
	// paceWeight makes the average follow the last few hundred reports.
	paceWeight = 0.005
	// serviceSteps is the number of steps in which the estimate of a service time doubles, about.
	serviceSteps = 25
	// maxCrashes is the number of upstreams that a request may crash before it is refused.
	maxCrashes  = 3
	crashMemory = 60 * time.Second
	// suspectTime is how long after a lost connection an upstream that can't be reached counts as crashed by it.
	suspectTime = 600 * time.Millisecond
)

// budgetRetryAfter is told where only the budget forbids another attempt at once.
const budgetRetryAfter = 10 * time.Millisecond

// MinRetryAfter is the shortest time after which a refused request may find room.
const MinRetryAfter = 50 * time.Millisecond

// Pool holds the state of one service.
type Pool struct {
	spec    Spec
	rng     *rand.Rand
	ups     map[string]*upstream
	order   []*upstream // by ID
	calls   map[uint64]*call
	waiting []*call
	work    [priorities]time.Duration // service times of the waiting calls, by priority
	base    map[string]time.Duration  // service time by route
	budget  budget
	move    moveState
	crashes map[uint64]crash
	slots   slotCount
	load    float64   // moving average of the calls that run
	spareAt time.Time // when slots were free beyond the reserve
	// averagePace is the moving average of the pace that upstreams report in probes.
	averagePace float64
	out         Decisions
}

// New returns an empty pool.
func New(rng *rand.Rand) *Pool {
	return &Pool{
		rng: rng, ups: map[string]*upstream{}, calls: map[uint64]*call{}, base: map[string]time.Duration{}, crashes: map[uint64]crash{},
		averagePace: 1,
	}
}

// Configure replaces the configuration. Upstreams that stay keep what was learned about them.
func (p *Pool) Configure(now time.Time, spec Spec) Decisions {
	p.begin()
	if p.spec.coldRate() == 0 {
		p.emptyAllowances(now)
	}
	p.spec = spec
	seen := make(map[string]bool, len(spec.Upstreams))
	for _, s := range spec.Upstreams {
		seen[s.ID] = true
		u := p.ups[s.ID]
		switch {
		case u == nil:
			p.ups[s.ID] = newUpstream(now, s)
		case u.spec.Born != s.Born || u.spec.Address != s.Address:
			u.restart(now, s)
		default:
			u.spec = s
		}
	}
	p.order = p.order[:0]
	for id, u := range p.ups {
		if !seen[id] {
			u.spec.Closed = true
			if len(u.running) == 0 {
				delete(p.ups, id)
				continue
			}
		}
		p.order = append(p.order, u)
	}
	slices.SortFunc(p.order, func(a, b *upstream) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	p.dispatch(now, nil)
	return p.out
}

// emptyAllowances ends a time in which cold upstreams got nothing from here, because other leaders may have used the bound meanwhile.
func (p *Pool) emptyAllowances(now time.Time) {
	for _, u := range p.ups {
		u.coldTokens, u.coldAt = 0, now
	}
}

func (p *Pool) begin() {
	p.out.Grants, p.out.Refusals = p.out.Grants[:0], p.out.Refusals[:0]
}

// Submit offers an ask: it is granted, waits, or is refused.
func (p *Pool) Submit(now time.Time, a Ask) Decisions {
	p.begin()
	c := &call{ask: a, queuedAt: now}
	p.budget.advance(now, p.spec.RetryWindow)
	if a.Attempt <= 1 {
		p.budget.requests[p.budget.current]++
	} else if !p.budget.allow(&p.spec, a.Returns) {
		return p.refuse(now, c, ReasonBudget)
	}
	if a.Fingerprint != 0 && len(p.crashes[a.Fingerprint].upstreams) >= maxCrashes {
		return p.refuse(now, c, ReasonCrashes)
	}
	p.move.arrived()
	if !p.anyFor(c) {
		return p.refuse(now, c, ReasonNoUpstream)
	}
	base := p.serviceTime(c)
	if now.Add(base).After(a.Deadline) {
		return p.refuse(now, c, ReasonDeadline)
	}
	if u := p.choose(now, c); u != nil {
		p.grant(now, c, u)
		return p.out
	}
	if !p.admits(now, c) {
		return p.refuse(now, c, ReasonOverload)
	}
	p.enqueue(c)
	return p.out
}

func (p *Pool) grant(now time.Time, c *call, u *upstream) {
	c.up, c.started, c.pace, c.cold = u, now, u.expectedPace(now), u.cold(now)
	c.predicted = p.predict(now, c, u)
	if c.cold {
		u.coldTokens--
	}
	if c.ask.Attempt > 1 {
		p.budget.repeats[p.budget.current]++
	}
	u.running[c.ask.ID] = c
	p.calls[c.ask.ID] = c
	p.move.placed(u.spec.Version)
	p.out.Grants = append(p.out.Grants, Grant{
		Ask: c.ask.ID, Upstream: u.spec.ID, Address: u.spec.Address, Cold: c.cold, Pace: u.pace, PaceAge: ageOf(now, u.paceAt),
		Waited: now.Sub(c.queuedAt), Running: len(u.running),
	})
}

func ageOf(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

func (p *Pool) refuse(now time.Time, c *call, reason Reason) Decisions {
	after := max(MinRetryAfter, min(maxRetryAfter, p.expectedWait(now, c)))
	switch reason {
	case ReasonCrashes:
		after = maxRetryAfter
	case ReasonBudget:
		after = budgetRetryAfter
	default:
	}
	p.out.Refusals = append(p.out.Refusals, Refusal{Ask: c.ask.ID, Reason: reason, RetryAfter: after, Queued: len(p.waiting)})
	return p.out
}

// Finish ends a granted ask, frees its slot and learns from the outcome. An unknown ID has no effect.
func (p *Pool) Finish(now time.Time, e End) Decisions {
	p.begin()
	c := p.calls[e.Ask]
	if c == nil {
		return p.out
	}
	delete(p.calls, e.Ask)
	delete(c.up.running, e.Ask)
	if c.up.observeEnd(now, c, e, p.serviceTime(c)) {
		p.learnServiceTime(c, e.Latency)
	}
	if p.spec.AllowUnprobed && !c.up.reachable {
		c.up.avoid(now) // no probe will tell that it can be reached again
	}
	p.move.ended(c, e, p.serviceTime(c))
	p.limitEjections(now)
	p.noteCrash(now, c, e)
	p.dispatch(now, c.up)
	return p.out
}

// learnServiceTime moves the estimate towards the median, which slow upstreams don't distort.
func (p *Pool) learnServiceTime(c *call, latency time.Duration) {
	base := p.base[c.ask.Route]
	switch {
	case base == 0:
		base = latency
	case latency > base:
		base += base / serviceSteps
	default:
		base -= base / serviceSteps
	}
	p.base[c.ask.Route] = base
}

// limitEjections lifts ejections when half of the upstreams are ejected: then the cause is elsewhere.
func (p *Pool) limitEjections(now time.Time) {
	ejected, open := 0, 0
	for _, u := range p.order {
		if u.spec.Closed || !u.reachable {
			continue
		}
		open++
		if now.Before(u.ejectedUntil) {
			ejected++
		}
	}
	if ejected*2 <= open {
		return
	}
	for _, u := range p.order {
		u.ejectedUntil = time.Time{}
	}
}

// Cancel drops an ask that waits, and reports whether it did. A granted one is ended by Finish.
func (p *Pool) Cancel(ask uint64) bool {
	return p.dequeue(func(c *call) bool { return c.ask.ID == ask }) > 0
}

// Probe records the result of a health probe.
func (p *Pool) Probe(now time.Time, r Probe) Decisions {
	p.begin()
	u := p.ups[r.Upstream]
	if u == nil {
		return p.out
	}
	before := u.pace
	wasUsable := u.usable(now, p.spec.AllowUnprobed)
	u.observeProbe(now, r)
	if r.Load != nil && r.Load.Pace > 0 {
		p.averagePace += paceWeight * (r.Load.Pace - p.averagePace)
	}
	if !r.Answered {
		p.confirmCrashes(now, u)
	} else if len(u.suspects) > 0 && now.Sub(u.suspects[len(u.suspects)-1].at) > suspectTime {
		u.suspects = u.suspects[:0]
	}
	p.hedgeRunning(now, u)
	if u.pace < before || !wasUsable {
		p.dispatch(now, u)
	}
	return p.out
}

// Tick refuses calls that have waited too long and places others. Call it about every 10 ms.
func (p *Pool) Tick(now time.Time) Decisions {
	p.begin()
	p.expireCrashes(now)
	p.expire(now)
	p.dispatch(now, nil)
	return p.out
}

// Adopt counts a call that was granted by an earlier owner of the pool and is still running.
func (p *Pool) Adopt(now time.Time, a Ask, upstreamID string) {
	u := p.ups[upstreamID]
	if u == nil || p.calls[a.ID] != nil {
		return
	}
	c := &call{ask: a, up: u, started: now, queuedAt: now, pace: u.expectedPace(now), crowded: true}
	u.running[a.ID] = c
	p.calls[a.ID] = c
}

// Status describes one upstream.
type Status struct {
	ID, Address, DataCentre, Version string
	Slots, Running                   int
	Pace, Slowdown, Failures         float64
	Usable, Cold, Closed             bool
}

// Upstreams returns the status of each upstream, ordered by ID.
func (p *Pool) Upstreams(now time.Time) []Status {
	out := make([]Status, 0, len(p.order))
	for _, u := range p.order {
		out = append(out, Status{
			ID: u.spec.ID, Address: u.spec.Address, DataCentre: u.spec.DataCentre, Version: u.spec.Version, Slots: u.spec.Slots,
			Running: len(u.running), Pace: u.pace, Slowdown: u.slowdown(now, p.averagePace), Failures: u.failures,
			Usable: u.usable(now, p.spec.AllowUnprobed), Cold: u.cold(now), Closed: u.spec.Closed,
		})
	}
	return out
}

// Waiting is the number of asks in the queue.
func (p *Pool) Waiting() int { return len(p.waiting) }
