package coordinator

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
)

const (
	// trafficInterval is the time over which the bytes per second of an entry are measured, and the least time between two reports.
	trafficInterval = 2 * time.Second
	// trafficChange is the ratio from which a figure counts as changed.
	trafficChange = 1.25
	// Smaller changes aren't reported: no host is short of so little.
	minTrafficBytes       = 8 << 10
	minTrafficConnections = 16
)

// TrafficTotals is what an entry has carried for callers since its start, on the callers' and the upstreams' side together, and the
// open connections of callers.
type TrafficTotals struct {
	Received, Sent int64 // bytes
	Connections    int
}

// since returns the traffic between two totals that were taken an interval apart.
func (t TrafficTotals) since(before TrafficTotals, interval time.Duration) Traffic {
	perSecond := func(n int64) int64 { return int64(float64(n) / interval.Seconds()) }
	return Traffic{Received: perSecond(t.Received - before.Received), Sent: perSecond(t.Sent - before.Sent), Connections: t.Connections}
}

// differs reports whether a leader that knows t has to be told next.
func (t Traffic) differs(next Traffic) bool {
	return changed(t.Received, next.Received, minTrafficBytes) || changed(t.Sent, next.Sent, minTrafficBytes) ||
		changed(int64(t.Connections), int64(next.Connections), minTrafficConnections)
}

func changed(from, to, least int64) bool {
	low, high := min(from, to), max(from, to)
	return high-low >= least && float64(high) >= trafficChange*float64(low)
}

// measureTraffic measures the traffic of this entry until ctx ends. While it follows a leader, changes are added to the next frame.
func (n *Node) measureTraffic(ctx context.Context) {
	before, at := n.o.Traffic(), time.Now()
	pause.Every(ctx, trafficInterval, func(time.Time) {
		totals, now := n.o.Traffic(), time.Now()
		traffic := totals.since(before, now.Sub(at))
		before, at = totals, now
		n.traffic.Store(&traffic)
		if s, ok := n.currentSession().(*linkSession); ok {
			s.reportTraffic(traffic)
		}
	})
}

// currentTraffic returns what was measured last.
func (n *Node) currentTraffic() Traffic {
	if t := n.traffic.Load(); t != nil {
		return *t
	}
	return Traffic{}
}

// reportTraffic tells the leader the traffic with the next frame, a heartbeat at the latest, if it has changed.
func (s *linkSession) reportTraffic(t Traffic) {
	if !s.reported.differs(t) {
		return
	}
	s.reported = t
	s.link.QueueLazily(func(f *Frame) { f.Traffic = &t })
}

// hostLimits tells the leader what this host offers to callers beside its processor; nil when nothing is known.
func (n *Node) hostLimits() *HostLimits {
	h := HostLimits{LinkBytesPerSecond: int64(n.o.LinkBytesPerSecond), Connections: n.o.CallerConnections}
	if h == (HostLimits{}) {
		return nil
	}
	return &h
}

// hostCapacity returns what a host with a CPU share offers to callers. h may be nil.
func (h *HostLimits) hostCapacity(cores float64) hostCapacity {
	if h == nil {
		return hostCapacity{cores: cores}
	}
	return hostCapacity{cores: cores, bytesPerSecond: float64(h.LinkBytesPerSecond), connections: float64(h.Connections)}
}
