package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["orders"] = orders }

// orderMove writes the operator's order to move a service to a version.
func (d *deployment) orderMove(service, version string, duration time.Duration) {
	d.rec.say("the operator orders %s to move to %s within %s", service, version, duration)
	d.store.put(topicOperators, "rollout/"+service, fmt.Appendf(nil, `{"service":%q,"toVersion":%q,"duration":%q}`, service, version, milliseconds(duration)))
}

// orders: an operator orders a version that turns out bad some seconds later. Meanwhile another operator has ordered the next one.
func orders(rec *recorder, trouble bool) (broken bool, err error) {
	const (
		duration  = 15 * time.Second
		secondAt  = 3 * time.Second // after the first order
		badFrom   = 9 * time.Second // after the first order
		failShare = 0.5
		perSecond = 120
		share     = 0.1 // exposeShare
		slack     = 50  // exposeSlack
		rollback  = 5 * time.Second
		badBefore = 50 // bad answers
		perZone   = 2
	)
	d, err := newDeployment(rec, []route{{name: "lists", prefix: "/lists/", kind: "safe", service: "lists", timeout: time.Second, slo: 300 * time.Millisecond, maxAttempts: 2}}, []service{{"lists", 11}})
	if err != nil {
		return false, err
	}
	defer d.close()
	var mu sync.Mutex
	var badAt time.Time
	var badAnswers []time.Time
	add := func(version string) error {
		for _, zone := range zones {
			for range perZone {
				t, err := d.addTargetOf("lists", version, zone, 3, 40*time.Millisecond)
				if err != nil {
					return err
				}
				if version != "v2" {
					continue
				}
				t.answer = func(c *call) bool {
					mu.Lock()
					bad := time.Now().After(badAt) && rand.Float64() < failShare
					if bad {
						badAnswers = append(badAnswers, time.Now())
					}
					mu.Unlock()
					if bad {
						return c.respond("500 Internal Server Error", "")
					}
					return c.succeed("done by v2")
				}
			}
		}
		return nil
	}
	if err := add("v1"); err != nil {
		return false, err
	}
	if err := d.startEntries(3); err != nil {
		return false, err
	}
	var answers []answer
	var running sync.WaitGroup
	end := time.Now().Add(4*time.Second + duration + 2*time.Second)
	running.Go(func() { answers = d.press(http.MethodGet, "/lists/", perSecond, time.Second, end) })
	time.Sleep(4 * time.Second)
	ordered := time.Now()
	mu.Lock()
	badAt = ordered.Add(badFrom)
	mu.Unlock()
	d.orderMove("lists", "v2", duration)
	if err := add("v2"); err != nil {
		return false, err
	}
	time.Sleep(time.Until(ordered.Add(secondAt)))
	if trouble {
		d.orderMove("lists", "v3", duration)
		if err := add("v3"); err != nil {
			return false, err
		}
	}
	running.Wait()
	total, exposed, late := 0, 0, 0
	sort.Slice(badAnswers, func(i, j int) bool { return badAnswers[i].Before(badAnswers[j]) })
	byVersion := map[string]int{}
	for _, r := range d.allRuns() {
		if r.arrived.Before(ordered) || r.arrived.After(ordered.Add(duration)) {
			continue
		}
		total++
		byVersion[r.target.version]++
		if r.target.version != "v2" {
			continue
		}
		exposed++
		if len(badAnswers) >= badBefore && r.arrived.After(badAnswers[badBefore-1].Add(rollback)) {
			late++
		}
	}
	allowed := share*float64(total) + slack
	rec.say("between the order of v2 and its deadline: %d requests reached the service, by version %v; v2 may get %.0f", total, byVersion, allowed)
	rec.say("v2 gave %d bad answers; it got %d requests later than 5 s after the 50th", len(badAnswers), late)
	rec.say("answers to callers by status %v; status of the move: %s", countStatuses(answers), d.store.value("keyed.status", "rollout/lists"))
	if countStatuses(answers)[http.StatusOK] == 0 {
		return false, errNotRun
	}
	return float64(exposed) > allowed || late > 0, nil
}
