package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// classResult counts the calls of one class in an overload run.
type classResult struct {
	offered, done int
	waits         []time.Duration
}

func (r *classResult) p99() time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// runOverload submits calls with random arrivals at the given rates per second to 6 slots with a service time of 10 ms,
// for 10 s. Each call has a deadline of 2 s. The results exclude the first 2 s, in which the queues fill.
func runOverload(t *testing.T, maxQueued int, rates map[string]float64) map[string]*classResult {
	spec := testSpec(6, 1)
	spec.MaxQueued = maxQueued
	f := newFixture(t, spec)
	f.advance(0)
	const warmUp, length, service = 2 * time.Second, 10 * time.Second, 10 * time.Millisecond
	type end struct {
		id uint64
		at time.Time
	}
	var running []end
	classes := []string{"urgent", "ordinary", "bulk"}
	results := map[string]*classResult{}
	for _, name := range classes {
		results[name] = &classResult{}
	}
	classOf := map[uint64]string{}
	start := f.now
	record := func(ev Events) {
		for _, g := range ev.Grants {
			running = append(running, end{g.RequestID, f.now.Add(service)})
			if r := results[classOf[g.RequestID]]; f.now.Sub(start) >= warmUp {
				r.done++
				r.waits = append(r.waits, g.Waited)
			}
		}
	}
	for ; f.now.Sub(start) < length; f.now = f.now.Add(time.Millisecond) {
		ev, _ := f.pool.Tick(f.now)
		record(ev)
		for len(running) > 0 && !running[0].at.After(f.now) {
			id := running[0].id
			running = running[1:]
			record(f.pool.Finish(f.now, id, Outcome{Latency: service}))
		}
		for _, i := range f.rng.Perm(len(classes)) {
			name := classes[i]
			if f.rng.Float64() >= rates[name]/1000 {
				continue
			}
			if f.now.Sub(start) >= warmUp {
				results[name].offered++
			}
			classOf[f.id+1] = name
			record(f.submit(Request{Class: name, Customer: "a", Deadline: f.now.Add(2 * time.Second)}))
		}
	}
	return results
}

// Guards against refusing bulk calls that their minimum share would serve in time, and against a full queue in which
// calls of higher priority displace them.
func TestMinimumShareIsServedUnderOverload(t *testing.T) {
	const capacity, seconds, share = 600, 8, 0.05
	for name, maxQueued := range map[string]int{"queue bounded by deadlines": 0, "full queue": 200} {
		t.Run(name, func(t *testing.T) {
			alone := runOverload(t, maxQueued, map[string]float64{"urgent": 300, "ordinary": 600})
			r := runOverload(t, maxQueued, map[string]float64{"urgent": 300, "ordinary": 600, "bulk": 300})
			for _, class := range []string{"urgent", "ordinary", "bulk"} {
				t.Logf("%s: %d of %d granted, p99 wait %v", class, r[class].done, r[class].offered, r[class].p99())
			}
			t.Logf("without bulk: urgent p99 wait %v", alone["urgent"].p99())
			require.Positive(t, r["bulk"].offered)
			assert.GreaterOrEqual(t, float64(r["bulk"].done), 0.8*share*capacity*seconds)
			assert.LessOrEqual(t, r["urgent"].p99(), alone["urgent"].p99()+10*time.Millisecond, "one service time")
			assert.GreaterOrEqual(t, r["urgent"].done, r["urgent"].offered*99/100)
		})
	}
}

// Guards against a full queue that refuses calls of a class that sends less than its minimum share.
func TestFullQueueAdmitsAClassBelowItsShare(t *testing.T) {
	r := runOverload(t, 200, map[string]float64{"urgent": 300, "ordinary": 870, "bulk": 24})
	t.Logf("bulk: %d of %d granted; urgent: %d of %d, p99 wait %v", r["bulk"].done, r["bulk"].offered,
		r["urgent"].done, r["urgent"].offered, r["urgent"].p99())
	assert.GreaterOrEqual(t, r["bulk"].done, r["bulk"].offered*9/10)
	assert.GreaterOrEqual(t, r["urgent"].done, r["urgent"].offered*99/100)
}
