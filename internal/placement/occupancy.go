package placement

import (
	"math"
	"time"
)

const (
	// maxOccupancy is the fraction of occupied slots above which upstreams slow down.
	maxOccupancy = 0.8
	// initialFullSlowdown is the slowdown assumed for requests that start above maxOccupancy until latencies show it.
	initialFullSlowdown = 1.7
	// minFullSlowdown and maxFullSlowdown limit the estimate of that slowdown.
	minFullSlowdown, maxFullSlowdown = 1.05, 4.0
	// fullSlowdownStep is the relative step by which one latency moves the estimate.
	fullSlowdownStep = 0.002
	// fullSlowdownDecay is the relative step by which a request moves an estimate that keeps slots unused. The slots are tried
	// again after some time, since unused slots show nothing.
	fullSlowdownDecay = 0.0002
)

// occupancy decides how many slots of an upstream are used. Requests that start above maxOccupancy take longer, so using all
// slots usually lowers the throughput. An upstream with few slots is an exception: at two slots, maxOccupancy leaves one idle,
// and two slow requests complete more work than one fast request.
type occupancy struct {
	maxInFlight  int     // limits the concurrent requests to an upstream; 0 means no limit
	fullSlowdown float64 // estimated slowdown of requests that start above maxOccupancy
}

func newOccupancy() occupancy { return occupancy{fullSlowdown: initialFullSlowdown} }

// unslowedSlots is the number of requests that an upstream runs concurrently without slowing down.
func unslowedSlots(slots int) int { return max(1, int(math.Floor(maxOccupancy*float64(slots)+1e-9))) }

// limit is the number of concurrent requests to an upstream.
func (o *occupancy) limit(slots int) int {
	n := unslowedSlots(slots)
	if float64(slots)/o.fullSlowdown > float64(n) {
		n = slots
	}
	if o.maxInFlight > 0 {
		n = min(n, o.maxInFlight)
	}
	return n
}

// throughput is the work that an upstream completes at its limit, in requests that aren't slowed down.
func (o *occupancy) throughput(slots int) float64 {
	n := o.limit(slots)
	if n > unslowedSlots(slots) {
		return float64(n) / o.fullSlowdown
	}
	return float64(n)
}

// slowdown is the factor by which a request takes longer if it starts while running others run on the upstream.
func (o *occupancy) slowdown(slots, running int) float64 {
	if running < unslowedSlots(slots) {
		return 1
	}
	return o.fullSlowdown
}

// decay lowers an estimate that may no longer hold.
func (o *occupancy) decay() {
	if o.fullSlowdown > initialFullSlowdown {
		o.fullSlowdown *= 1 - fullSlowdownDecay
	}
}

// observe moves the estimate towards the median of latency/base of requests that started above maxOccupancy.
func (o *occupancy) observe(latency, base time.Duration) {
	if float64(latency) > o.fullSlowdown*float64(base) {
		o.fullSlowdown = min(maxFullSlowdown, o.fullSlowdown*(1+fullSlowdownStep))
		return
	}
	o.fullSlowdown = max(minFullSlowdown, o.fullSlowdown*(1-fullSlowdownStep))
}
