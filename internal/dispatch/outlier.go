package dispatch

import (
	"math"
	"time"
)

const (
	// sampleGain is the weight of a new sample in an upstream's latency and failure rate.
	sampleGain = 0.1
	// ratioGain is the weight of a new sample in latencyRatio, by which upstreams become degraded. With sampleGain, random
	// variation alone would exceed degradedRatio every few seconds in a pool of 25.
	ratioGain = 0.03
	// maxSampleRatio caps a sample relative to the peers' median, so that one extreme call ejects no upstream.
	maxSampleRatio = 8
	// slowRatio is the mean latency, relative to the peers' median, at which an upstream is ejected as slow.
	slowRatio = 3
	// An upstream is degraded, and used as a last resort, once its latencyRatio exceeds degradedRatio and until it falls
	// below recoveredRatio. The gap between the two prevents flapping.
	degradedRatio  = 1.7
	recoveredRatio = 1.35
	// minSamples is the number of samples before an upstream is compared with its peers.
	minSamples = 8
	// failureMargin is added to twice the peers' failure rate to give the rate at which an upstream is ejected as failing.
	failureMargin = 0.25
	// falseEjectionProbability is the accepted probability that a run of consecutive failures occurs by chance at the
	// peers' failure rate.
	falseEjectionProbability = 1e-6
	// minPeerFailureRate is the lower bound of the assumed failure rate of peers. With it, 3 consecutive failures suffice
	// for an ejection.
	minPeerFailureRate = 0.01
	ejectionBackoff    = time.Second
	maxEjection        = time.Minute
	// ejectionCountResetAfter is the time without an ejection after which the backoff restarts at its minimum.
	ejectionCountResetAfter = time.Minute
	// degradedRatioDecay reduces the excess of a degraded upstream's latencyRatio in each maintenance interval, so that
	// the upstream is tried again.
	degradedRatioDecay = 0.985
	// stuckAgeRatio is the age of the newest running call, relative to the peers' median latency, that counts as evidence
	// of slowness.
	stuckAgeRatio = 4
)

// routeStat is an upstream's latency on one route.
type routeStat struct {
	mean     float64 // seconds
	n        int
	baseline baseline
}

// resetRecent discards the recent samples and keeps the baseline.
func (s *routeStat) resetRecent() { s.mean, s.n = 0, 0 }

func (s *routeStat) add(seconds float64) {
	s.n++
	s.mean += max(sampleGain, 1/float64(s.n)) * (seconds - s.mean)
}

// recordOutcome updates the state of the upstream from the outcome of a call. The caller updates the free list.
func (p *Pool) recordOutcome(now time.Time, u *upstream, c *call, o Outcome) {
	seconds := o.Latency.Seconds()
	warm := !u.cold
	u.lastCallPinned = c.req.Version != ""
	u.suspectedUntil = time.Time{} // the outcome shows below whether it is cold
	ratio := u.relativeLatency(c.route, seconds)
	switch o.Kind {
	case Success:
		p.observeService(c, seconds)
		u.consecutiveNotRun, u.consecutiveRefusedConns = 0, 0
		p.countFailure(u, false)
		p.observeLatency(now, u, c.route, seconds)
		if ratio < rampSlowRatio {
			u.countRampSuccess()
		} else if u.ramping() {
			u.halveAllowance()
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
		// A timeout caused by a short deadline proves nothing; only a call that ran far longer than usual counts.
		if ratio >= slowRatio {
			p.countFailure(u, true)
			p.observeLatency(now, u, c.route, seconds)
		}
	case NotRun:
		p.observeNotRun(now, u)
	case Cancelled:
		// The call would have taken even longer. If it were not counted, hedging would hide a slow upstream.
		if seconds > u.routeStats[c.route].mean {
			p.observeLatency(now, u, c.route, seconds)
		}
	}
	p.observeReport(now, u, receivedReport{
		LoadReport: o.Report, sentAt: c.grantedAt, coldWhenSent: c.coldWhenSent, ratio: ratio,
	})
	if warm && u.cold {
		p.observeColdStart(now, u)
	}
	p.detectFailing(now, u)
}

func (p *Pool) observeService(c *call, seconds float64) {
	e := &p.classes[c.class].serviceEstimate
	if e.n == 0 {
		e.mean = p.serviceEstimate.mean
	}
	e.add(seconds)
	p.serviceEstimate.add(seconds)
}

// observeNotRun handles a response that says that the call was not run.
func (p *Pool) observeNotRun(now time.Time, u *upstream) {
	u.consecutiveNotRun++
	shared := u.versionGroup.mostPeersRefuse(u)
	switch {
	case u.consecutiveNotRun >= notRunUntilEjected && !shared:
		p.eject(now, u, "refuses every call")
	case u.cold || u.consecutiveNotRun < notRunUntilCold || shared:
		u.halveAllowance()
	default:
		p.becomeCold(u, "refuses calls")
	}
}

// relativeLatency returns a latency relative to the peers' median on the route, or 0 while the median is unknown.
func (u *upstream) relativeLatency(route int, seconds float64) float64 {
	median := u.versionGroup.medianLatency[route]
	if median == 0 {
		return 0
	}
	return seconds / median
}

func (p *Pool) observeLatency(now time.Time, u *upstream, route int, seconds float64) {
	s := &u.routeStats[route]
	if latencyRatio := u.relativeLatency(route, seconds); latencyRatio > 0 {
		latencyRatio = min(latencyRatio, maxSampleRatio)
		seconds = latencyRatio * u.versionGroup.medianLatency[route]
		u.latencyRatio += ratioGain * (latencyRatio - u.latencyRatio)
	}
	s.add(seconds)
	if !u.cold {
		s.baseline.add(seconds)
	}
	p.detectSlow(now, u, route)
}

// detectSlow handles an upstream that is slower than its peers. It ejects one that is slow on all routes, stops only
// the calls of the slow route if another route is at normal latency, and marks a moderately slow upstream as degraded.
func (p *Pool) detectSlow(now time.Time, u *upstream, route int) {
	if u.latencyRatio > degradedRatio {
		u.degraded = true
	} else if u.latencyRatio < recoveredRatio {
		u.degraded = false
	}
	s := &u.routeStats[route]
	if u.cold || u.ejected() || s.n < minSamples || u.relativeLatency(route, s.mean) < slowRatio {
		return
	}
	p.updateMedian(u.versionGroup, route) // it may be older than the samples
	if u.relativeLatency(route, s.mean) < slowRatio {
		return
	}
	if u.withoutPeers() && (!p.otherVersionAvailable(u) || !p.routeNormalInOtherVersions(u, route)) {
		return
	}
	if !u.otherRouteNormal(route) {
		p.eject(now, u, "slow")
		return
	}
	if u.versionGroup.countSlowOnRoute(route)*2 < len(u.versionGroup.members)-1 {
		u.slowRoutes |= 1 << route
		u.slowRoutesUntil = now.Add(p.backoff(u.ejections))
	}
}

// otherRouteNormal reports whether the upstream serves another route at normal latency.
func (u *upstream) otherRouteNormal(route int) bool {
	for i := range u.routeStats {
		if i == route || u.slowRoutes&(1<<i) != 0 || u.routeStats[i].n < minSamples {
			continue
		}
		if r := u.relativeLatency(i, u.routeStats[i].mean); r > 0 && r < degradedRatio {
			return true
		}
	}
	return false
}

// countSlowOnRoute returns the number of members that get no calls of the route because they are slow on it.
func (g *versionGroup) countSlowOnRoute(route int) int {
	n := 0
	for _, u := range g.members {
		if u.slowRoutes&(1<<route) != 0 {
			n++
		}
	}
	return n
}

func (p *Pool) countFailure(u *upstream, failed bool) {
	before := u.failureRate
	sample := 0.0
	u.consecutiveFailures++
	if failed {
		sample = 1
	} else {
		u.consecutiveFailures = 0
	}
	u.outcomeCount++
	u.failureBaseline.add(sample)
	u.failureRate += sampleGain * (sample - u.failureRate)
	u.versionGroup.failureRateSum += u.failureRate - before
}

// detectFailing ejects an upstream that fails far more often than its peers or, without peers, than its baseline.
func (p *Pool) detectFailing(now time.Time, u *upstream) {
	if u.consecutiveFailures == 0 || u.ejected() || u.withoutPeers() && !p.otherVersionAvailable(u) {
		return
	}
	peerRate := min(max(p.expectedFailures(u), minPeerFailureRate), 0.99)
	conclusiveRun := math.Log(falseEjectionProbability) / math.Log(peerRate)
	onTrial := u.ejections > 0 && u.ramping() && peerRate < failureMargin
	switch {
	case onTrial, float64(u.consecutiveFailures) >= conclusiveRun-1e-9:
		p.eject(now, u, "failing")
	case u.outcomeCount >= minSamples && u.failureRate > failureMargin+2*peerRate:
		p.eject(now, u, "failing")
	}
}

// detectStuck records evidence of slowness while none of the running calls of the upstream ends.
func (p *Pool) detectStuck(now time.Time, u *upstream) {
	if u.newestCall == nil || u.inFlight < min(2, u.limit()) {
		return
	}
	age := now.Sub(u.newestCall.grantedAt).Seconds()
	if u.relativeLatency(u.newestCall.route, age) > stuckAgeRatio {
		u.lastCallPinned = u.newestCall.req.Version != ""
		p.observeLatency(now, u, u.newestCall.route, age)
	}
}

// eject stops calls to the upstream for a backoff time. If half of the upstreams that may get calls are already ejected, the
// upstream is marked as degraded instead.
func (p *Pool) eject(now time.Time, u *upstream, reason string) {
	if u.ejected() {
		return
	}
	if (p.ejected+1)*2 > p.permittedUpstreams(now) {
		u.degraded = true
		return
	}
	p.ejected++
	u.ejectReason = reason
	u.ejectedUntil = now.Add(p.backoff(u.ejections))
	u.lastEjected = now
	u.ejections++
	p.resetEvidence(u)
}

// resetEvidence discards the samples that led to an ejection, so that the upstream starts afresh when it is readmitted.
func (p *Pool) resetEvidence(u *upstream) {
	u.versionGroup.failureRateSum -= u.failureRate
	u.failureRate, u.outcomeCount, u.consecutiveFailures, u.consecutiveNotRun = 0, 0, 0, 0
	u.latencyRatio, u.degraded, u.slowRoutes = 1, false, 0
	for i := range u.routeStats {
		u.routeStats[i].resetRecent()
	}
}

// activeUpstreams returns the number of upstreams that are not leaving.
func (p *Pool) activeUpstreams() int {
	n := 0
	for _, u := range p.upstreams {
		if !u.leaving() {
			n++
		}
	}
	return n
}

// permittedUpstreams returns the number of upstreams that are not leaving and that the view permits to get calls. Without a
// confirmed view, cold ones can't replace a warm one that is ejected.
func (p *Pool) permittedUpstreams(now time.Time) int {
	confirmed, n := now.Before(p.confirmedUntil), 0
	for _, u := range p.upstreams {
		if !u.leaving() && (confirmed || !u.cold) {
			n++
		}
	}
	return n
}

// backoff returns the duration of an ejection. It doubles with each consecutive ejection and has a jitter of ±10 %, so
// that upstreams do not return simultaneously.
func (p *Pool) backoff(ejections int) time.Duration {
	d := min(ejectionBackoff<<min(ejections, 10), maxEjection)
	return d - d/10 + time.Duration(p.rng.Int63n(int64(d/5)))
}

// limitEjections ends ejections, starting with the one that expires first, while more than half of the pool is ejected.
// This happens when other upstreams leave.
func (p *Pool) limitEjections() {
	for p.ejected > 0 && p.ejected*2 > p.activeUpstreams() {
		var earliest *upstream
		for _, u := range p.upstreams {
			if u.ejected() && (earliest == nil || u.ejectedUntil.Before(earliest.ejectedUntil)) {
				earliest = u
			}
		}
		p.readmit(earliest)
	}
}

// readmit ends an ejection; the upstream restarts with an allowance of 1.
func (p *Pool) readmit(u *upstream) {
	p.ejected--
	u.ejectedUntil = time.Time{}
	u.allowance = 1
	u.rampSuccesses = 0
	p.updateFreeList(u)
}

// expireState ends states whose time limit has passed: ejections, unreachability, slow routes, suspicion, and untracked
// or foreign calls. It also decays the degraded state.
func (p *Pool) expireState(now time.Time, u *upstream) {
	if u.ejected() && !now.Before(u.ejectedUntil) {
		if u.probeFailed && now.Before(p.confirmedUntil) {
			u.ejectedUntil = now.Add(p.backoff(u.ejections))
			u.ejections++
		} else {
			p.readmit(u)
		}
	}
	if u.ejections > 0 && !u.ejected() && now.Sub(u.lastEjected) > maxEjection+ejectionCountResetAfter {
		u.ejections = 0
	}
	if !u.unreachableUntil.IsZero() && !now.Before(u.unreachableUntil) {
		u.unreachableUntil = time.Time{}
	}
	if u.slowRoutes != 0 && !now.Before(u.slowRoutesUntil) {
		for i := range u.routeStats {
			if u.slowRoutes&(1<<i) != 0 {
				u.routeStats[i].resetRecent()
			}
		}
		u.slowRoutes = 0
	}
	if u.degraded {
		u.latencyRatio = 1 + (u.latencyRatio-1)*degradedRatioDecay
		u.degraded = u.latencyRatio >= recoveredRatio
	}
	u.expireUntracked(now)
	if !u.suspectedUntil.IsZero() && !now.Before(u.suspectedUntil) {
		u.suspectedUntil = time.Time{}
	}
	if u.loadReport.foreignCalls > 0 && now.After(u.loadReport.foreignCallsUntil) {
		u.loadReport.foreignCalls = 0
	}
}

// meanLatency returns the unweighted mean over the routes; for display only.
func (u *upstream) meanLatency() time.Duration {
	sum, n := 0.0, 0
	for i := range u.routeStats {
		if u.routeStats[i].n > 0 {
			sum += u.routeStats[i].mean
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return time.Duration(sum / float64(n) * float64(time.Second))
}

// extraLatency returns by how many seconds the upstream is slower than its peers.
func (u *upstream) extraLatency() float64 {
	for i, median := range u.versionGroup.medianLatency {
		if median > 0 && u.routeStats[i].n > 0 {
			return (u.latencyRatio - 1) * median
		}
	}
	return 0
}
