package placement

import (
	"math"
	"time"
)

const (
	// paceFreshAge is the age up to which a reported pace has full weight. After that the weight decays exponentially with the
	// time constant paceDecayTime, since noisy neighbours slow an upstream down for some hundred milliseconds at a time.
	paceFreshAge  = 50 * time.Millisecond
	paceDecayTime = 300 * time.Millisecond
	// coldSlowdown is the slowdown assumed during a cold start for upstreams that report no pace.
	coldSlowdown = 2.0
	// maxSlowdown limits the slowdown derived from latencies.
	maxSlowdown = 12.0
	// slowdownHalfLife is the half-life of the slowdown derived from latencies, so that a recovered upstream gets requests again.
	slowdownHalfLife = 1500 * time.Millisecond
	// ejectionFailureRate is the moving average of the failure rate above which an upstream is ejected.
	ejectionFailureRate = 0.35
	failureWeight       = 0.2
	minEjection         = 1500 * time.Millisecond
	maxEjection         = 8 * time.Second
	// minFullBackoff is how long an upstream gets no requests after it refused one because it was full. The time doubles with each
	// such refusal in a row, up to maxFullBackoff.
	minFullBackoff = 20 * time.Millisecond
	maxFullBackoff = 640 * time.Millisecond
	// shedRateWeight is the weight of a request in the moving average of the rate at which an upstream refuses requests although
	// it has free slots. shedRateHalfLife is the half-life of that rate while no requests are sent.
	shedRateWeight   = 0.2
	shedRateHalfLife = 2 * time.Second
	// unhealthyAfterProbes is the number of consecutive unhealthy probes after which an upstream isn't used, unless a request
	// succeeded within the last second.
	unhealthyAfterProbes = 3
	// maxConcurrentLeaders is the number of leaders that may place at the same time and share the limit of a cold upstream.
	maxConcurrentLeaders = 2
	// coldBurst is the size of the token bucket of a cold upstream. coldLateArrivals is the number of requests of one second that
	// may be delayed and arrive in the next.
	coldBurst        = 2.0
	coldLateArrivals = 1.0
)

// call is an Ask that is queued or running.
type call struct {
	ask        Ask
	target     *upstream
	born       int64 // of the target's process, see UpstreamSpec
	started    time.Time
	queuedAt   time.Time
	predicted  time.Duration
	pace       float64 // slowdown expected at the start, including a cold start and a full upstream; at least 1
	full       float64 // part of pace that is due to a full upstream; at least 1
	cold       bool
	adopted    bool          // granted by a previous owner of the pool, so its start time and pace are not known
	paceProbed bool          // pace includes the first probe after the start
	hedged     bool          // a hedge was started
	held       bool          // the limit on request bytes has kept it from starting at once
	overLimit  bool          // the hedge limit has refused a hedge
	work       time.Duration // service time estimated when it was queued
	lateFrom   time.Time     // after that a queued call can't meet its objective
	late       bool          // can no longer meet its objective
	try        callerTry
	level      int // in Pool.work, while it is queued: by priority, or lateRetryLevel
	// charge, tag, rank and queued belong to shares: what the call counts, the use of its account at which it would start, the
	// order that follows from it, and whether it counts as queued.
	charge, tag float64
	rank        int64
	queued      bool
}

// upstream is the state of one upstream as the pool sees it.
type upstream struct {
	spec    UpstreamSpec
	running map[uint64]*call
	index   int // of its candidate

	pace            float64 // last reported slowdown, 1 is usual
	paceAt          time.Time
	externalCalls   int // requests from other senders; the lower surplus of the last two probes
	previousSurplus int
	probed          bool
	reachable       bool
	wrongInstance   bool // another instance answers at the address

	healthFails int
	lastSuccess time.Time

	coldUntil    time.Time
	coldTokens   float64 // token bucket that limits the requests during a cold start
	coldTokensAt time.Time

	latencySlowdown   float64 // slowdown derived from latencies, 1 is none
	latencySlowdownAt time.Time

	failureRate    float64
	failureSamples int
	results        recentResults
	limit          rateLimit

	ejectedUntil    time.Time
	ejections       int       // exponent of the ejection time
	fullUntil       time.Time // end of the backoff after a refusal because the upstream was full
	consecutiveFull int       // such refusals since the last success, limited
	shedRate        float64   // rate of requests that were refused despite free slots
	shedRateAt      time.Time

	suspects []suspect // requests whose connections were lost recently

	load       *Load // last report
	loadAt     time.Time
	openLosses []openLoss
	workLostAt time.Time // last loss of a connection while the upstream worked on its request
}

func newUpstream(now time.Time, spec UpstreamSpec) *upstream {
	u := &upstream{
		spec: spec, running: map[uint64]*call{}, pace: 1, latencySlowdown: 1, latencySlowdownAt: now, reachable: true,
		coldUntil: now.Add(spec.ColdLeft), coldTokensAt: now,
	}
	if spec.Limit != nil {
		u.limit.name(now, *spec.Limit)
	}
	return u
}

// reset discards the state of a previous process with the same ID, except the running calls.
func (u *upstream) reset(now time.Time, spec UpstreamSpec) {
	running := u.running
	*u = *newUpstream(now, spec)
	u.running = running
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// usable reports whether the upstream may get new requests.
func (u *upstream) usable(now time.Time, unprobed bool) bool {
	if u.spec.Closed || !u.reachable || u.wrongInstance || (!u.probed && !unprobed) {
		return false
	}
	if u.healthFails >= unhealthyAfterProbes && now.Sub(u.lastSuccess) > time.Second {
		return false
	}
	return !now.Before(u.ejectedUntil) && !now.Before(u.fullUntil)
}

// occupied is the number of requests that the upstream runs, those of other senders included.
func (u *upstream) occupied() int { return len(u.running) + u.externalCalls }

// currentPace is the expected pace: the last report, blended with the average of all upstreams as the report ages.
func (u *upstream) currentPace(now time.Time, average float64) float64 {
	fresh := math.Exp(-max(0, float64(now.Sub(u.paceAt)-paceFreshAge)) / float64(paceDecayTime))
	return max(1, u.pace*fresh+average*(1-fresh))
}

// currentLatencySlowdown is the slowdown derived from latencies, decayed to the present.
func (u *upstream) currentLatencySlowdown(now time.Time) float64 {
	return 1 + (u.latencySlowdown-1)*math.Exp2(-float64(now.Sub(u.latencySlowdownAt))/float64(slowdownHalfLife))
}

// slowdown is the factor by which work currently takes longer than usual. average is the average pace of all upstreams.
func (u *upstream) slowdown(now time.Time, average float64) float64 {
	slow := u.currentLatencySlowdown(now)
	for _, c := range u.running {
		if elapsed := now.Sub(c.started); c.predicted > 0 && elapsed > 2*c.predicted {
			slow = max(slow, float64(elapsed)/float64(c.predicted))
		}
	}
	return u.currentPace(now, average) * min(slow, maxSlowdown) * u.coldFactor(now)
}

// coldFactor is the slowdown of a cold start. It is 1 for upstreams that report a pace, which includes the cold start.
func (u *upstream) coldFactor(now time.Time) float64 {
	if u.cold(now) && u.paceAt.IsZero() {
		return coldSlowdown
	}
	return 1
}

// expectedPace is the slowdown of a call that starts now as far as the upstream reports it, without the slowdown derived from
// latencies.
func (u *upstream) expectedPace(now time.Time) float64 { return max(1, u.pace) * u.coldFactor(now) }

// currentShedRate is the expected rate of refusals despite free slots, decayed to the present.
func (u *upstream) currentShedRate(now time.Time) float64 {
	return u.shedRate * math.Exp2(-float64(now.Sub(u.shedRateAt))/float64(shedRateHalfLife))
}

// updateShedRate adds a sample to the shed rate: 1 for a request that was refused despite free slots, 0 for one that succeeded.
func (u *upstream) updateShedRate(now time.Time, shedRate float64) {
	current := u.currentShedRate(now)
	u.shedRate, u.shedRateAt = current+shedRateWeight*(shedRate-current), now
}

// refillColdTokens refills the token bucket of a cold upstream.
func (u *upstream) refillColdTokens(now time.Time, rate float64) {
	u.coldTokens = min(max(1, min(coldBurst, rate)), u.coldTokens+now.Sub(u.coldTokensAt).Seconds()*rate)
	u.coldTokensAt = now
}

func (u *upstream) observeLoad(now time.Time, l *Load) {
	if l == nil {
		return
	}
	u.load, u.loadAt = l, now
	if l.Pace > 0 {
		u.pace, u.paceAt = l.Pace, now
	}
}

func (u *upstream) observeProbe(now time.Time, p Probe) {
	now = now.Add(-p.Age)
	u.reachable = p.Answered
	if !p.Answered {
		return
	}
	u.probed, u.wrongInstance = true, p.WrongInstance
	if p.ColdLeft > 0 {
		u.coldUntil = now.Add(p.ColdLeft)
	} else {
		u.coldUntil = time.Time{}
	}
	if p.Healthy {
		u.healthFails = 0
	} else {
		u.healthFails++
	}
	if p.Age == 0 || !u.loadAt.After(now) { // otherwise a response that arrived in the meantime has told a newer load
		u.observeLoad(now, p.Load)
	}
	if p.Limit != nil {
		u.limit.name(now, *p.Limit)
	}
	if p.Load != nil {
		surplus := max(0, p.Load.Running+p.Load.Waiting-len(u.running))
		u.externalCalls = min(surplus, u.previousSurplus)
		u.previousSurplus = surplus
	}
}

// observeEnd updates the statistics with the result of an attempt. typical reports whether the latency may update the service
// time of the route: the attempt succeeded on an upstream that wasn't slowed down.
func (u *upstream) observeEnd(now time.Time, c *call, e End, base time.Duration) (typical bool) {
	pace := c.pace
	if e.Load != nil {
		pace = max(pace, e.Load.Pace)
		u.observeLoad(now, e.Load)
	}
	switch e.Outcome {
	case Success:
		u.consecutiveFull = 0
		u.lastSuccess = now
		u.updateShedRate(now, 0)
		u.updateFailureRate(now, 0)
		u.updateLatencySlowdown(now, e, base, pace)
		return pace < 1.25*c.full && !c.cold && !c.adopted
	case Failure, Lost:
		u.updateFailureRate(now, 1)
	case TimedOut:
		u.updateFailureRate(now, 1)
		u.updateLatencySlowdown(now, e, base, pace)
	case ConnectFailed:
		u.reachable = false
		u.updateFailureRate(now, 1)
	case NotRun:
		if e.Load != nil && e.Load.Running+e.Load.Waiting < e.Load.Slots {
			u.updateShedRate(now, 1) // a backoff would only withhold its free slots from other requests
		} else {
			u.backOffFull(now)
		}
	case WrongInstance:
		u.wrongInstance = true
	case Superseded:
		// The attempt would have taken even longer. If it were ignored, hedges would hide a slow upstream.
		if float64(e.Latency) > float64(base)*pace {
			u.updateLatencySlowdown(now, e, base, pace)
		}
	case Cancelled:
	}
	return false
}

func (u *upstream) updateLatencySlowdown(now time.Time, e End, base time.Duration, pace float64) {
	expected := float64(base) * pace
	if expected <= 0 {
		return
	}
	const weight = 0.3
	ratio := min(maxSlowdown, max(1, float64(e.Latency)/expected/1.3))
	current := u.currentLatencySlowdown(now)
	u.latencySlowdown = current + weight*(ratio-current)
	u.latencySlowdownAt = now
}

// updateFailureRate adds a result to the failure rate, 1 for a failure and 0 for a success, and ejects the upstream if the rate
// is too high.
func (u *upstream) updateFailureRate(now time.Time, failed float64) {
	u.results.add(now, failed)
	u.failureSamples++
	u.failureRate += failureWeight * (failed - u.failureRate)
	if failed == 0 {
		if u.failureRate < 0.05 {
			u.ejections = 0
		}
		return
	}
	if u.failureRate > ejectionFailureRate && u.failureSamples >= 2 {
		u.ejectedUntil = now.Add(min(maxEjection, minEjection<<u.ejections))
		u.ejections = min(u.ejections+1, 4)
		u.failureRate = ejectionFailureRate * 0.9 // one more failure after the ejection ejects it again
	}
}

// ejectUnreachable ejects an unreachable upstream for minEjection and then allows requests to it again.
func (u *upstream) ejectUnreachable(now time.Time) {
	u.reachable = true
	if until := now.Add(minEjection); until.After(u.ejectedUntil) {
		u.ejectedUntil = until
	}
}

func (u *upstream) backOffFull(now time.Time) {
	u.fullUntil = now.Add(min(maxFullBackoff, minFullBackoff<<u.consecutiveFull))
	u.consecutiveFull = min(u.consecutiveFull+1, 6)
}
