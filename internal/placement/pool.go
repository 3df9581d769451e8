package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// defaultRemotePenalty is the cost of using another data centre. It makes the nearer of two equally fast upstreams win.
	defaultRemotePenalty = 4 * time.Millisecond
	// largeRemotePenalty applies to large responses, because traffic between data centres is expensive.
	largeRemotePenalty = 40 * time.Millisecond
	// unprobedRemotePenalty applies without probes: the upstreams in the entry's own data centre are the most likely to be up,
	// since the entry itself is.
	unprobedRemotePenalty = 500 * time.Millisecond
	// serviceTimeMargin is the factor applied to the service time to allow for variation.
	serviceTimeMargin = 1.15
	maxRetryAfter     = 2 * time.Second
	// paceWeight is the weight of a report in the moving average of the pace, which spans a few hundred reports.
	paceWeight = 0.005
	// serviceTimeStepDivisor is the reciprocal of the relative step of a service time estimate, which doubles in about this many
	// steps.
	serviceTimeStepDivisor = 25
)

// budgetRetryAfter is the RetryAfter of refusals for lack of budget. It is short because there may be free slots.
const budgetRetryAfter = 10 * time.Millisecond

// MinRetryAfter is the minimum RetryAfter of refusals for lack of capacity.
const MinRetryAfter = 50 * time.Millisecond

// Pool schedules the requests of one service.
type Pool struct {
	spec            Spec
	rng             *rand.Rand
	upstreams       map[string]*upstream
	sortedUpstreams []*upstream // ordered by ID
	calls           map[uint64]*call
	waiting         []*call                           // sorted, see sortWaiting
	nextLate        time.Time                         // no queued call becomes late before; zero if all are late
	work            [priorityLevels + 1]time.Duration // total service time of the waiting calls, by level
	lateRetries     lateRetries
	tries           callerTries
	base            map[string]time.Duration // estimated service time by route, on an upstream that isn't slowed down
	budget          budget
	move            moveState
	crashes         map[uint64]crashHistory
	slots           slotCount
	candidates      []candidate // in the order of sortedUpstreams; may be outdated, see currentCandidates
	candidatesAt    time.Time
	meanAccepted    float64 // mean acceptedShare of the usable candidates
	failures        float64 // failure rate of the usable candidates, see recentResults
	occupancy       occupancy
	arrivals        arrivalRates
	startBound      startBound
	shares          shares
	averageRunning  float64   // moving average of the number of running calls
	lastSpareAt     time.Time // last time at which slots of fast upstreams were free beyond the reserve
	// averagePace is the moving average of the pace that upstreams report in probes.
	averagePace float64
	averageWork time.Duration // moving average of the service times of arriving requests
	hedging     hedging
	suspension  suspension
	bytes       requestBytesState
	losses      losses
	decisions   Decisions
}

// New returns an empty pool.
func New(rng *rand.Rand) *Pool {
	return &Pool{
		rng: rng, upstreams: map[string]*upstream{}, calls: map[uint64]*call{}, base: map[string]time.Duration{}, crashes: map[uint64]crashHistory{},
		averagePace: 1, occupancy: newOccupancy(), hedging: newHedging(),
	}
}

// Configure replaces the configuration. Upstreams that remain keep their statistics, unless they restarted or moved to another
// address.
func (p *Pool) Configure(now time.Time, spec Spec) Decisions {
	p.begin(now)
	if p.spec.coldRate() == 0 {
		p.clearColdTokens(now)
	}
	p.spec = spec
	p.occupancy.maxInFlight = spec.MaxInFlight
	seen := make(map[string]bool, len(spec.Upstreams))
	for _, s := range spec.Upstreams {
		seen[s.ID] = true
		u := p.upstreams[s.ID]
		switch {
		case u == nil:
			p.upstreams[s.ID] = newUpstream(now, s)
		case u.spec.Born != s.Born || u.spec.Address != s.Address:
			p.attributeCrash(now, 0, u)
			u.reset(now, s)
		default:
			u.spec = s
		}
	}
	p.sortedUpstreams = p.sortedUpstreams[:0]
	for id, u := range p.upstreams {
		if !seen[id] {
			u.spec.Closed = true
			if len(u.running) == 0 {
				delete(p.upstreams, id)
				continue
			}
		}
		p.sortedUpstreams = append(p.sortedUpstreams, u)
	}
	slices.SortFunc(p.sortedUpstreams, func(a, b *upstream) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	p.expireCandidates()
	p.dispatch(now, nil)
	return p.decisions
}

// clearColdTokens discards the tokens of cold upstreams after a time in which the cold rate was 0, because other leaders may
// have used the limit in the meantime.
func (p *Pool) clearColdTokens(now time.Time) {
	for _, u := range p.upstreams {
		u.coldTokens, u.coldTokensAt = 0, now
	}
}

// Submit schedules an Ask: it is granted, queued or refused.
func (p *Pool) Submit(now time.Time, a Ask) Decisions {
	p.begin(now)
	c := &call{ask: a, queuedAt: now}
	p.observeTry(now, c)
	p.budget.advance(now, p.spec.RetryWindow)
	if a.Attempt <= 1 {
		p.budget.countRequest()
	} else if !p.budget.allow(&p.spec, p.budgetShare(now, c)) {
		return p.refuse(now, c, ReasonBudget)
	}
	if p.refusesCrasher(now, a.Fingerprint) {
		return p.refuse(now, c, ReasonCrashes)
	}
	p.move.countArrival()
	if !p.isLateRetry(now, c) {
		p.arrivals.add(now, priorityLevel(c), p.serviceTime(c))
	}
	p.countWork(p.serviceTime(c))
	if !p.hasCandidate(c) {
		return p.refuse(now, c, ReasonNoUpstream)
	}
	base := p.serviceTime(c)
	if now.Add(base).After(a.Deadline) {
		return p.refuse(now, c, ReasonDeadline)
	}
	p.shares.arrive(now, c, p.averageWork, base)
	if u := p.choose(now, c); u != nil {
		p.grant(now, c, u)
		return p.decisions
	}
	p.recordHeld(now, c)
	if !p.canQueue(now, c) && !p.displace(now, c) {
		return p.refuse(now, c, ReasonOverload)
	}
	p.enqueue(c)
	return p.decisions
}

func (p *Pool) grant(now time.Time, c *call, u *upstream) {
	c.full = p.occupancy.slowdown(u.spec.Slots, u.occupied())
	c.target, c.started, c.pace, c.cold = u, now, u.expectedPace(now)*c.full, u.cold(now)
	c.born, c.predicted = u.spec.Born, p.predict(now, c, u)
	if c.cold {
		u.coldTokens--
	}
	u.limit.take()
	p.shares.start(c)
	if c.ask.Attempt > 1 {
		p.budget.retries[p.budget.currentBucket]++
	}
	u.running[c.ask.ID] = c
	p.calls[c.ask.ID] = c
	p.watchForHedge(c)
	p.endReservationOf(now, c)
	p.updateCandidate(now, u)
	p.move.countPlacement(u.spec.Version)
	p.decisions.Grants = append(p.decisions.Grants, Grant{
		Ask: c.ask.ID, Upstream: u.spec.ID, Born: u.spec.Born, Address: u.spec.Address, Cold: c.cold, Pace: u.pace, PaceAge: ageOf(now, u.paceAt),
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
	after := max(MinRetryAfter, min(maxRetryAfter, p.drainTime(now, c)))
	switch reason {
	case ReasonCrashes:
		after = maxRetryAfter
	case ReasonBudget:
		after = budgetRetryAfter
	default:
		p.countHeldRefusal(c)
	}
	if p.spec.ObjectiveFromFirstTry {
		p.tries.fail(now, c)
	}
	p.decisions.Refusals = append(p.decisions.Refusals, Refusal{Ask: c.ask.ID, Reason: reason, RetryAfter: after, Queued: len(p.waiting)})
	return p.decisions
}

// Finish reports the result of a granted Ask, frees its slot and updates the statistics. An unknown ID has no effect.
func (p *Pool) Finish(now time.Time, e End) Decisions {
	p.begin(now)
	c := p.calls[e.Ask]
	if c == nil {
		return p.decisions
	}
	delete(p.calls, e.Ask)
	delete(c.target.running, e.Ask)
	p.observeLatency(c, e)
	if !p.deferLoss(now, c, e) && c.target.observeEnd(now, c, e, p.serviceTime(c)) {
		p.updateServiceTime(c, e.Latency) // observeEnd has found the latency typical
	}
	if p.spec.AllowUnprobed && !c.target.reachable {
		c.target.ejectUnreachable(now) // there is no probe that would detect its recovery
	}
	c.target.limit.observe(now, c, e)
	p.move.recordEnd(c, e, p.serviceTime(c))
	if now.Before(c.target.ejectedUntil) {
		p.limitEjections(now)
	}
	p.observeTryEnd(now, c, e.Outcome)
	p.trackCrashSuspect(now, c, e)
	p.updateCandidate(now, c.target)
	p.dispatch(now, c.target)
	return p.decisions
}

// updateServiceTime moves the estimate towards the median latency, which is robust against slow upstreams. A call that started
// on a full upstream tells by how much such calls are slowed down instead.
func (p *Pool) updateServiceTime(c *call, latency time.Duration) {
	base := p.base[c.ask.Route]
	if c.full > 1 {
		if base > 0 {
			p.occupancy.observe(latency, base)
		}
		return
	}
	p.occupancy.decay()
	switch {
	case base == 0:
		base = latency
	case latency > base:
		base += base / serviceTimeStepDivisor
	default:
		base -= base / serviceTimeStepDivisor
	}
	p.base[c.ask.Route] = base
}

// limitEjections cancels all ejections when more than half of the upstreams are ejected, because then the cause is probably not
// the upstreams.
func (p *Pool) limitEjections(now time.Time) {
	ejected, inService := 0, 0
	for _, u := range p.sortedUpstreams {
		if u.spec.Closed || !u.reachable {
			continue
		}
		inService++
		if now.Before(u.ejectedUntil) {
			ejected++
		}
	}
	if ejected*2 <= inService {
		return
	}
	for _, u := range p.sortedUpstreams {
		u.ejectedUntil = time.Time{}
	}
	p.expireCandidates()
}

// Cancel removes an Ask from the queue and reports whether it was there. A granted Ask is ended by Finish.
func (p *Pool) Cancel(ask uint64) bool {
	return p.dequeue(func(c *call) bool { return c.ask.ID == ask }) > 0
}

// Probe records the result of a health probe.
func (p *Pool) Probe(now time.Time, r Probe) Decisions {
	p.begin(now)
	u := p.upstreams[r.Upstream]
	if u == nil {
		return p.decisions
	}
	if p.resetsWhileFull(now, u, r) {
		u.backOffFull(now)
		p.updateCandidate(now, u)
		return p.decisions
	}
	previousPace := u.pace
	wasUsable := u.usable(now, p.spec.AllowUnprobed)
	u.observeProbe(now, r)
	if r.Load != nil && r.Load.Pace > 0 {
		p.averagePace += paceWeight * (r.Load.Pace - p.averagePace)
	}
	p.probedAfterLosses(now, u, r)
	if !r.Answered || r.WrongInstance {
		p.attributeCrash(now, r.Age, u)
	} else if len(u.suspects) > 0 && now.Add(-r.Age).Sub(u.suspects[len(u.suspects)-1].at) > suspectWindow {
		u.suspects = u.suspects[:0]
	}
	p.updateCandidate(now, u)
	p.hedgeLateCalls(now, r.Age, u)
	if u.pace < previousPace || !wasUsable {
		p.dispatch(now, u)
	}
	return p.decisions
}

// Tick refuses queued calls that have waited too long and starts others. Call it about every 10 ms.
func (p *Pool) Tick(now time.Time) Decisions {
	p.begin(now)
	p.suspension.tickedAt = now
	p.expireCrashes(now)
	p.tries.expire(now)
	p.expireLosses(now)
	p.limitEjections(now)
	p.refuseExpired(now)
	p.reserveBytes(now)
	p.dispatch(now, nil)
	p.hedgeSlowCalls(now)
	return p.decisions
}

// Adopt adds a running call that a previous owner of the pool granted.
func (p *Pool) Adopt(now time.Time, a Ask, upstreamID string) {
	u := p.upstreams[upstreamID]
	if u == nil || p.calls[a.ID] != nil {
		return
	}
	c := &call{ask: a, target: u, born: u.spec.Born, started: now, queuedAt: now, pace: u.expectedPace(now), full: 1, adopted: true}
	u.running[a.ID] = c
	p.calls[a.ID] = c
	p.updateCandidate(now, u)
}

// Status is the state of one upstream.
type Status struct {
	ID, Address, DataCentre, Version string
	Slots, Running                   int
	RequestBytes                     int64 // of the running requests
	Pace, Slowdown, Failures         float64
	Usable, Cold, Closed             bool
}

// Upstreams returns the status of each upstream, ordered by ID.
func (p *Pool) Upstreams(now time.Time) []Status {
	out := make([]Status, 0, len(p.sortedUpstreams))
	for _, u := range p.sortedUpstreams {
		out = append(out, Status{
			ID: u.spec.ID, Address: u.spec.Address, DataCentre: u.spec.DataCentre, Version: u.spec.Version, Slots: u.spec.Slots,
			Running: len(u.running), RequestBytes: u.requestBytes(), Pace: u.pace, Slowdown: u.slowdown(now, p.averagePace), Failures: u.failureRate,
			Usable: u.usable(now, p.spec.AllowUnprobed), Cold: u.cold(now), Closed: u.spec.Closed,
		})
	}
	return out
}

// AddSlotsByDataCentre adds the slots of the upstreams that may get requests, and 0 for the others.
func (p *Pool) AddSlotsByDataCentre(slots map[string]int) {
	for _, u := range p.sortedUpstreams {
		n := 0
		if !u.spec.Closed && u.reachable && u.probed {
			n = u.spec.Slots
		}
		slots[u.spec.DataCentre] += n
	}
}

// Waiting returns the length of the queue.
func (p *Pool) Waiting() int { return len(p.waiting) }
