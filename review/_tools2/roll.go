package main

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sentTo is an answer and the entry that its request was sent to.
type sentTo struct {
	answer
	entry *entry
}

// keepAsking sends requests to all entries with n clients for each of them, until the returned function is called. That returns the answers.
func (w *world) keepAsking(n int, path string, deadline time.Duration) (stop func() []sentTo) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []sentTo
	ended := make(chan struct{})
	for _, e := range w.entries {
		for range n {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for {
					a := w.ask(e.front(), http.MethodGet, path, deadline, "")
					mu.Lock()
					answers = append(answers, sentTo{a, e})
					mu.Unlock()
					select {
					case <-ended:
						return
					case <-time.After(40 * time.Millisecond):
					}
				}
			}()
		}
	}
	return func() []sentTo {
		close(ended)
		wg.Wait()
		return answers
	}
}

// lateOld counts the requests that the old service s ran although they were sent over configApply after the acknowledgement, by entries in touch.
func lateOld(answers []sentTo, acked time.Time, inTouch func(*entry, time.Time) bool) (n int, last time.Duration) {
	const configApply = 2 * time.Second
	for _, a := range answers {
		if a.status == http.StatusOK && strings.HasPrefix(a.stamp, "s-") && a.sent.Sub(acked) > configApply && inTouch(a.entry, a.sent) {
			n, last = n+1, max(last, a.sent.Sub(acked))
		}
	}
	return n, last
}

const (
	stabilityWindow = 3 * time.Second
	restartDelay    = 300 * time.Millisecond
)

// roll: a rolling restart stops two of six entries each second; after the last pair a configuration moves a route to another service.
func roll(w *world, trouble bool) (int, error) {
	const gap = time.Second
	if err := w.small(6, 6, []string{"s", "t"}, route{"moved", "safe", "s", "1s"}); err != nil {
		return cannotRun, err
	}
	stop := w.keepAsking(2, "/moved/x?ms=20", 500*time.Millisecond)
	time.Sleep(2 * time.Second)
	stopped := map[*entry]time.Time{}
	began := time.Now()
	for i := 0; i < len(w.entries); i += 2 {
		time.Sleep(time.Until(began.Add(time.Duration(i/2) * gap)))
		if !trouble {
			continue
		}
		for _, e := range w.entries[i : i+2] {
			e.signal(syscall.SIGTERM)
			stopped[e] = time.Now()
			w.note("SIGTERM to %s", e.name)
			go e.runAgain()
		}
	}
	time.Sleep(200 * time.Millisecond)
	w.putConfig([]string{"s", "t"}, route{"moved", "safe", "t", "1s"})
	acked := time.Now()
	time.Sleep(9 * time.Second)
	n, last := lateOld(stop(), acked, func(e *entry, at time.Time) bool {
		termAt, ok := stopped[e]
		return !ok || at.Sub(termAt) > stabilityWindow && at.Sub(termAt) < 6*time.Second
	})
	w.note("%d requests that were sent over 2 s after the acknowledgement to machines in touch were run by the old service; the last %.2f s after it", n, last.Seconds())
	return verdict(n > 0), nil
}

// runAgain starts the process again when it has ended.
func (e *entry) runAgain() {
	<-e.exited
	time.Sleep(restartDelay)
	e.mu.Lock()
	e.bootstrap = false
	closed := e.closed
	e.mu.Unlock()
	if !closed {
		_ = e.run()
	}
}
