package coordinator

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// largerHost is the processor share of a follower, relative to the leader's, from which on the leader gives way to it.
	largerHost = 1.5
	// toleratedLateness is the delay up to which a tick counts as in time.
	toleratedLateness = tickInterval
	// latenessSpan is the time over which the delays of ticks are summed up.
	latenessSpan = time.Second
	// starvedLateness is the sum of delays from which on a leader is short of processor, several times what a healthy host shows in
	// a burst. Grants that are so late miss the shorter objectives.
	starvedLateness = 200 * time.Millisecond
	// slowMemory is how long an entry that was short of processor lets others lead.
	slowMemory = 10 * time.Second
)

// latenessMeter sums up by how much ticks come late. It belongs to the goroutine of the ticks.
type latenessMeter struct {
	last time.Time
	sum  time.Duration
}

// observe takes the time of a tick and returns the delays of the last latenessSpan, those of longer ago counting less.
func (m *latenessMeter) observe(now time.Time) time.Duration {
	if m.last.IsZero() {
		m.last = now
		return 0
	}
	gap := now.Sub(m.last)
	m.last = now
	kept := max(0, 1-gap.Seconds()/latenessSpan.Seconds())
	m.sum = time.Duration(kept*float64(m.sum)) + max(0, gap-tickInterval-toleratedLateness)
	return m.sum
}

// tick lets time pass for the pools, and ends the leadership when this entry is short of processor. Its grants would come late for
// all entries, which keep a leader as long as they hear from it.
func (l *leadership) tick(now time.Time, late time.Duration) {
	l.coordinator.Tick(now)
	l.node.o.Metrics.tickDelay.Set(late.Seconds())
	if late < starvedLateness || now.Sub(l.since) < newLeaderTime || !l.canHandOver() {
		return
	}
	l.log.Warn().Str("event", "leadership").Dur("late", late).Int("followers", len(l.currentFollowers())).Msg("short of processor, gives way")
	l.node.noteSlow(now)
	l.stop()
}

// canHandOver reports whether this leadership goes on, and a follower can lead that wouldn't give way to this entry's host.
func (l *leadership) canHandOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopping && slices.ContainsFunc(l.staying(), func(e gateway.Entry) bool { return !muchLarger(l.node.o.Self, e) })
}

// giveWayToLarger ends the leadership when a much larger host follows.
func (l *leadership) giveWayToLarger(now time.Time) {
	self := l.node.o.Self
	if now.Sub(l.since) < newLeaderTime || self.CPUShare <= 0 {
		return
	}
	l.mu.Lock()
	staying := l.staying()
	l.mu.Unlock()
	i := slices.IndexFunc(staying, func(e gateway.Entry) bool { return muchLarger(e, self) })
	if i < 0 {
		return
	}
	larger := staying[i]
	l.log.Info().Str("event", "leadership").Str("larger", larger.Name).Float64("cpu_share", larger.CPUShare).Msg("gives way")
	l.stop()
}

// muchLarger reports whether a leader on the host of b gives way to a.
func muchLarger(a, b gateway.Entry) bool { return a.CPUShare >= largerHost*b.CPUShare }

// noteSlow remembers that this entry was short of processor.
func (n *Node) noteSlow(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowUntil = now.Add(slowMemory)
}

// slow reports whether this entry was short of processor of late. The caller holds n.mu.
func (n *Node) slow() bool { return time.Now().Before(n.slowUntil) }
