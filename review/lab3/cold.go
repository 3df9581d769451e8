package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["cold"] = cold }

// cold: the targets of a zone become cold again. The leader is frozen soon after that.
func cold(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		coldPerS = 4
		allowed  = 3*coldPerS/2 + 5 // coldBurstFactor and coldSlack
		coldFor  = 3 * time.Second
		playFor  = 14 * time.Second
		entries  = 10
		coldAt   = 8 * time.Second
		freezeAt = coldAt + 300*time.Millisecond
		noticed  = 100 * time.Millisecond // what comes earlier isn't counted
	)
	d, err := newDeployment(rec, []route{{name: "lists", prefix: "/lists/", kind: "safe", service: "lists", timeout: 800 * time.Millisecond, slo: 250 * time.Millisecond, maxAttempts: 2}}, []service{{"lists", coldPerS}})
	if err != nil {
		return false, err
	}
	defer d.close()
	for i := range 6 {
		if _, err := d.addTarget("lists", zones[i%len(zones)], 3, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(entries); err != nil {
		return false, err
	}
	began := time.Now()
	time.AfterFunc(coldAt, func() {
		for _, t := range d.targets {
			if t.zone == zones[0] {
				rec.say("%s turns cold for %s", t.id, coldFor)
				t.turnCold(coldFor)
			}
		}
	})
	var frozen <-chan *entry
	if trouble {
		frozen = d.freezeLeader(began.Add(freezeAt))
	}
	answers := d.press(http.MethodGet, "/lists/", 250, 800*time.Millisecond, began.Add(playFor))
	if trouble && <-frozen == nil {
		return false, fmt.Errorf("no leader was found: %w", errNotRun)
	}
	sentAt := map[string]time.Time{}
	for _, a := range answers {
		sentAt[a.id] = a.sent
	}
	from, to := began.Add(coldAt+noticed), began.Add(coldAt+coldFor)
	got := map[*target][]passage{}
	for _, r := range d.allRuns() {
		if r.target.zone == zones[0] && r.arrived.After(from) && r.arrived.Before(to) {
			got[r.target] = append(got[r.target], passage{sentAt[r.id], r.arrived})
		}
	}
	for t, passages := range got {
		most, at := mostWithin(passages, time.Second)
		rec.say("%s got %d requests that were sent and arrived in the second from %s while it was cold; %d are allowed", t.id, most, rec.seconds(at), allowed)
		broken = broken || most > allowed
	}
	rec.say("answers by status %v", countStatuses(answers))
	return broken, nil
}

// passage is when the caller sent a request, and when the target began to work on it.
type passage struct{ sent, arrived time.Time }

// mostWithin returns the most passages that lie wholly within any window, and where the window begins.
func mostWithin(passages []passage, window time.Duration) (most int, from time.Time) {
	for _, first := range passages {
		n := 0
		for _, p := range passages {
			if !p.sent.Before(first.sent) && p.arrived.Before(first.sent.Add(window)) {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}
