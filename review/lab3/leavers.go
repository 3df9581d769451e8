package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["leavers"] = leavers }

// leavers: callers that use a connection for one request only, and say so, leave before their deadline.
func leavers(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		work     = 1200 * time.Millisecond
		leave    = 300 * time.Millisecond
		deadline = 3 * time.Second
		count    = 60
		slack    = 500 * time.Millisecond
	)
	d, err := newDeployment(rec, []route{{name: "lists", prefix: "/lists/", kind: "safe", service: "lists", timeout: deadline, slo: 2 * time.Second, maxAttempts: 2}}, []service{{"lists", 11}})
	if err != nil {
		return false, err
	}
	defer d.close()
	for i := range 6 {
		if _, err := d.addTarget("lists", zones[i%len(zones)], 4, work); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(3); err != nil {
		return false, err
	}
	var mu sync.Mutex
	closed := map[string]time.Time{}
	statuses := map[int]int{}
	var running sync.WaitGroup
	for n := range count {
		running.Go(func() {
			time.Sleep(time.Duration(n) * 150 * time.Millisecond)
			id := newID()
			if !trouble {
				a := d.ask(d.entries[n%3], id, http.MethodGet, "/lists/"+id, "", deadline, "Connection: close\r\n")
				mu.Lock()
				defer mu.Unlock()
				statuses[a.status]++
				return
			}
			c, err := d.dial(d.entries[n%3])
			if err != nil {
				return
			}
			if c.send(id, http.MethodGet, "/lists/"+id, "", deadline, "Connection: close\r\n") == nil {
				time.Sleep(leave)
				mu.Lock()
				defer mu.Unlock()
				c.close()
				closed[id] = time.Now()
				rec.note("the caller of %s has closed its connection", id)
			}
		})
	}
	running.Wait()
	time.Sleep(2 * time.Second)
	late, arrivedLate, would := 0, 0, 0
	for _, r := range d.allRuns() {
		at, left := closed[r.id]
		if !left {
			continue
		}
		if r.arrived.After(at.Add(slack)) {
			arrivedLate++
		}
		if r.arrived.Add(work).Before(at.Add(slack)) {
			continue
		}
		would++
		if r.ended.IsZero() || r.ended.After(at.Add(slack)) {
			late++
		}
	}
	rec.say("%d callers left, answers by status %v; targets still worked half a second later on %d of %d requests that would have lasted so long, and %d reached a target later than that",
		len(closed), statuses, late, would, arrivedLate)
	if !trouble && statuses[200] == 0 {
		return false, errNotRun
	}
	return 4*late > would && would > 0 || arrivedLate > 3, nil
}
