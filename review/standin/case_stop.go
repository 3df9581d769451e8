package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	service = "tick-svc"
	// tickDeadline is how long callers wait for the unsafe requests of the cases, as on the grown site.
	tickDeadline = 6 * time.Second
)

// tickRoutes are the routes of the cases: one like empty-tick of the grown site, and those that a case adds.
var tickRoutes = []route{
	{name: "tick", prefix: "/tick/", kind: "unsafe", timeout: "3s", slo: "1200ms", maxAttempts: 1},
}

// deploy starts n entries and as many upstreams as given, over three zones.
func (w *world) deploy(entries, upstreamCount int) error {
	w.writeConfig(service, tickRoutes...)
	for i := range upstreamCount {
		u, err := w.startUpstream(i, service, fmt.Sprintf("zone-%d", i%3+1))
		if err != nil {
			return err
		}
		w.upstreams = append(w.upstreams, u)
	}
	if err := w.addEntries(entries); err != nil {
		return err
	}
	return w.startAll()
}

func usualPath() string { return fmt.Sprintf("/tick/usual?ms=%d", 60+rand.N(40)) }

// watched is a request of a case that the rule is checked on.
type watched struct {
	reply
	work time.Duration
}

// sendTick sends an unsafe request that takes work at its upstream, on a connection of its own.
func (w *world) sendTick(address string, work time.Duration, out chan<- watched) {
	id := newID()
	conn, err := dialEntry(address)
	if err != nil {
		w.note("request %s: no connection to %s: %v", id, address, err)
		out <- watched{reply{id: id, to: address, err: err}, work}
		return
	}
	defer conn.nc.Close()
	w.note("request %s (POST /tick/, %d ms of work, deadline %s) sent to %s", id, work.Milliseconds(), tickDeadline, address)
	out <- watched{conn.do(http.MethodPost, fmt.Sprintf("/tick/case?ms=%d", work.Milliseconds()), id, tickDeadline, "bin 7"), work}
}

// lost reports whether LOST is broken for a request to a process that got a SIGTERM: an upstream was at work on it, or has done
// it, and the caller gets no complete answer, or one of the entry's own, before the deadline and the route's timeout. stop is
// the time of the SIGTERM, zero without one.
func (w *world) lost(r watched, stop time.Time) bool {
	runs := w.runsOf(r.id)
	text := "not run"
	for _, run := range runs {
		text = fmt.Sprintf("run by %s from %s", run.upstream, w.at(run.began))
		if !run.ended.IsZero() {
			text += fmt.Sprintf(" to %s: %s", w.at(run.ended), run.result)
		}
	}
	w.note("request %s: sent at %s, %s after %.3f s; %s", r.id, w.at(r.sent), r.reply, r.done.Sub(r.sent).Seconds(), text)
	switch {
	case stop.IsZero(), len(runs) == 0, r.status != 0 && r.stamped:
		return false
	case r.done.Sub(r.sent) > 2900*time.Millisecond: // the route's timeout
		return false
	case r.done.After(stop.Add(grace + time.Second)):
		return false
	}
	// The excuse for requests that were sent no later than 3 s after the SIGTERM and are at work in the last sixth of grace.
	early, endOfGrace := !r.sent.After(stop.Add(3*time.Second)), r.sent.Add(r.work).After(stop.Add(grace*5/6))
	return !early || !endOfGrace
}

// lateStop: callers that keep an answer of the directory for three times its TTL send requests to a process that got a SIGTERM
// over 3 s before. The process ends while upstreams are at work on them.
func lateStop(w *world) (bool, error) {
	if err := w.deploy(3, 4); err != nil {
		return false, err
	}
	traffic := w.startTraffic(12, 150*time.Millisecond, http.MethodPost, usualPath, tickDeadline)
	time.Sleep(6 * time.Second)
	e := w.entries[1]
	known, err := w.resolve(e, e.zone)
	if err != nil {
		return false, err
	}
	ttl, err := time.ParseDuration(known.TTL)
	if err != nil || !contains(known.Addresses, e.address(e.front)) {
		return false, fmt.Errorf("the directory names %v for %s", known, e.name)
	}
	began := time.Now()
	w.note("a caller of %s learns %v for %s, and keeps it three times as long", e.zone, known.Addresses, ttl)
	stopped := make(chan struct{})
	var stop time.Time
	if w.trouble {
		stop = began
		go func() {
			e.terminate()
			close(stopped)
		}()
	} else {
		close(stopped)
	}
	answers := make(chan watched, 8)
	works := map[time.Duration]time.Duration{
		3300 * time.Millisecond: 2500 * time.Millisecond,
		3800 * time.Millisecond: 2000 * time.Millisecond,
		4300 * time.Millisecond: 1500 * time.Millisecond,
	}
	for after, work := range works {
		if after > 3*ttl {
			return false, fmt.Errorf("the TTL %s is too short for a request after %s", ttl, after)
		}
		time.AfterFunc(time.Until(began.Add(after)), func() { w.sendTick(e.address(e.front), work, answers) })
	}
	broken := false
	for range works {
		if w.lost(<-answers, stop) {
			broken = true
		}
	}
	<-stopped
	traffic.end()
	return broken, nil
}

// silence: a process gets a SIGTERM while upstreams work on requests that take longer than the usual ones. It ends them before
// their deadline, although the upstreams are at work.
func silence(w *world) (bool, error) {
	if err := w.deploy(3, 3); err != nil {
		return false, err
	}
	traffic := w.startTraffic(30, 100*time.Millisecond, http.MethodPost, usualPath, tickDeadline)
	time.Sleep(8 * time.Second)
	e := w.entries[1]
	answers := make(chan watched, 8)
	const requests = 4
	for range requests {
		go w.sendTick(e.address(e.front), 2*time.Second, answers)
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	stopped := make(chan struct{})
	var stop time.Time
	if w.trouble {
		stop = time.Now()
		go func() {
			e.terminate()
			close(stopped)
		}()
	} else {
		close(stopped)
	}
	broken := false
	for range requests {
		if w.lost(<-answers, stop) {
			broken = true
		}
	}
	<-stopped
	traffic.end()
	return broken, nil
}
