package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["limits"] = limits }

// limits: all targets of a service name a limit. The leader is frozen.
func limits(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		perSecond = 2.0
		window    = 4 * time.Second
		steady    = 3 * time.Second // stabilityWindow
		notice    = 500 * time.Millisecond
		allowed   = 1.5*perSecond*4 + 5
		playFor   = 38 * time.Second
		entries   = 16
		freezeAt  = 30 * time.Second
	)
	d, err := newDeployment(rec, []route{{name: "lists", prefix: "/lists/", kind: "safe", service: "lists", timeout: 1500 * time.Millisecond, slo: time.Second, maxAttempts: 2}}, []service{{"lists", 11}})
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, zone := range []string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[2]} {
		t, err := d.addTarget("lists", zone, 3, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.headers = func() string { return fmt.Sprintf("Server-Limit: %.1f\r\n", perSecond) }
	}
	if err := d.startEntries(entries); err != nil {
		return false, err
	}
	began := time.Now()
	var frozen <-chan *entry
	if trouble {
		frozen = d.freezeLeader(began.Add(freezeAt))
	}
	answers := d.press(http.MethodGet, "/lists/", 250, 1500*time.Millisecond, began.Add(playFor))
	var excused *entry
	if trouble {
		if excused = <-frozen; excused == nil {
			return false, fmt.Errorf("no leader was found: %w", errNotRun)
		}
	}
	type pair struct {
		e *entry
		t *target
	}
	runs := map[string]*target{}
	for _, r := range d.allRuns() {
		runs[r.id] = r.target
	}
	sentTo, told := map[string]*entry{}, map[pair]time.Time{} // when an entry first passed on an answer of a target
	for _, a := range answers {
		sentTo[a.id] = a.entry
		p := pair{a.entry, runs[a.id]}
		if at, known := told[p]; a.stamp != "" && (!known || a.answered.Before(at)) {
			told[p] = a.answered
		}
	}
	for t, times := range d.arrivalsByTarget(func(r *run) bool {
		at, known := told[pair{sentTo[r.id], r.target}]
		return r.arrived.After(began.Add(steady+time.Second)) && sentTo[r.id] != excused && known && r.arrived.After(at.Add(notice))
	}) {
		most, from := busiest(times, window)
		rec.say("%s got %d requests in the 4 s from %s; %.0f are allowed", t.id, most, rec.seconds(from), allowed)
		broken = broken || float64(most) > allowed
	}
	rec.say("answers by status %v", countStatuses(answers))
	return broken, nil
}
