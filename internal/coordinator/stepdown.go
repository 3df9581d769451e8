package coordinator

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// largerHostRatio is the ratio of a follower's CPU share to the leader's from which the leader steps down for it.
	largerHostRatio = 1.5
	// tickDelayTolerance is the delay up to which a tick counts as on time.
	tickDelayTolerance = tickInterval
	// tickDelayWindow is the period over which tick delays are summed.
	tickDelayWindow = time.Second
	// maxTickDelaySum is the sum of tick delays from which a leader counts as short of CPU. It is several times what a healthy
	// host shows in a burst. Grants that are delayed so much miss the shorter latency objectives.
	maxTickDelaySum = 200 * time.Millisecond
	// slowPeriod is how long an entry that was short of CPU lets others lead.
	slowPeriod = 10 * time.Second
)

// tickDelayMeter sums the delays of ticks. It is used by the goroutine of the ticks only.
type tickDelayMeter struct {
	last time.Time
	sum  time.Duration
}

// observe records a tick and returns the sum of the delays over the last tickDelayWindow. Older delays count less.
func (m *tickDelayMeter) observe(now time.Time) time.Duration {
	if m.last.IsZero() {
		m.last = now
		return 0
	}
	gap := now.Sub(m.last)
	m.last = now
	kept := max(0, 1-gap.Seconds()/tickDelayWindow.Seconds())
	m.sum = time.Duration(kept*float64(m.sum)) + max(0, gap-tickInterval-tickDelayTolerance)
	return m.sum
}

// tick advances the pools, and steps down when this entry is short of CPU: its grants would be late for all entries, which keep
// a leader as long as it sends heartbeats.
func (l *leadership) tick(now time.Time, delaySum time.Duration) {
	l.coordinator.Tick(now)
	l.publishDueClusterInfo(now)
	l.node.o.Metrics.tickDelay.Set(delaySum.Seconds())
	if delaySum < l.node.tickDelayLimit || now.Sub(l.startedAt) < newLeaderPeriod || !l.canHandOver() {
		return
	}
	l.log.Warn().Str("event", "leadership").Dur("late", delaySum).Int("followers", len(l.currentFollowers())).Msg("short of processor, gives way")
	l.node.markSlow(now)
	l.stop()
}

// canHandOver reports whether this leadership is still active and has a follower that could lead without stepping down for
// this entry's larger host.
func (l *leadership) canHandOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopping && slices.ContainsFunc(l.staying(), func(e gateway.Entry) bool { return !muchLarger(l.node.o.Self, e) })
}

// stepDownForLargerHost ends the leadership when a follower runs on a much larger host.
func (l *leadership) stepDownForLargerHost(now time.Time) {
	self := l.node.o.Self
	if now.Sub(l.startedAt) < newLeaderPeriod || self.CPUShare <= 0 {
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

// muchLarger reports whether the CPU share of a is so much larger that a leader b steps down for it.
func muchLarger(a, b gateway.Entry) bool { return a.CPUShare >= largerHostRatio*b.CPUShare }

// markSlow records that this entry was short of CPU.
func (n *Node) markSlow(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slowUntil = now.Add(slowPeriod)
}

// slow reports whether this entry was short of CPU within the last slowPeriod. The caller holds n.mu.
func (n *Node) slow() bool { return time.Now().Before(n.slowUntil) }
