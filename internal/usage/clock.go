package usage

import (
	"slices"
	"time"
)

// Instant is a point in time by both clocks of a host. The monotonic one may stand still while the process is suspended, the other
// one may jump.
type Instant struct {
	Mono time.Duration // since an arbitrary start
	Wall time.Time
}

// sampleMaxAge is how long the clock of an entry counts after its last message. Entries send one each second at least.
const sampleMaxAge = 5 * time.Second

// Clock estimates true time. It is the median of the clocks of all entries, kept relative to the monotonic clock of this host, so
// that a jump of the clocks of few hosts doesn't move it.
type Clock struct {
	known   bool
	offset  time.Duration // from the monotonic clock to Unix time
	samples map[string]sample
}

// sample is the clock of an entry as its last message told.
type sample struct {
	offset time.Duration
	at     time.Duration
}

func offsetOf(t time.Time, now Instant) time.Duration { return time.Duration(t.UnixNano()) - now.Mono }

// Now returns the estimate of true time.
func (c *Clock) Now(now Instant) time.Time {
	if !c.known {
		c.known, c.offset = true, offsetOf(now.Wall, now)
	}
	return time.Unix(0, int64(now.Mono+c.offset))
}

// Follow takes over the estimate of the leader.
func (c *Clock) Follow(now Instant, estimate time.Time) {
	c.known, c.offset = true, offsetOf(estimate, now)
}

// Observe records the wall clock of another entry, for Settle.
func (c *Clock) Observe(now Instant, entry string, wall time.Time) {
	if c.samples == nil {
		c.samples = map[string]sample{}
	}
	c.samples[entry] = sample{offsetOf(wall, now), now.Mono}
}

// Settle moves the estimate to the median of the clocks, this host's among them. Of an even number, any time between the two
// middle ones is a median; the estimate then moves no further than it has to.
func (c *Clock) Settle(now Instant) {
	c.Now(now)
	offsets := []time.Duration{offsetOf(now.Wall, now)}
	for entry, s := range c.samples {
		if now.Mono-s.at > sampleMaxAge {
			delete(c.samples, entry)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	low, high := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	c.offset = min(max(c.offset, low), high)
}
