package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/inventory"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func pool(dc string) inventory.PoolID { return inventory.PoolID{Service: "s", DataCentre: dc} }

func seeded(n uint64) *rand.Rand { return rand.New(rand.NewPCG(n, 1)) }

// Guards against a share that differs from the rule's, and against resends that meet another version.
func TestVersionShareIsExactAndMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.String().Draw(t, "id")
		low := rapid.Float64Range(0, 1).Draw(t, "low")
		high := rapid.Float64Range(low, 1).Draw(t, "high")
		a, same, b := Move{"m", "1", "2", low}, Move{"m", "1", "2", low}, Move{"m", "1", "2", high}
		if a.Version(id) != same.Version(id) || a.Version(id) == "2" && b.Version(id) == "1" {
			t.Fatal("a call changes its version")
		}
	})
	for _, share := range []float64{0, 0.01, 0.25, 1} {
		n := 0
		for i := range 100000 {
			if (Move{"m", "1", "2", share}).Version(fmt.Sprint(i)) == "2" {
				n++
			}
		}
		assert.InDelta(t, share, float64(n)/100000, 0.002)
	}
}

// Guards against calls that leave their data centre without need, or stay in one whose wait exceeds the delay.
func TestChoosesNearUntilTheWaitExceedsTheDelay(t *testing.T) {
	c := NewChooser(seeded(1))
	c.Configure([]Candidate{{pool("far"), 500 * time.Microsecond}, {pool("near"), 0}})
	assert.Greater(t, c.Weight(pool("near")), 0.98)
	now := start
	run := func(ticks int, near time.Duration) {
		for range ticks {
			now = now.Add(TickInterval)
			c.Observe(now, pool("near"), near)
			c.Observe(now, pool("far"), 0)
			c.Tick(now)
		}
	}
	run(100, 1400*time.Microsecond)
	assert.Greater(t, c.Weight(pool("near")), 0.98, "the wait exceeds the way there and back by less than 0.5 ms")
	run(100, 10*time.Millisecond)
	assert.Less(t, c.Weight(pool("near")), 0.1)
	assert.Positive(t, c.Weight(pool("near")), "a trickle keeps the wait known")
	run(200, 0)
	assert.Greater(t, c.Weight(pool("near")), 0.9)
}

// Guards against calls to a pool that asked to be left alone, and against entries that return to it together.
func TestAvoidsAPoolThatRefused(t *testing.T) {
	returns := map[time.Duration]bool{}
	for seed := range uint64(16) {
		c := NewChooser(seeded(seed))
		c.Configure([]Candidate{{pool("near"), 0}, {pool("far"), 500 * time.Microsecond}, {pool("b"), time.Millisecond}, {pool("c"), time.Millisecond}})
		c.Refused(start, pool("near"), time.Second)
		for range 100 {
			pools, _ := c.Choose(start.Add(999 * time.Millisecond))
			assert.Len(t, pools, MaxPools)
			assert.NotContains(t, pools, pool("near"))
		}
		for ms := time.Duration(1000); ms < 1300; ms += 10 {
			if c.estimates[pool("near")].refusedUntil.Before(start.Add(ms * time.Millisecond)) {
				returns[ms] = true
				break
			}
		}
	}
	assert.Greater(t, len(returns), 4)
	c := NewChooser(seeded(1))
	c.Configure([]Candidate{{pool("near"), 0}})
	c.Refused(start, pool("near"), time.Second)
	pools, retryAfter := c.Choose(start)
	assert.Empty(t, pools)
	assert.GreaterOrEqual(t, retryAfter, time.Second)
}

// swing simulates 16 entries that send to two pools and see the waits 200 ms late. It returns the mean change of a
// pool's share of the calls from tick to tick in the second half of the run.
func swing(damped bool) float64 {
	const entries, ticks, late = 16, 400, 2
	choosers := make([]*Chooser, entries)
	for i := range choosers {
		choosers[i] = NewChooser(seeded(uint64(i)))
		choosers[i].Configure([]Candidate{{pool("a"), 0}, {pool("b"), 200 * time.Microsecond}})
	}
	queue := [2]float64{}
	history := [][2]float64{}
	changes, before := 0.0, 0.0
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * TickInterval)
		seen := [2]float64{}
		if tick >= late {
			seen = history[tick-late]
		}
		share := 0.0
		for _, c := range choosers {
			for i, p := range []inventory.PoolID{pool("a"), pool("b")} {
				c.Observe(now, p, time.Duration(seen[i]*float64(time.Millisecond)))
			}
			if damped {
				c.Tick(now)
				share += c.Weight(pool("a")) / entries
			} else if seen[0] <= seen[1]+0.4 {
				share += 1.0 / entries
			}
		}
		// Each pool drains 60 calls per tick; 100 calls arrive. A queued call is 1 ms of wait.
		queue[0] = math.Max(0, queue[0]+100*share-60)
		queue[1] = math.Max(0, queue[1]+100*(1-share)-60)
		history = append(history, queue)
		if tick > ticks/2 {
			changes += math.Abs(share-before) / (ticks / 2)
		}
		before = share
	}
	return changes
}

// Guards against entries that all leave a pool at the same moment and return at the same moment.
func TestEntriesDoNotOscillate(t *testing.T) {
	naive, damped := swing(false), swing(true)
	t.Logf("mean change of a pool's share per tick: %.3f when each entry takes the cheapest pool, %.3f damped", naive, damped)
	assert.Less(t, damped, naive/5)
}
