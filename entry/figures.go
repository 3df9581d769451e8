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

// figures are the load of a pool at one moment.
type figures struct {
	at      time.Time
	summary dispatch.Summary
}

// figures returns the load of the pool, at most summaryAge old.
func (o *ownedPool) figures(now time.Time) *figures {
	if f := o.digest.Load(); f != nil && now.Sub(f.at) < summaryAge {
		return f
	}
	o.mu.Lock()
	f := &figures{at: now, summary: o.pool.Summary(now)}
	o.mu.Unlock()
	o.digest.Store(f)
	return f
}

// wait returns the expected queueing time of a call of the middle priority.
func (f *figures) wait() time.Duration {
	w := f.summary.Waits
	if len(w) == 0 {
		return 0
	}
	return w[len(w)/2].Wait
}

// header returns the figures as the value of the pool summary's header.
func (f *figures) header() string {
	s := f.summary
	return fmt.Sprintf("slots=%d,in-flight=%d,queued=%d,wait-us=%d", s.Slots, s.InFlight, s.Queued, f.wait().Microseconds())
}

// maxSummaryWait bounds the wait that a peer may claim.
const maxSummaryWait = 10 * time.Minute

// parseSummary reads the wait from a pool summary's header. Unknown fields are ignored, so that newer entries may add some.
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

// wire returns the figures for a digest.
func (f *figures) wire(id inventory.PoolID) wire.PoolSummary {
	s := f.summary
	us := int(f.wait().Microseconds())
	return wire.PoolSummary{
		Service: id.Service, DataCentre: id.DataCentre, Shard: id.Shard,
		Slots: &s.Slots, InFlight: &s.InFlight, Queued: &s.Queued, ExpectedWaitMicros: &us,
	}
}

// takeSummaries takes the pool summaries of a digest.
func (e *Entry) takeSummaries(list []wire.PoolSummary) {
	now := time.Now()
	for _, s := range list {
		if s.ExpectedWaitMicros == nil || *s.ExpectedWaitMicros < 0 {
			continue
		}
		wait := min(time.Duration(*s.ExpectedWaitMicros)*time.Microsecond, maxSummaryWait)
		e.observeWait(now, inventory.PoolID{Service: s.Service, DataCentre: s.DataCentre, Shard: s.Shard}, wait)
	}
}

// summaries returns the figures of all owned pools for the next digest.
func (e *Entry) summaries() []wire.PoolSummary {
	now := time.Now()
	var list []wire.PoolSummary
	for _, o := range e.ownership.all() {
		if o.lostAt.Load() == 0 {
			list = append(list, o.figures(now).wire(o.id))
		}
	}
	return list
}
