package entry

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/wire"
	"boragehinge.example/boragehinge/inventory"
)

// poolLoad is a snapshot of the load of a pool.
type poolLoad struct {
	at      time.Time
	summary dispatch.Summary
}

// poolLoad returns a snapshot of the load that is at most maxLoadAge old.
func (o *ownedPool) poolLoad(now time.Time) *poolLoad {
	if f := o.cachedLoad.Load(); f != nil && now.Sub(f.at) < maxLoadAge {
		return f
	}
	o.mu.Lock()
	f := &poolLoad{at: now, summary: o.pool.Summary(now)}
	o.mu.Unlock()
	o.cachedLoad.Store(f)
	return f
}

// expectedWait returns the expected queueing time of a call at the middle priority.
func (f *poolLoad) expectedWait() time.Duration {
	w := f.summary.Waits
	if len(w) == 0 {
		return 0
	}
	return w[len(w)/2].Wait
}

// headerValue encodes the load as the value of the Boragehinge-Pool-Summary header.
func (f *poolLoad) headerValue() string {
	s := f.summary
	return fmt.Sprintf("slots=%d,in-flight=%d,queued=%d,wait-us=%d", s.Slots, s.InFlight, s.Queued, f.expectedWait().Microseconds())
}

// maxSummaryWait caps the queueing time that a peer may report.
const maxSummaryWait = 10 * time.Minute

// parseSummary reads the expected wait from a pool summary header. Unknown fields are ignored, so that newer entries can add
// fields.
func parseSummary(value string) (wait time.Duration, ok bool) {
	for field := range strings.SplitSeq(value, ",") {
		text, found := strings.CutPrefix(field, "wait-us=")
		if !found {
			continue
		}
		us, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return 0, false
		}
		return min(time.Duration(us)*time.Microsecond, maxSummaryWait), true
	}
	return 0, false
}

// wire converts the load to the pool summary of a digest.
func (f *poolLoad) wire(id inventory.PoolID) wire.PoolSummary {
	s := f.summary
	us := int(f.expectedWait().Microseconds())
	return wire.PoolSummary{
		Service: id.Service, DataCentre: id.DataCentre, Shard: id.Shard,
		Slots: &s.Slots, InFlight: &s.InFlight, Queued: &s.Queued, ExpectedWaitMicros: &us,
	}
}

// handlePoolSummaries records the expected waits from the pool summaries of a peer's digest.
func (e *Entry) handlePoolSummaries(list []wire.PoolSummary) {
	now := time.Now()
	for _, s := range list {
		if s.ExpectedWaitMicros == nil || *s.ExpectedWaitMicros < 0 {
			continue
		}
		wait := min(time.Duration(*s.ExpectedWaitMicros)*time.Microsecond, maxSummaryWait)
		e.observeWait(now, inventory.PoolID{Service: s.Service, DataCentre: s.DataCentre, Shard: s.Shard}, wait)
	}
}

// ownPoolSummaries returns the summaries of all owned pools for the next digest.
func (e *Entry) ownPoolSummaries() []wire.PoolSummary {
	now := time.Now()
	var list []wire.PoolSummary
	for _, o := range e.ownership.all() {
		if o.lostAt.Load() == 0 {
			list = append(list, o.poolLoad(now).wire(o.id))
		}
	}
	return list
}
