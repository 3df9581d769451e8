package feed

import (
	"sync"
	"time"
)

// outage tells whether the store was away for all, and until when the records that lapsed meanwhile may come back. A read of
// heartbeats that fails while other reads are answered is no outage: then this entry's way to the store was broken, and the
// upstreams' records went on.
type outage struct {
	mu       sync.Mutex
	away     bool
	answerAt time.Time // last answer of the store, whatever the source
	backAt   time.Time // first answer after the last outage
}

// failed notes that a read of heartbeats failed that began at a time.
func (o *outage) failed(began time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.answerAt.After(began) {
		o.away = true
	}
}

// answered notes an answer of the store.
func (o *outage) answered(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answerAt = now
	if o.away {
		o.away, o.backAt = false, now
	}
}

// lapseEnd is the time until which missing records may come back. It has passed when there was no outage of late.
func (o *outage) lapseEnd() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.backAt.IsZero() {
		return time.Time{}
	}
	return o.backAt.Add(lapseTime)
}
