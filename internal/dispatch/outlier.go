package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// sampleGain weighs a new sample in an upstream's latency and failure rate.
	sampleGain = 0.1
	// ratioGain weighs a new sample in the ratio that decides which upstreams are used last. With sampleGain, chance
	// alone takes it past avoidRatio every few seconds in a pool of 25.
	ratioGain = 0.03
	// clipRatio bounds a sample relative to the peers' median, so that one extreme call ejects nobody.
	clipRatio = 8
	// slowRatio is the mean latency relative to the peers' median at which an upstream is ejected as slow.
	slowRatio = 3
	// avoidRatio and normalRatio bound the state in which a slower upstream is used last. The gap prevents flapping.
	avoidRatio  = 1.7
	normalRatio = 1.35
	// minSamples is the number of latency samples before an upstream is judged.
	minSamples = 8
	// failureMargin is added to the peers' failure rate before an upstream's own rate ejects it.
	failureMargin = 0.25
	// falseEjectionOdds is the accepted chance that a run of failures happens at the peers' failure rate.
	falseEjectionOdds = 1e-6
	// peerFailureFloor stands for the failure rate of peers that don't fail; it makes 3 failures in a row conclusive.
	peerFailureFloor = 0.01
	ejectionBackoff  = time.Second
	maxEjection      = time.Minute
	// forgiveAfter is the time without an ejection after which the backoff starts again at its lowest value.
	forgiveAfter = time.Minute
	// avoidDecay lets an avoided upstream's ratio fall per maintenance interval, so that it is tried again.
	avoidDecay = 0.985
	// stuckRatio is the age of every running call, relative to the peers' median, that counts as slow evidence.
	stuckRatio = 4
)

// routeStat is an upstream's latency on one route.
type routeStat struct {
	mean float64 // seconds
	n    int
}

func (s *routeStat) add(seconds float64) {
	s.n++
	s.mean += max(sampleGain, 1/float64(s.n)) * (seconds - s.mean)
}

// learn records the outcome of a call. The caller relinks the upstream.
func (p *Pool) learn(now time.Time, u *upstream, c *call, o Outcome) {
	seconds := o.Latency.Seconds()
	ratio := u.ratioOf(c.route, seconds)
	switch o.Kind {
	case Success:
		p.observeService(c, seconds)
		u.notRunInRow, u.refusedConns = 0, 0
		p.countFailure(u, false)
		p.observeLatency(now, u, c.route, seconds)
		if ratio < coldSlowRatio {
			u.warmUp()
		} else if u.limited() {
			u.halve()
		}
	case Failure:
		p.countFailure(u, true)
	case Crashed:
		p.countFailure(u, true)
		p.becomeCold(u, "crashed")
	case ConnectFailed:
		p.becomeCold(u, "connection refused")
		p.observeRefusedConnection(now, u)
	case TimedOut:
		// A short deadline of the caller proves nothing; only a call that ran far longer than usual does.
		if ratio >= slowRatio {
			p.countFailure(u, true)
			p.observeLatency(now, u, c.route, seconds)
		}
	case NotRun:
		p.observeRefusal(now, u)
	case Cancelled:
		// The call would have taken longer still. Without this, hedges would hide a slow upstream.
		if seconds > u.routes[c.route].mean {
			p.observeLatency(now, u, c.route, seconds)
		}
	}
	p.observeReport(now, u, o.Report, ratio)
	p.judgeFailing(now, u)
}

func (p *Pool) observeService(c *call, seconds float64) {
	e := &p.classes[c.class].service
	if e.n == 0 {
		e.mean = p.service.mean
	}
	e.add(seconds)
	p.service.add(seconds)
}

// observeRefusal handles a not-run response.
func (p *Pool) observeRefusal(now time.Time, u *upstream) {
	u.notRunInRow++
	shared := u.group.refusing(u)
	switch {
	case u.notRunInRow >= refusalsUntilEjected && !shared:
		p.eject(now, u, "refuses every call")
	case u.cold || u.notRunInRow < refusalsUntilCold || shared:
		u.halve()
	default:
		p.becomeCold(u, "refuses calls")
	}
}

// ratioOf returns a latency relative to the peers' median on the route, or 0 when that is unknown.
func (u *upstream) ratioOf(route int, seconds float64) float64 {
	median := u.group.medians[route]
	if median == 0 {
		return 0
	}
	return seconds / median
}

func (p *Pool) observeLatency(now time.Time, u *upstream, route int, seconds float64) {
	s := &u.routes[route]
	if ratio := u.ratioOf(route, seconds); ratio > 0 {
		ratio = min(ratio, clipRatio)
		seconds = ratio * u.group.medians[route]
		u.ratio += ratioGain * (ratio - u.ratio)
	}
	s.add(seconds)
	p.judgeSlow(now, u, route)
}

// judgeSlow ejects an upstream that is slow on all routes, keeps calls of a single slow route away from it, or lets it
// be used last.
func (p *Pool) judgeSlow(now time.Time, u *upstream, route int) {
	if u.ratio > avoidRatio {
		u.avoid = true
	} else if u.ratio < normalRatio {
		u.avoid = false
	}
	s := &u.routes[route]
	if u.cold || u.ejected() || s.n < minSamples || u.ratioOf(route, s.mean) < slowRatio {
		return
	}
	if !u.normalElsewhere(route) {
		p.eject(now, u, "slow")
		return
	}
	if u.group.slowOn(route)*2 < len(u.group.members)-1 {
		u.slowRoutes |= 1 << route
		u.slowUntil = now.Add(p.backoff(u.ejections))
	}
}

// normalElsewhere reports whether the upstream runs another route at normal latency.
func (u *upstream) normalElsewhere(route int) bool {
	for i := range u.routes {
		if i == route || u.slowRoutes&(1<<i) != 0 || u.routes[i].n < minSamples {
			continue
		}
		if r := u.ratioOf(i, u.routes[i].mean); r > 0 && r < avoidRatio {
			return true
		}
	}
	return false
}

// slowOn counts the members that get no calls of the route.
func (g *group) slowOn(route int) int {
	n := 0
	for _, u := range g.members {
		if u.slowRoutes&(1<<route) != 0 {
			n++
		}
	}
	return n
}

func (p *Pool) countFailure(u *upstream, failed bool) {
	before := u.failRate
	sample := 0.0
	u.failsInRow++
	if failed {
		sample = 1
	} else {
		u.failsInRow = 0
	}
	u.outcomes++
	u.failRate += sampleGain * (sample - u.failRate)
	u.group.failSum += u.failRate - before
}

// judgeFailing ejects an upstream that fails far more than its peers.
func (p *Pool) judgeFailing(now time.Time, u *upstream) {
	peers := len(u.group.members) - 1
	if u.failsInRow == 0 || u.ejected() || peers == 0 {
		return
	}
	peerRate := min(max((u.group.failSum-u.failRate)/float64(peers), peerFailureFloor), 0.99)
	run := math.Log(falseEjectionOdds) / math.Log(peerRate)
	onTrial := u.ejections > 0 && u.limited() && peerRate < failureMargin
	switch {
	case onTrial, float64(u.failsInRow) >= run-1e-9:
		p.eject(now, u, "failing")
	case u.outcomes >= minSamples && u.failRate > failureMargin+2*peerRate:
		p.eject(now, u, "failing")
	}
}

// judgeStuck counts slow evidence while no running call of the upstream ends.
func (p *Pool) judgeStuck(now time.Time, u *upstream) {
	if u.newest == nil || u.inFlight < min(2, u.limit()) {
		return
	}
	age := now.Sub(u.newest.granted).Seconds()
	if u.ratioOf(u.newest.route, age) > stuckRatio {
		p.observeLatency(now, u, u.newest.route, age)
	}
}

// eject takes the upstream's slots away for a backoff time. Past half of the pool it is only used last.
func (p *Pool) eject(now time.Time, u *upstream, reason string) {
	if u.ejected() {
		return
	}
	if (p.ejected+1)*2 > p.active() {
		u.avoid = true
		return
	}
	p.ejected++
	u.ejectReason = reason
	u.ejectedUntil = now.Add(p.backoff(u.ejections))
	u.lastEjected = now
	u.ejections++
	p.resetEvidence(u)
}

// resetEvidence forgets what led to an ejection, so that the trial after it starts afresh.
func (p *Pool) resetEvidence(u *upstream) {
	u.group.failSum -= u.failRate
	u.failRate, u.outcomes, u.failsInRow, u.notRunInRow = 0, 0, 0, 0
	u.ratio, u.avoid, u.slowRoutes = 1, false, 0
	u.routes = [maxRoutes]routeStat{}
}

// active counts the upstreams that are not leaving.
func (p *Pool) active() int {
	n := 0
	for _, u := range p.upstreams {
		if !u.leaving() {
			n++
		}
	}
	return n
}

// backoff doubles with each ejection in a row and varies by a fifth, so that upstreams don't return together.
func (p *Pool) backoff(ejections int) time.Duration {
	d := min(ejectionBackoff<<min(ejections, 10), maxEjection)
	return d - d/10 + time.Duration(p.rng.Int63n(int64(d/5)))
}

// keepHalf ends the oldest ejections while more than half of the pool is ejected, after upstreams left.
func (p *Pool) keepHalf() {
	for p.ejected > 0 && p.ejected*2 > p.active() {
		var oldest *upstream
		for _, u := range p.upstreams {
			if u.ejected() && (oldest == nil || u.ejectedUntil.Before(oldest.ejectedUntil)) {
				oldest = u
			}
		}
		p.readmit(oldest)
	}
}

// readmit ends an ejection; the upstream starts again with one slot.
func (p *Pool) readmit(u *upstream) {
	p.ejected--
	u.ejectedUntil = time.Time{}
	u.allowance = 1
	u.coldProgress = 0
	p.relink(u)
}

// expireState ends what is limited in time: ejections, slow routes, avoidance and reported work of other senders.
func (p *Pool) expireState(now time.Time, u *upstream) {
	if u.ejected() && !now.Before(u.ejectedUntil) {
		if u.probeFailed && now.Before(p.confirmedUntil) {
			u.ejectedUntil = now.Add(p.backoff(u.ejections))
			u.ejections++
		} else {
			p.readmit(u)
		}
	}
	if u.ejections > 0 && !u.ejected() && now.Sub(u.lastEjected) > maxEjection+forgiveAfter {
		u.ejections = 0
	}
	if !u.unreachable.IsZero() && !now.Before(u.unreachable) {
		u.unreachable = time.Time{}
	}
	if !u.settleUntil.IsZero() && !now.Before(u.settleUntil) {
		u.settleUntil = time.Time{}
	}
	if u.slowRoutes != 0 && !now.Before(u.slowUntil) {
		for i := range u.routes {
			if u.slowRoutes&(1<<i) != 0 {
				u.routes[i] = routeStat{}
			}
		}
		u.slowRoutes = 0
	}
	if u.avoid {
		u.ratio = 1 + (u.ratio-1)*avoidDecay
		u.avoid = u.ratio >= normalRatio
	}
	if u.report.foreign > 0 && now.After(u.report.foreignUntil) {
		u.report.foreign = 0
	}
}

// updateMedians recomputes the peers' median latency per route, over warm upstreams if there are any.
func (p *Pool) updateMedians() {
	for _, g := range p.groups {
		for route := range min(len(p.routes)+1, maxRoutes) {
			median := p.median(g, route, false)
			if median == 0 {
				median = p.median(g, route, true)
			}
			if median > 0 {
				g.medians[route] = median
			}
		}
	}
}

// median returns the lower median of the members' mean latency on a route; with two members that is the faster one.
func (p *Pool) median(g *group, route int, cold bool) float64 {
	p.scratch = p.scratch[:0]
	for _, u := range g.members {
		if s := &u.routes[route]; u.cold == cold && s.n >= minSamples/2 {
			p.scratch = append(p.scratch, s.mean)
		}
	}
	if len(p.scratch) < min(2, len(g.members)) {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2]
}

// meanLatency is the mean over the routes, weighed by nothing but their presence; for display only.
func (u *upstream) meanLatency() time.Duration {
	sum, n := 0.0, 0
	for i := range u.routes {
		if u.routes[i].n > 0 {
			sum += u.routes[i].mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n) * float64(time.Second))
}

// extraLatency is how much longer than its peers the upstream takes, in seconds.
func (u *upstream) extraLatency() float64 {
	for i, median := range u.group.medians {
		if median > 0 && u.routes[i].n > 0 {
			return (u.ratio - 1) * median
		}
	}
	return 0
}
