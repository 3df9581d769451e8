package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipelines"] = pipelines }

// pipelines: callers send several idempotent requests on a kept connection before the first is answered. Some upstreams break off a few of
// their answers. What was passed on to the other upstreams is to be answered.
func pipelines(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		bodySize   = 300_000
		cutShare   = 0.02
		callers    = 24
		depth      = 5
		troubleAt  = 10 * time.Second
		playFor    = 21 * time.Second
		episode    = 5 * time.Second // of trouble, and the same time later again
		between    = 3 * time.Second
		allowed    = 3 // per entry
		deadline   = 2 * time.Second
		targets    = 8
		inTrouble  = targets / 2
		workOfEach = 40 * time.Millisecond
	)
	d, err := newDeployment(rec, []route{{name: "lists", prefix: "/lists/", kind: "safe", service: "lists", timeout: 2 * time.Second, slo: 500 * time.Millisecond, maxAttempts: 2}}, []service{{"lists", 11}})
	if err != nil {
		return false, err
	}
	defer d.close()
	full := strings.Repeat("x", bodySize)
	faulty := map[string]bool{}
	began := rec.start.Add(troubleAt)
	inEpisode := func(at time.Time) bool { return at.After(began) && at.Sub(began)%(episode+between) < episode }
	for i := range targets {
		t, err := d.addTarget("lists", zones[i%len(zones)], 4, workOfEach)
		if err != nil {
			return false, err
		}
		faulty[t.id] = trouble && i < inTrouble
		t.answer = func(c *call) bool {
			if !faulty[c.t.id] || !inEpisode(time.Now()) || rand.Float64() >= cutShare {
				return c.succeed(full)
			}
			sent := rand.IntN(bodySize)
			c.run.answer = fmt.Sprintf("200, cut after %d bytes", sent)
			rec.note("%s breaks off its answer to %s after %d of %d bytes", c.t.id, c.run.id, sent, bodySize)
			_, _ = io.WriteString(c.conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", c.identification(), bodySize, full[:sent]))
			return false
		}
	}
	if err := d.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began))
	end := began.Add(playFor)
	var mu sync.Mutex
	var all []answer
	kept := map[string]bool{} // IDs of requests on connections that had carried answers before
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() {
			for time.Now().Before(end) {
				e := d.entries[n%len(d.entries)]
				c, err := d.dial(e)
				if err != nil {
					rec.note("dial %s: %v", e.name, err)
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for open, used := true, false; open && time.Now().Before(end); used = true {
					var ids []string
					sent := time.Now()
					for range depth {
						id := newID()
						if c.send(id, http.MethodGet, "/lists/"+id, "", deadline, "") != nil {
							open = false
							break
						}
						ids = append(ids, id)
					}
					for _, id := range ids {
						a := answer{id: id, entry: e, err: io.ErrClosedPipe}
						if open {
							a = c.receive(id, http.MethodGet, sent.Add(deadline))
							open = a.status != 0
						}
						a.sent = sent
						mu.Lock()
						all = append(all, a)
						kept[id] = used
						mu.Unlock()
					}
					time.Sleep(time.Duration(100+rand.IntN(100)) * time.Millisecond)
				}
				c.close()
			}
		})
	}
	running.Wait()
	time.Sleep(300 * time.Millisecond)
	runs := map[string][]run{}
	for _, r := range d.allRuns() {
		runs[r.id] = append(runs[r.id], r)
	}
	lost, statuses := map[string]int{}, map[int]int{}
	for _, a := range all {
		statuses[a.status]++
		if a.status != 0 || !kept[a.id] || len(runs[a.id]) == 0 {
			continue
		}
		sound := true
		for _, r := range runs[a.id] {
			sound = sound && !faulty[r.target.id]
		}
		if sound {
			lost[a.entry.name]++
			rec.note("%s was passed on to %s, which is sound, and %s closed the connection without an answer: %v", a.id, runs[a.id][0].target.id, a.entry.name, a.err)
		}
	}
	rec.say("%d requests, answers by status %v (0: none); passed on to a sound target and closed without an answer, by entry: %v", len(all), statuses, lost)
	if statuses[200] == 0 {
		return false, errNotRun
	}
	for _, n := range lost {
		broken = broken || n > allowed
	}
	return broken, nil
}
