package coordinator

import (
	"sync/atomic"
	"time"
)

// workKind is a kind of work that the leader does for all entries.
type workKind uint8

// Kinds of work.
const (
	submitWork workKind = iota
	finishWork
	probeWork
	tickWork
	configureWork
	receiveWork
	sendWork
	workKinds
)

// String returns the name of the kind in logs and metrics.
func (k workKind) String() string {
	return [...]string{"submit", "finish", "probe", "tick", "configure", "receive", "send"}[k]
}

// workMeter sums up the time spent on each kind of work. It shows what uses the processor of a leader that is short of it. The
// zero value is ready for use, and so is a nil pointer, which measures nothing. It is safe for concurrent use.
type workMeter struct {
	nanoseconds [workKinds]atomic.Int64
}

// since adds the time since began to a kind of work.
func (m *workMeter) since(began time.Time, kind workKind) {
	if m != nil {
		m.nanoseconds[kind].Add(int64(time.Since(began)))
	}
}

// totals is the time spent on each kind of work since the start.
type totals [workKinds]time.Duration

func (m *workMeter) totals() totals {
	var out totals
	for kind := range out {
		out[kind] = time.Duration(m.nanoseconds[kind].Load())
	}
	return out
}

// loadLogInterval is how often the leader logs its load.
const loadLogInterval = time.Second

// loadLogger logs the load of a leader at intervals. It is used by the goroutine of runMaintenance only.
type loadLogger struct {
	leadership *leadership
	at         time.Time
	spent      totals
	served     uint64
}

// log writes one line about the time since the last one, if loadLogInterval has passed. Kinds of work are in milliseconds.
func (d *loadLogger) log(now time.Time) {
	if now.Sub(d.at) < loadLogInterval {
		return
	}
	l := d.leadership
	spent, served := l.node.work.totals(), l.coordinator.Served()
	if !d.at.IsZero() {
		e := l.log.Info().Str("event", "load").Dur("period", now.Sub(d.at)).Uint64("asks", served-d.served).Int("waiting", l.coordinator.Waiting())
		for kind := range spent {
			e = e.Dur(workKind(kind).String(), spent[kind]-d.spent[kind]) //nolint:gosec // a few kinds
		}
		e.Msg("load of the leader")
	}
	d.at, d.spent, d.served = now, spent, served
}
