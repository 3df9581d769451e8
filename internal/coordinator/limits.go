package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// namedLimit is the limit that an upstream has named in its responses to this entry, or that another entry has told.
type namedLimit struct {
	perSecond float64
	at        time.Time // when it was learned last
}

// observeLimit records the limit in a response to this entry. The leader learns it from the end of the attempt; this entry keeps it
// for the time without a leader and for the next one.
func (n *Node) observeLimit(upstream string, started time.Time, o placement.Outcome, limit *float64) {
	now := time.Now()
	n.mu.Lock()
	previous, known := n.reports.limits[upstream]
	switch {
	case limit != nil:
		n.reports.limits[upstream] = namedLimit{perSecond: *limit, at: now}
	case known && placement.LiftsLimit(o, started, previous.at):
		delete(n.reports.limits, upstream)
	default:
		n.mu.Unlock()
		return
	}
	n.mu.Unlock()
	n.standalone.SetLimit(now, upstream, limit)
	switch {
	case limit == nil:
		n.log.Info().Str("event", "limit").Str("upstream", upstream).Bool("named", false).Msg("belief changed")
	case !known || previous.perSecond != *limit:
		n.log.Info().Str("event", "limit").Str("upstream", upstream).Bool("named", true).Float64("per_second", *limit).Msg("belief changed")
	}
}

// adoptLimits records the limits that another entry has learned, unless this one knows some for the same upstreams.
func (n *Node) adoptLimits(limits []UpstreamLimit) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range limits {
		if _, known := n.reports.limits[l.Upstream]; known {
			continue
		}
		n.reports.limits[l.Upstream] = namedLimit{perSecond: l.PerSecond, at: now}
		n.standalone.SetLimit(now, l.Upstream, &l.PerSecond)
		if n.leader != nil {
			n.leader.coordinator.SetLimit(now, l.Upstream, &l.PerSecond)
		}
	}
}

// upstreamLimits returns the limits that this entry knows, for a new leader.
func (n *Node) upstreamLimits() []UpstreamLimit {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]UpstreamLimit, 0, len(n.reports.limits))
	for id, l := range n.reports.limits {
		out = append(out, UpstreamLimit{Upstream: id, PerSecond: l.perSecond})
	}
	return out
}
