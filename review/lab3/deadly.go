package main

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// deadlyCase is how a request crashes the targets that run it.
type deadlyCase struct {
	services []string // of its route, in equal parts
	crash    func(t *target, d time.Duration)
	pause    time.Duration // between two tries of its caller
	atOne    bool          // the caller stays with one entry
	unsafe   bool          // the request may run once only
}

func init() {
	const often, seldom = 400 * time.Millisecond, 2250 * time.Millisecond
	one, three := []string{"lists"}, []string{"lists", "maps", "bundles"}
	late := func(t *target, d time.Duration) { time.AfterFunc(1200*time.Millisecond, func() { t.crash(d) }) }
	for name, c := range map[string]deadlyCase{
		"deadly":       {one, (*target).goDark, often, false, false},
		"deadly-late":  {one, late, often, false, false},
		"deadly-plain": {one, (*target).crash, often, false, false},
		"deadly-split": {three, (*target).crash, seldom, true, true},
	} {
		cases[name] = func(rec *recorder, trouble bool) (bool, error) { return deadly(rec, trouble, c) }
	}
}

// deadly: a request crashes each target that begins to run it, and its caller sends it again. The crashed machines fall silent.
func deadly(rec *recorder, trouble bool, how deadlyCase) (broken bool, err error) {
	const (
		targets   = 15
		darkFor   = 2400 * time.Millisecond
		playFor   = 20 * time.Second
		deadline  = 800 * time.Millisecond
		stability = 3 * time.Second
		allowed   = 3
		path      = "/lists/deadly"
	)
	names := how.services
	var services []service
	for _, name := range names {
		services = append(services, service{name, 11})
	}
	kind, method, body, attempts := "safe", http.MethodGet, "", 2
	if how.unsafe {
		kind, method, body, attempts = "unsafe", http.MethodPost, "deadly", 1
	}
	d, err := newDeployment(rec, []route{{name: "lists", prefix: "/lists/", kind: kind, split: names, timeout: deadline, slo: 250 * time.Millisecond, maxAttempts: attempts},
		{name: "orders", prefix: "/orders/", kind: "unsafe", split: names, timeout: deadline, slo: 250 * time.Millisecond, maxAttempts: 1}}, services)
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	var crashes []time.Time
	for i := range targets {
		t, err := d.addTarget(names[i%len(names)], zones[i/len(names)%len(zones)], 3, 150*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.begins = func(r *run) {
			if trouble && strings.HasPrefix(r.path, path) {
				r.outlive(1300 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				crashes = append(crashes, time.Now())
				rec.note("%s crashes %s", r.id, t.id)
				how.crash(t, darkFor)
			}
		}
	}
	if err := d.startEntries(3); err != nil {
		return false, err
	}
	end := time.Now().Add(playFor)
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	var running sync.WaitGroup
	running.Go(func() {
		for time.Now().Before(end) {
			id := newID()
			at := time.Now()
			mu.Lock()
			sent[id] = at
			mu.Unlock()
			e := d.entries[0]
			if !how.atOne {
				e = d.entries[rand.IntN(len(d.entries))]
			}
			a := d.ask(e, id, method, path, body, deadline, "")
			mu.Lock()
			statuses[a.status]++
			mu.Unlock()
			time.Sleep(how.pause)
		}
	})
	var others []answer
	running.Go(func() { others = d.press(http.MethodPost, "/orders/", 80, deadline, end) })
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	sort.Slice(crashes, func(i, j int) bool { return crashes[i].Before(crashes[j]) })
	rec.say("%d tries of the request, answers by status %v (0: none); it crashed %d processes; orders of others by status %v", len(sent), statuses, len(crashes), countStatuses(others))
	if len(crashes) < 3 {
		return false, nil
	}
	from := crashes[2].Add(stability)
	reached := map[string]bool{}
	for _, r := range d.allRuns() {
		if at, ok := sent[r.id]; ok && at.After(from) {
			reached[r.id] = true
		}
	}
	rec.say("it crashed the third at %s; of the tries sent 3 s later or more, %d reached a target, %d may", rec.seconds(crashes[2]), len(reached), allowed)
	return len(reached) > allowed, nil
}
