package feed

import (
	"sync"
	"time"
)

// outage detects store outages and computes until when records that expired during one may come back. A heartbeat read that
// fails while other reads succeed is not an outage: then only this entry's connection to the store was broken, and the
// upstreams kept renewing their records.
type outage struct {
	mu           sync.Mutex
	ongoing      bool
	lastResponse time.Time // last response of the store, for any source
	endedAt      time.Time // first response after the last outage
}

// recordFailure records a failed heartbeat read that started at began.
func (o *outage) recordFailure(began time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lastResponse.After(began) {
		o.ongoing = true
	}
}

// recordRestore records that the store was restored from a backup, which counts as an outage until its next response.
func (o *outage) recordRestore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ongoing = true
}

// recordResponse records a response of the store.
func (o *outage) recordResponse(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastResponse = now
	if o.ongoing {
		o.ongoing, o.endedAt = false, now
	}
}

// graceEnd returns the time until which missing records may come back. It is in the past if there was no recent outage.
func (o *outage) graceEnd() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endedAt.IsZero() {
		return time.Time{}
	}
	return o.endedAt.Add(outageGracePeriod)
}
