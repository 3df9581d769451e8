package main

import (
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// arrivalsByTarget returns the sorted times at which requests arrived at each target, of those that keep is true for.
func (d *deployment) arrivalsByTarget(keep func(r *run) bool) map[*target][]time.Time {
	out := map[*target][]time.Time{}
	for _, r := range d.allRuns() {
		if keep(&r) {
			out[r.target] = append(out[r.target], r.arrived)
		}
	}
	for _, times := range out {
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	}
	return out
}

// busiest returns the most times within any window, and where the window begins.
func busiest(times []time.Time, window time.Duration) (most int, from time.Time) {
	for i := range times {
		j := sort.Search(len(times), func(j int) bool { return !times[j].Before(times[i].Add(window)) })
		if j-i > most {
			most, from = j-i, times[i]
		}
	}
	return most, from
}

// press sends requests at a rate, each on a new connection at a random entry, until end.
func (d *deployment) press(method, path string, perSecond int, deadline time.Duration, end time.Time) []answer {
	var mu sync.Mutex
	var answers []answer
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for time.Now().Before(end) {
		<-ticker.C
		e, id := d.entries[rand.IntN(len(d.entries))], newID()
		running.Go(func() {
			body := ""
			if method == http.MethodPost {
				body = "order " + id
			}
			a := d.ask(e, id, method, path+id, body, deadline, "")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	running.Wait()
	return answers
}

func countStatuses(answers []answer) map[int]int {
	out := map[int]int{}
	for _, a := range answers {
		out[a.status]++
	}
	return out
}

// freezeFor is how long a frozen entry stands still.
const freezeFor = 3 * time.Second

// freezeLeader stops the process of the entry that leads at a moment, and continues it after freezeFor. The entry, or nil if none leads,
// is sent to the channel.
func (d *deployment) freezeLeader(at time.Time) <-chan *entry {
	frozen := make(chan *entry, 1)
	time.AfterFunc(time.Until(at), func() {
		e := d.leader()
		if e != nil {
			e.signal(syscall.SIGSTOP)
			time.Sleep(freezeFor)
			e.signal(syscall.SIGCONT)
		}
		frozen <- e
	})
	return frozen
}
