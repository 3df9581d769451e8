package simulate

import (
	"fmt"
	"slices"
	"time"
)

type kind int

const (
	success kind = iota
	failure
	notRun
	connectFailed
	crashed
)

// report is what the upstream says about itself.
type report struct {
	inFlight, queued int
	cold             bool
	seq              uint64
}

// outcome is the end of an attempt at an upstream.
type outcome struct {
	kind     kind
	upstream int
	worked   time.Duration // time that the attempt held a slot
	rep      report
	sign     bool // the response was made after the cold start, or shows a crash
}

const (
	// queueFactor times the slots is the length of the upstream's own queue; past it, it refuses.
	queueFactor = 4
	// coldSlowdown is the service time of a cold upstream relative to a warm one.
	coldSlowdown = 2
	// callsPerColdSlot is the number of finished calls after which a cold upstream can handle one call more.
	callsPerColdSlot = 3
	// reportLag is the age of the load figures in a report.
	reportLag = 100 * time.Millisecond
	// restartTime is the time during which a restarting upstream refuses connections.
	restartTime = 50 * time.Millisecond
)

// upstream is the fake of an upstream: slots, a queue, cold start, and a lagging or false report.
type upstream struct {
	name  string
	index int
	slots int

	running             int
	live, queue         []*arrival
	cold                bool
	warmed              int // calls finished since the cold start
	down, failing, lies bool
	slow                float64
	seq                 uint64
	signed              bool // a response since the cold start has reached the sender
	lagged              report
}

// arrival is one attempt at the upstream.
type arrival struct {
	j     *job
	reply func(outcome)
	began time.Duration
	// What the sender knew when it sent the attempt.
	afterSign  bool
	otherSigns int
}

func newUpstream(i, slots int) *upstream {
	return &upstream{name: fmt.Sprintf("u%02d", i), index: i, slots: slots, slow: 1}
}

// coldLimit is the number of concurrent calls that the upstream can handle now.
func (u *upstream) coldLimit() int {
	if !u.cold {
		return u.slots
	}
	return min(u.slots, 1+u.warmed/callsPerColdSlot)
}

// end answers an attempt.
func (e *engine) end(u *upstream, a *arrival, k kind, worked time.Duration) {
	u.seq++
	rep := u.lagged
	rep.cold = u.cold
	rep.seq = u.seq
	if u.lies {
		rep = report{seq: 1}
	}
	a.reply(outcome{kind: k, upstream: u.index, worked: worked, rep: rep, sign: u.cold || u.down})
}

// arrive is called when an attempt reaches the upstream.
func (e *engine) arrive(u *upstream, a *arrival) {
	switch {
	case u.down:
		e.end(u, a, connectFailed, 0)
	case u.failing:
		e.after(time.Millisecond, func() { e.end(u, a, failure, time.Millisecond) })
	case u.cold && u.running >= u.coldLimit():
		// Past its limit, a cold upstream fails the call and loses what it had warmed up.
		e.res.ColdOver++
		e.res.countSigns(a)
		u.warmed = 0
		e.after(5*time.Millisecond, func() { e.end(u, a, failure, 5*time.Millisecond) })
	case u.running < u.slots:
		e.start(u, a)
	case len(u.queue) < queueFactor*u.slots:
		u.queue = append(u.queue, a)
	default:
		e.end(u, a, notRun, 0)
	}
}

func (e *engine) start(u *upstream, a *arrival) {
	u.running++
	e.res.MaxRunning = max(e.res.MaxRunning, u.running)
	took := time.Duration(float64(a.j.service) * u.slow)
	if u.cold {
		took *= coldSlowdown
	}
	a.began = e.now
	u.live = append(u.live, a)
	e.after(took, func() {
		at := slices.Index(u.live, a)
		if at < 0 {
			return // lost in a crash
		}
		u.live = slices.Delete(u.live, at, at+1)
		u.running--
		u.warmed++
		if u.cold && u.coldLimit() >= u.slots {
			u.cold = false
		}
		e.end(u, a, success, took)
		e.next(u)
	})
}

// crash ends all running and queued calls, and refuses connections from now on.
func (e *engine) crash(u *upstream) {
	live, queue := u.live, u.queue
	u.live, u.queue, u.running, u.down = nil, nil, 0, true
	for _, a := range live {
		e.end(u, a, crashed, e.now-a.began)
	}
	for _, a := range queue {
		e.end(u, a, crashed, 0)
	}
}

// restart crashes the upstream and brings it back cold.
func (e *engine) restart(u *upstream) {
	e.crash(u)
	e.after(restartTime, func() { u.down = false; u.becomeCold() })
}

func (u *upstream) becomeCold() {
	u.cold = true
	u.warmed = 0
	u.seq = 0
	u.signed = false
}

// observeLoad refreshes the lagging figures of the report.
func (e *engine) observeLoad(u *upstream) {
	u.lagged = report{inFlight: u.running, queued: len(u.queue)}
	if e.now < e.c.Duration {
		e.after(reportLag, func() { e.observeLoad(u) })
	}
}

func (e *engine) next(u *upstream) {
	for len(u.queue) > 0 && u.running < u.coldLimit() {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if e.now >= a.j.deadline {
			e.end(u, a, notRun, 0)
			continue
		}
		e.start(u, a)
	}
}
