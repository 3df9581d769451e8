package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["promises"] = promises }

// promises: some upstreams fail a part of the requests that they run with status 503, without saying that they did not run them. The
// callers take a 503 for the promise that it is and send the order again.
func promises(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		troubleFor = 6500 * time.Millisecond
		failShare  = 0.4
		callers    = 60
	)
	d, err := newDeployment(rec, []route{{name: "orders", prefix: "/orders/", kind: "unsafe", service: "orders", timeout: time.Second, slo: 300 * time.Millisecond, maxAttempts: 1}}, []service{{"orders", 11}})
	if err != nil {
		return false, err
	}
	defer d.close()
	for i := range 7 {
		t, err := d.addTarget("orders", zones[i%len(zones)], 3, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		if i != 3 || !trouble {
			continue
		}
		t.answer = func(c *call) bool {
			since := c.run.arrived.Sub(rec.start)
			if since > 14*time.Second && since < 14*time.Second+troubleFor && rand.Float64() < failShare {
				return c.respond("503 Service Unavailable", "the work was done, the answer failed")
			}
			return c.succeed("booked by " + c.t.id)
		}
	}
	if err := d.startEntries(3); err != nil {
		return false, err
	}
	end := time.Now().Add(max(14*time.Second, 14*time.Second+troubleFor+2*time.Second-time.Since(rec.start)))
	var mu sync.Mutex
	answers := map[string]answer{}
	orders := map[string][]string{} // IDs by order
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				order := fmt.Sprintf("order-%d-%d", n, i)
				for range 2 { // a caller retries once
					a := d.ask(d.entries[(n+i)%len(d.entries)], newID(), http.MethodPost, "/orders/book", order, time.Second, "")
					mu.Lock()
					answers[a.id] = a
					orders[order] = append(orders[order], a.id)
					mu.Unlock()
					if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
						break
					}
				}
				time.Sleep(time.Duration(150+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	runs := map[string]run{}
	for _, r := range d.allRuns() {
		runs[r.id] = r
	}
	falsePromises, statuses := 0, map[int]int{}
	for id, a := range answers {
		statuses[a.status]++
		r, ran := runs[id]
		if ran && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			falsePromises++
			rec.say("%s was answered %d by %s and has run on %s at %s", id, a.status, a.entry.name, r.target.id, rec.seconds(r.arrived))
		}
	}
	twice := 0
	for _, ids := range orders {
		n := 0
		for _, id := range ids {
			if _, ran := runs[id]; ran {
				n++
			}
		}
		if n > 1 {
			twice++
		}
	}
	rec.say("%d requests, answers by status %v; %d answered with a promise have run; %d orders were carried out twice", len(answers), statuses, falsePromises, twice)
	if statuses[200] == 0 {
		return false, errNotRun
	}
	return falsePromises > 0, nil
}
