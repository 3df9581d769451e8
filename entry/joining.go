package entry

import (
	"sync/atomic"
	"time"
)

const (
	// joinPeriod limits the time after its start for which an entry waits for the states of pools that other entries own. They send them
	// when they receive its first heartbeat, 0.5 to 1.1 s after its start in tests of three entries in one process.
	joinPeriod = 2 * time.Second
	// stateTransferPeriod is how long after all entries of the data centre have joined their states may still arrive. Views differ for up
	// to a heartbeat interval of 0.25 s.
	stateTransferPeriod = 400 * time.Millisecond
)

// joining tells an entry that has just started when it has received the states of pools that other entries owned until then. Calls of
// these may run on cold upstreams, which this entry doesn't know to be cold.
type joining struct {
	hosts  atomic.Int64 // entry hosts of the data centre on the platform's list; 0 when unknown
	joined atomic.Int64 // when all of them were members, Unix nanoseconds; 0 before
}

// end returns the time at which the wait ends, as far as it is known.
func (j *joining) end(started time.Time) time.Time {
	end := started.Add(joinPeriod)
	if joined := j.joined.Load(); joined != 0 {
		if at := time.Unix(0, joined).Add(stateTransferPeriod); at.Before(end) {
			end = at
		}
	}
	if j.hosts.Load() == 1 {
		end = started
	}
	return end
}

// update records the number of members of the data centre, and reports whether that changed the end.
func (j *joining) update(now time.Time, members int) (changed bool) {
	hosts := j.hosts.Load()
	return hosts != 0 && int64(members) >= hosts && j.joined.CompareAndSwap(0, now.UnixNano())
}

// updateJoining ends the wait for handovers early once all entries of the data centre have joined. The caller holds ownership.mu.
func (e *Entry) updateJoining(now time.Time) {
	if !e.joining.update(now, len(e.neighbours())+1) {
		return
	}
	end := e.joining.end(e.started)
	for _, o := range e.ownership.all() {
		o.mu.Lock()
		o.pool.EndPendingHandover(end)
		o.mu.Unlock()
	}
}
