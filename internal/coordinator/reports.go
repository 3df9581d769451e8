package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// reports holds what upstreams have told about themselves in responses to this entry, or to others that passed it on. It is kept
// across changes of the leader. Node.mu guards it.
type reports struct {
	limits  map[string]namedLimit     // by upstream
	leaving map[string]leavingProcess // by upstream
	// pauses holds the ends of the pauses that upstreams have asked this entry for. Other entries may go on.
	pauses map[string]time.Time // by upstream
}

func newReports() reports {
	return reports{limits: map[string]namedLimit{}, leaving: map[string]leavingProcess{}, pauses: map[string]time.Time{}}
}

// leavingProcess is the process of an upstream that has told that it leaves.
type leavingProcess struct {
	born int64 // see gateway.Upstream; 0 when unknown
	at   time.Time
}

// isLeaving reports whether the process of an upstream that started at born has told that it leaves.
func (r *reports) isLeaving(upstream string, born int64) bool {
	l, told := r.leaving[upstream]
	return told && (l.born == 0 || born == 0 || l.born == born)
}

// leavingMemory is how long an upstream without a record is remembered as leaving. It has ended by then.
const leavingMemory = 10 * time.Minute

// forget drops what no longer matters: the limits of upstreams that are gone, and the leaving of processes that were replaced or must
// have ended. It does nothing while the records of the upstreams are not known.
func (r *reports) forget(now time.Time, v *gateway.View) {
	if len(v.Upstreams) == 0 {
		return
	}
	for id := range r.limits {
		_, live := v.Upstreams[id]
		if _, tombstone := v.Tombstones[id]; !live && !tombstone {
			delete(r.limits, id)
		}
	}
	for id, l := range r.leaving {
		u, known := v.Upstreams[id]
		if known && !r.isLeaving(id, u.Born) || !known && now.Sub(l.at) > leavingMemory {
			delete(r.leaving, id)
		}
	}
}

// recordDraining remembers the processes that leave according to their records, for the next leader and for the time in which this entry
// has no records: those in a restored store may be older.
func (r *reports) recordDraining(now time.Time, v *gateway.View, changed []gateway.Update) {
	for _, change := range changed {
		if change.Up == nil {
			continue
		}
		// Without the start of the process, a new one under the same ID would count as leaving.
		if u := v.Upstreams[change.Up.ID]; u.Draining && u.Born != 0 && !r.isLeaving(u.ID, u.Born) {
			r.leaving[u.ID] = leavingProcess{born: u.Born, at: now}
		}
	}
}

// observeReport records what an upstream told in the response to an attempt of this entry.
func (n *Node) observeReport(g placement.Grant, started time.Time, o placement.Outcome, r *placement.Report) {
	n.observeLimit(g.Upstream, started, o, r.Limit)
	if r.Leaving {
		n.markLeaving(LeavingUpstream{Upstream: g.Upstream, Born: g.Born})
	}
	if r.RetryAfter > 0 {
		n.pauseUpstream(g.Upstream, r.RetryAfter)
	}
}

// pauseUpstream sends no requests to an upstream for some time, as it has asked.
func (n *Node) pauseUpstream(upstream string, d time.Duration) {
	until := time.Now().Add(d)
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.reports.pauses[upstream]) {
		n.reports.pauses[upstream] = until
	}
}

// pausedUpstreams returns the upstreams that have asked this entry for a pause, and when the first pause ends.
func (n *Node) pausedUpstreams(now time.Time) (paused []string, firstEnd time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, until := range n.reports.pauses {
		if !now.Before(until) {
			delete(n.reports.pauses, id)
			continue
		}
		paused = append(paused, id)
		if firstEnd.IsZero() || until.Before(firstEnd) {
			firstEnd = until
		}
	}
	return paused, firstEnd
}

// markLeaving records that upstreams leave, closes them in the pools and tells the leader. The records in the store may tell it later or
// never.
func (n *Node) markLeaving(upstreams ...LeavingUpstream) {
	now := time.Now()
	n.mu.Lock()
	var marked []LeavingUpstream
	for _, u := range upstreams {
		if n.reports.isLeaving(u.Upstream, u.Born) {
			continue
		}
		n.reports.leaving[u.Upstream] = leavingProcess{born: u.Born, at: now}
		marked = append(marked, u)
	}
	if len(marked) > 0 {
		n.configurePools(now)
	}
	s := n.session
	n.mu.Unlock()
	if len(marked) == 0 {
		return
	}
	for _, u := range marked {
		n.log.Info().Str("event", "leaving").Str("upstream", u.Upstream).Int64("born", u.Born).Msg("belief changed")
	}
	if link, ok := s.(*linkSession); ok {
		link.link.Queue(func(f *Frame) { f.LeavingUpstreams = append(f.LeavingUpstreams, marked...) })
	}
}

// leavingUpstreams returns the upstreams that have told that they leave, for a new leader.
func (n *Node) leavingUpstreams() []LeavingUpstream {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]LeavingUpstream, 0, len(n.reports.leaving))
	for id, l := range n.reports.leaving {
		out = append(out, LeavingUpstream{Upstream: id, Born: l.born})
	}
	return out
}

// avoids reports whether this entry must not use a grant, because the leader may not have learned yet what the upstream told this
// entry.
func (n *Node) avoids(g placement.Grant) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reports.isLeaving(g.Upstream, g.Born) || time.Now().Before(n.reports.pauses[g.Upstream])
}
