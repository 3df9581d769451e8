package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against slots that stay unused under overload: with two slots an upstream, one of them is above maxOccupancy, but two slow
// requests complete more work than one fast request (scale-1 of labojumi-riga, where a third of the burst was refused or late
// while half of the slots were empty).
func TestUpstreamsWithFewSlotsAreFilled(t *testing.T) {
	s := newNoisySimulation(16, 2, noise{0.25, 5, 150 * time.Millisecond})
	s.base, s.objective, s.deadline = 60*time.Millisecond, 200*time.Millisecond, 800*time.Millisecond
	const perSecond = 300
	s.scheduleLoad(0, 9*time.Second, perSecond)
	s.simulate(10 * time.Second)
	oneSlot := 16 * 0.75 / 0.06 / perSecond // share of the requests that fills one slot of each upstream that isn't slowed down
	assert.Greater(t, s.share(2*time.Second, 9*time.Second, func(r result) bool { return r.served }), 1.1*oneSlot)
}

// Guards against filling upstreams up when that lowers their throughput, as latencies show.
func TestSlotsAreLeftFreeWhereFullUpstreamsAreMuchSlower(t *testing.T) {
	s := newNoisySimulation(16, 2, noise{0.25, 5, 150 * time.Millisecond})
	s.base, s.objective, s.deadline, s.full = 60*time.Millisecond, 400*time.Millisecond, 800*time.Millisecond, 2.8
	s.scheduleLoad(0, 9*time.Second, 300)
	s.simulate(10 * time.Second)
	assert.Equal(t, 1, s.pool.occupancy.limit(2))
	assert.GreaterOrEqual(t, s.pool.occupancy.fullSlowdown, 2.0, "from there on, the second slot gains nothing")
	assert.LessOrEqual(t, s.pool.occupancy.fullSlowdown, s.full)
}

// Guards against a change for upstreams with more slots, where the last ones lower the throughput.
func TestOccupancyLimits(t *testing.T) {
	o := newOccupancy()
	for slots, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 6: 4, 10: 8} {
		assert.Equal(t, want, o.limit(slots), "%d slots", slots)
	}
	assert.InDelta(t, 2/initialFullSlowdown, o.throughput(2), 0.01)
	assert.InDelta(t, 1, o.slowdown(2, 0), 0)
	assert.InDelta(t, initialFullSlowdown, o.slowdown(2, 1), 0)
	o.maxInFlight = 1
	assert.Equal(t, 1, o.limit(2))
}
