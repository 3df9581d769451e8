package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	stabilityWindow = 3 * time.Second
	// poisonInterval is the time after which the request comes again.
	poisonInterval = 700 * time.Millisecond
	// maxReaches is the number of retries that the rule lets through after the third crash.
	maxReaches = 3
)

// poison: a request crashes each upstream that begins to run it and comes again, with the same path, caller and body. Meanwhile the
// entries are restarted one after the other, as for an update.
func poison(w *world) (bool, error) {
	if err := w.deploy(3, 9); err != nil {
		return false, err
	}
	traffic := w.startTraffic(20, 100*time.Millisecond, http.MethodPost, usualPath, tickDeadline)
	time.Sleep(4 * time.Second)
	p := &poisoner{w: w, end: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	limit := time.Now().Add(20 * time.Second)
	for p.crashes() < 3 {
		if time.Now().After(limit) {
			break // it is contained before the third crash
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(stabilityWindow + 3*time.Second)
	for range 2 {
		if !w.trouble {
			time.Sleep(grace + restartDelay + stabilityWindow)
			continue
		}
		e := w.leader()
		if e == nil {
			return false, fmt.Errorf("no entry leads")
		}
		w.note("%s leads", e.name)
		e.terminate()
		time.Sleep(stabilityWindow + 500*time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	close(p.end)
	<-p.done
	traffic.end()
	return p.judge(), nil
}

// poisoner sends the request again and again.
type poisoner struct {
	w    *world
	sent []poisonSend
	end  chan struct{}
	done chan struct{}
}

type poisonSend struct {
	reply
	inTouch bool
}

// inTouch reports whether the process had no start and no SIGTERM within the stability window.
func (e *entry) inTouch() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.started) > stabilityWindow && (e.term.IsZero() || e.started.After(e.term))
}

func (p *poisoner) run() {
	defer close(p.done)
	for {
		select {
		case <-p.end:
			return
		case <-time.After(poisonInterval):
		}
		leader := p.w.leader()
		var to *entry
		for _, e := range p.w.entries {
			if e.inTouch() && (to == nil || e != leader) {
				to = e
			}
		}
		if to == nil {
			continue
		}
		conn, err := dialEntry(to.address(to.front))
		if err != nil {
			continue
		}
		r := conn.do(http.MethodPost, crashPath+"7", newID(), tickDeadline, "the same body")
		_ = conn.nc.Close()
		p.sent = append(p.sent, poisonSend{r, to.inTouch()})
		text := "reaches no upstream"
		if runs := p.w.runsOf(r.id); len(runs) > 0 {
			text = "crashes " + runs[0].upstream
		}
		p.w.note("crash request %s sent to %s: %s; %s", r.id, to.name, r, text)
	}
}

// crashes counts the crashes so far.
func (p *poisoner) crashes() int {
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	n := 0
	for _, runs := range p.w.runs {
		for _, r := range runs {
			if r.crashed {
				n++
			}
		}
	}
	return n
}

// judge applies the rule: no more than three retries reach upstreams that processes in touch send later than the stability window
// after the third crash.
func (p *poisoner) judge() bool {
	var third time.Time
	crashes, reaches := 0, 0
	for _, s := range p.sent {
		for _, r := range p.w.runsOf(s.id) {
			if !third.IsZero() && s.inTouch && s.sent.After(third.Add(stabilityWindow)) {
				reaches++
			}
			if crashes++; crashes == 3 {
				third = r.began
			}
		}
	}
	p.w.note("%d crashes; %d retries reached upstreams later than %s after the third, sent by processes in touch; the rule allows %d",
		crashes, reaches, stabilityWindow, maxReaches)
	return reaches > maxReaches
}
