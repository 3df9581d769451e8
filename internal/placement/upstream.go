package placement

import (
	"math"
	"time"
)

const (
	// kneeShare is the occupancy above which upstreams slow down; a request beyond it costs more than it adds.
	kneeShare = 0.8
	// paceFresh is the age up to which a reported pace counts in full, and paceMemory the time in which it then loses most
	// of its weight: neighbours disturb an upstream for some hundred milliseconds at a time.
	paceFresh  = 50 * time.Millisecond
	paceMemory = 300 * time.Millisecond
	// coldSlowdown is how much longer work takes during cold start, for upstreams that report no pace.
	coldSlowdown = 2.0
	// maxSlowdown bounds the slowdown learned from latencies.
	maxSlowdown = 12.0
	// slowMemory is the time after which a learned slowdown has halved, so a recovered upstream is tried again.
	slowMemory = 1500 * time.Millisecond
	// ejectFailures is the moving average of failures above which an upstream is ejected.
	ejectFailures = 0.35
	failureWeight = 0.2
	minEjection   = 1500 * time.Millisecond
	maxEjection   = 8 * time.Second
	// fullPause is how long an upstream that refused a request as full gets no other one.
	fullPause    = 20 * time.Millisecond
	maxFullPause = 640 * time.Millisecond
	// shedWeight moves the share of requests that an upstream refuses although it has free slots, and shedMemory is the time
	// after which that share has halved without requests.
	shedWeight = 0.2
	shedMemory = 2 * time.Second
	// failingProbes is the number of failed health probes in a row that count, when no request succeeded meanwhile.
	failingProbes = 3
	// coldLeaders is the number of entries that may place at once and together keep the bound of a cold upstream.
	coldLeaders = 2
	// coldBurst is the number of requests that a cold upstream may get at once, and coldLate the number that may arrive with
	// those of the next second.
	coldBurst = 2.0
	coldLate  = 1.0
)

type call struct {
	ask       Ask
	up        *upstream
	started   time.Time
	queuedAt  time.Time
	predicted time.Duration
	pace      float64 // reported at the start, with what a cold start adds; at least 1
	cold      bool
	crowded   bool
	seen      bool          // a probe has told the pace soon after the start
	hedged    bool          // a second attempt was started
	work      time.Duration // service time that was assumed when it began to wait
	late      bool          // can't meet its objective any more
}

type upstream struct {
	spec    UpstreamSpec
	running map[uint64]*call

	pace      float64
	paceAt    time.Time
	external  int // requests of other senders, as reported by two probes in a row
	reported  int
	probed    bool
	reachable bool
	other     bool // another process has the address

	healthFails int
	lastSuccess time.Time

	coldUntil  time.Time
	coldTokens float64
	coldAt     time.Time

	slow   float64 // learned slowdown, 1 is none
	slowAt time.Time

	failures     float64
	samples      int
	ejectedUntil time.Time
	ejections    int
	fullUntil    time.Time
	fullRun      int
	shed         float64 // share of the requests that were refused in spite of free slots
	shedAt       time.Time

	suspects []suspect // requests whose connections were lost of late
}

// suspect is a request that may have crashed an upstream.
type suspect struct {
	fingerprint uint64
	at          time.Time
}

func newUpstream(now time.Time, spec UpstreamSpec) *upstream {
	return &upstream{
		spec: spec, running: map[uint64]*call{}, pace: 1, slow: 1, slowAt: now, reachable: true,
		coldUntil: now.Add(spec.ColdLeft), coldAt: now,
	}
}

// restart forgets what belonged to an earlier process under the same ID.
func (u *upstream) restart(now time.Time, spec UpstreamSpec) {
	running := u.running
	*u = *newUpstream(now, spec)
	u.running = running
}

func (u *upstream) cold(now time.Time) bool { return now.Before(u.coldUntil) }

// slots is the number of requests that the upstream runs without slowing down.
func (u *upstream) slots(maxInFlight int) int {
	n := max(1, int(math.Floor(kneeShare*float64(u.spec.Slots)+1e-9)))
	if maxInFlight > 0 {
		n = min(n, maxInFlight)
	}
	return n
}

// usable reports whether the upstream may get any new request.
func (u *upstream) usable(now time.Time, unprobed bool) bool {
	if u.spec.Closed || !u.reachable || u.other || (!u.probed && !unprobed) {
		return false
	}
	if u.healthFails >= failingProbes && now.Sub(u.lastSuccess) > time.Second {
		return false
	}
	return !now.Before(u.ejectedUntil) && !now.Before(u.fullUntil)
}

func (u *upstream) free(maxInFlight int) bool {
	return len(u.running)+u.external < u.slots(maxInFlight)
}

// currentPace is the pace to expect: the last report, or more and more the average of all upstreams as it ages.
func (u *upstream) currentPace(now time.Time, average float64) float64 {
	fresh := math.Exp(-max(0, float64(now.Sub(u.paceAt)-paceFresh)) / float64(paceMemory))
	return max(1, u.pace*fresh+average*(1-fresh))
}

// learnedSlowdown is the slowdown that latencies showed, which is forgotten with time.
func (u *upstream) learnedSlowdown(now time.Time) float64 {
	return 1 + (u.slow-1)*math.Exp2(-float64(now.Sub(u.slowAt))/float64(slowMemory))
}

// slowdown is the factor by which work takes longer than usual at present. average is the pace of all upstreams.
func (u *upstream) slowdown(now time.Time, average float64) float64 {
	slow := u.learnedSlowdown(now)
	for _, c := range u.running {
		if elapsed := now.Sub(c.started); c.predicted > 0 && elapsed > 2*c.predicted {
			slow = max(slow, float64(elapsed)/float64(c.predicted))
		}
	}
	return u.currentPace(now, average) * min(slow, maxSlowdown) * u.coldFactor(now)
}

// coldFactor is the slowdown of a cold start beside the reported pace, which includes it.
func (u *upstream) coldFactor(now time.Time) float64 {
	if u.cold(now) && u.paceAt.IsZero() {
		return coldSlowdown
	}
	return 1
}

// expectedPace is the factor by which a call that starts now takes longer than usual, unless the upstream is at fault.
func (u *upstream) expectedPace(now time.Time) float64 { return max(1, u.pace) * u.coldFactor(now) }

// shedding is the share of requests that the upstream is expected to refuse in spite of free slots.
func (u *upstream) shedding(now time.Time) float64 {
	return u.shed * math.Exp2(-float64(now.Sub(u.shedAt))/float64(shedMemory))
}

func (u *upstream) noteShed(now time.Time, shed float64) {
	current := u.shedding(now)
	u.shed, u.shedAt = current+shedWeight*(shed-current), now
}

// refillCold adds to a cold upstream's allowance what has become due.
func (u *upstream) refillCold(now time.Time, rate float64) {
	u.coldTokens = min(max(1, min(coldBurst, rate)), u.coldTokens+now.Sub(u.coldAt).Seconds()*rate)
	u.coldAt = now
}

func (u *upstream) observeLoad(now time.Time, l *Load) {
	if l == nil {
		return
	}
	if l.Pace > 0 {
		u.pace, u.paceAt = l.Pace, now
	}
}

func (u *upstream) observeProbe(now time.Time, p Probe) {
	u.reachable = p.Answered
	if !p.Answered {
		return
	}
	u.probed, u.other = true, p.WrongInstance
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
	u.observeLoad(now, p.Load)
	if p.Load != nil {
		surplus := max(0, p.Load.Running+p.Load.Waiting-len(u.running))
		u.external = min(surplus, u.reported)
		u.reported = surplus
	}
}

// observeEnd learns from the end of an attempt and reports whether the latency tells the service time of the route.
func (u *upstream) observeEnd(now time.Time, c *call, e End, base time.Duration) (typical bool) {
	pace := c.pace
	if e.Load != nil {
		pace = max(pace, e.Load.Pace)
		u.observeLoad(now, e.Load)
	}
	switch e.Outcome {
	case Success:
		u.fullRun = 0
		u.lastSuccess = now
		u.noteShed(now, 0)
		u.fail(now, 0)
		u.learnSlowdown(now, e, base, pace)
		return pace < 1.25 && !c.cold && !c.crowded
	case Failure, Lost:
		u.fail(now, 1)
	case TimedOut:
		u.fail(now, 1)
		u.learnSlowdown(now, e, base, pace)
	case ConnectFailed:
		u.reachable = false
		u.fail(now, 1)
	case NotRun:
		if e.Load != nil && e.Load.Running+e.Load.Waiting < e.Load.Slots {
			u.noteShed(now, 1) // a pause would only take its free slots away from others
		} else {
			u.full(now)
		}
	case WrongInstance:
		u.other = true
	case Superseded:
		// It would have taken longer still. Without this, second attempts would hide a slow upstream.
		if float64(e.Latency) > float64(base)*pace {
			u.learnSlowdown(now, e, base, pace)
		}
	case Cancelled:
	}
	return false
}

func (u *upstream) learnSlowdown(now time.Time, e End, base time.Duration, pace float64) {
	expected := float64(base) * pace
	if expected <= 0 {
		return
	}
	const weight = 0.3
	ratio := min(maxSlowdown, max(1, float64(e.Latency)/expected/1.3))
	current := u.learnedSlowdown(now)
	u.slow = current + weight*(ratio-current)
	u.slowAt = now
}

func (u *upstream) fail(now time.Time, failed float64) {
	u.samples++
	u.failures += failureWeight * (failed - u.failures)
	if failed == 0 {
		if u.failures < 0.05 {
			u.ejections = 0
		}
		return
	}
	if u.failures > ejectFailures && u.samples >= 2 {
		u.ejectedUntil = now.Add(min(maxEjection, minEjection<<u.ejections))
		u.ejections = min(u.ejections+1, 4)
		u.failures = ejectFailures * 0.9 // one more failure after the return ejects again
	}
}

// avoid takes an upstream that can't be reached out of use for a time.
func (u *upstream) avoid(now time.Time) {
	u.reachable = true
	if until := now.Add(minEjection); until.After(u.ejectedUntil) {
		u.ejectedUntil = until
	}
}

func (u *upstream) full(now time.Time) {
	u.fullUntil = now.Add(min(maxFullPause, fullPause<<u.fullRun))
	u.fullRun = min(u.fullRun+1, 6)
}
