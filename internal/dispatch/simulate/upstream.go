package simulate

import (
	"fmt"
	"slices"
	"time"
)

// kind is the way in which an attempt ended.
type kind int

const (
	success kind = iota
	failure
	notRun
	connectFailed
	crashed
)

// report is the load report of an upstream.
type report struct {
	inFlight, queued int
	cold             bool
	seq              uint64
}

// outcome describes how an attempt at an upstream ended.
type outcome struct {
	kind           kind
	upstream       int
	slotTime       time.Duration // time for which the attempt occupied a slot
	loadReport     report
	showsColdStart bool // the upstream was cold or down when it responded
}

const (
	// queueFactor is the length of an upstream's own queue relative to its slots; further calls are refused.
	queueFactor = 4
	// coldSlowdown is the service time of a cold upstream relative to that of a warm one.
	coldSlowdown = 2
	// callsPerColdSlot is the number of finished calls after which a cold upstream can run one more call concurrently.
	callsPerColdSlot = 3
	// reportLag is the period at which the load figures in the reports are refreshed.
	reportLag = 100 * time.Millisecond
	// restartTime is how long a restarting upstream refuses connections.
	restartTime = 50 * time.Millisecond
)

// upstream simulates an upstream with slots, a queue, cold start, and a lagging or false load report.
type upstream struct {
	name  string
	index int
	slots int

	running                     int
	runningAttempts, queue      []*attempt
	cold                        bool
	warmUpCalls                 int // calls finished since the cold start, or since a call above the limit
	down, failing, falseReports bool
	slowdown                    float64
	seq                         uint64
	coldStartSeen               bool // a response that shows the cold start has reached the sender
	laggedReport                report
}

// attempt is an attempt at an upstream.
type attempt struct {
	j         *job
	reply     func(outcome)
	startedAt time.Duration
	// Knowledge of the sender when it sent the attempt.
	sentAfterColdStartSeen bool
	otherColdStartsSeen    int
}

func newUpstream(i, slots int) *upstream {
	return &upstream{name: fmt.Sprintf("u%02d", i), index: i, slots: slots, slowdown: 1}
}

// coldLimit returns the number of calls that the upstream can run concurrently now.
func (u *upstream) coldLimit() int {
	if !u.cold {
		return u.slots
	}
	return min(u.slots, 1+u.warmUpCalls/callsPerColdSlot)
}

// respond sends the outcome of an attempt, with a load report.
func (e *engine) respond(u *upstream, a *attempt, k kind, slotTime time.Duration) {
	u.seq++
	loadReport := u.laggedReport
	loadReport.cold = u.cold
	loadReport.seq = u.seq
	if u.falseReports {
		loadReport = report{seq: 1}
	}
	a.reply(outcome{
		kind: k, upstream: u.index, slotTime: slotTime, loadReport: loadReport, showsColdStart: u.cold || u.down,
	})
}

// arrive is called when an attempt reaches the upstream.
func (e *engine) arrive(u *upstream, a *attempt) {
	switch {
	case u.down:
		e.respond(u, a, connectFailed, 0)
	case u.failing:
		e.after(time.Millisecond, func() { e.respond(u, a, failure, time.Millisecond) })
	case u.cold && u.running >= u.coldLimit():
		// Above its limit, a cold upstream fails the call and loses its warm-up progress.
		e.res.ColdOverLimit++
		e.res.countColdOverLimit(a)
		u.warmUpCalls = 0
		e.after(5*time.Millisecond, func() { e.respond(u, a, failure, 5*time.Millisecond) })
	case u.running < u.slots:
		e.start(u, a)
	case len(u.queue) < queueFactor*u.slots:
		u.queue = append(u.queue, a)
	default:
		e.respond(u, a, notRun, 0)
	}
}

func (e *engine) start(u *upstream, a *attempt) {
	u.running++
	e.res.MaxRunning = max(e.res.MaxRunning, u.running)
	duration := time.Duration(float64(a.j.serviceTime) * u.slowdown)
	if u.cold {
		duration *= coldSlowdown
	}
	a.startedAt = e.now
	u.runningAttempts = append(u.runningAttempts, a)
	e.after(duration, func() {
		at := slices.Index(u.runningAttempts, a)
		if at < 0 {
			return // the call was lost in a crash
		}
		u.runningAttempts = slices.Delete(u.runningAttempts, at, at+1)
		u.running--
		u.warmUpCalls++
		if u.cold && u.coldLimit() >= u.slots {
			u.cold = false
		}
		e.respond(u, a, success, duration)
		e.startQueued(u)
	})
}

// crash ends all running and queued calls. The upstream refuses connections from then on.
func (e *engine) crash(u *upstream) {
	runningAttempts, queue := u.runningAttempts, u.queue
	u.runningAttempts, u.queue, u.running, u.down = nil, nil, 0, true
	for _, a := range runningAttempts {
		e.respond(u, a, crashed, e.now-a.startedAt)
	}
	for _, a := range queue {
		e.respond(u, a, crashed, 0)
	}
}

// restart crashes the upstream; after restartTime it is back, and cold.
func (e *engine) restart(u *upstream) {
	e.crash(u)
	e.after(restartTime, func() { u.down = false; u.becomeCold() })
}

func (u *upstream) becomeCold() {
	u.cold = true
	u.warmUpCalls = 0
	u.seq = 0
	u.coldStartSeen = false
}

// sampleLoad periodically refreshes the lagging load figures of the report.
func (e *engine) sampleLoad(u *upstream) {
	u.laggedReport = report{inFlight: u.running, queued: len(u.queue)}
	if e.now < e.c.Duration {
		e.after(reportLag, func() { e.sampleLoad(u) })
	}
}

func (e *engine) startQueued(u *upstream) {
	for len(u.queue) > 0 && u.running < u.coldLimit() {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if e.now >= a.j.deadline {
			e.respond(u, a, notRun, 0)
			continue
		}
		e.start(u, a)
	}
}
