package coordinator

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/placement"
)

const (
	// historyInterval is the time between two messages of a leader with its history.
	historyInterval = 200 * time.Millisecond
	// crashShareInterval is the shortest time between two messages that crashes cause.
	crashShareInterval = 10 * time.Millisecond
)

// knownHistory is the history of a service as this entry knows it.
type knownHistory struct {
	ServiceHistory
	at time.Time
}

// empty reports whether there is nothing to know.
func (h *ServiceHistory) empty() bool { return len(h.Crashes) == 0 && h.Budget.IsZero() }

// Histories returns what the next leader must know of the services, ordered by name.
func (c *Coordinator) Histories(now time.Time) []ServiceHistory {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ServiceHistory
	for name, pool := range c.pools {
		out = append(out, ServiceHistory{Service: name, Crashes: pool.Crashes(now), Budget: pool.BudgetUse(now)})
	}
	slices.SortFunc(out, func(a, b ServiceHistory) int { return strings.Compare(a.Service, b.Service) })
	return out
}

// AdoptHistories adds the histories of another leader to the pools of this one.
func (c *Coordinator) AdoptHistories(now time.Time, histories []ServiceHistory) {
	for _, h := range histories {
		c.WithPool(h.Service, func(pool *placement.Pool) {
			pool.AdoptCrashes(now, h.Crashes)
			pool.AdoptBudgetUse(now, h.Budget)
		})
	}
}

// FollowHistories takes over the crash histories of the leader, for the time without one. The retry budget of that time is one of its
// own.
func (c *Coordinator) FollowHistories(now time.Time, histories []ServiceHistory) {
	for _, h := range histories {
		c.WithPool(h.Service, func(pool *placement.Pool) { pool.ReplaceCrashes(now, h.Crashes) })
	}
}

// learnHistories keeps the histories that the leader has sent, for the time without a leader and for the next one.
func (n *Node) learnHistories(histories []ServiceHistory) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range histories {
		n.histories[h.Service] = knownHistory{h, now}
	}
	n.standalone.FollowHistories(now, histories)
}

// knownHistories returns the histories with their ages as of now. The caller holds n.mu.
func (n *Node) knownHistories(now time.Time) []ServiceHistory {
	out := make([]ServiceHistory, 0, len(n.histories))
	for _, known := range n.histories {
		h, age := known.ServiceHistory, now.Sub(known.at)
		h.Budget = h.Budget.Aged(age, n.o.Limits.RetryWindow)
		h.Crashes = slices.Clone(h.Crashes)
		for i := range h.Crashes {
			h.Crashes[i].Age += age
		}
		out = append(out, h)
	}
	return out
}

// currentHistories returns the histories for a new leader.
func (n *Node) currentHistories() []ServiceHistory {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.knownHistories(time.Now())
}

// historySender serialises the messages with histories.
type historySender struct {
	mu        sync.Mutex
	sentEmpty bool // the followers were told that there is no history
}

// sendHistories sends the histories to the followers that would be elected next, and keeps them for the time after this leadership. It
// sends nothing while there is nothing to know, except once to replace earlier histories.
func (l *leadership) sendHistories(now time.Time) {
	l.histories.mu.Lock()
	defer l.histories.mu.Unlock()
	histories := l.coordinator.Histories(now)
	empty := !slices.ContainsFunc(histories, func(h ServiceHistory) bool { return !h.empty() })
	if empty && l.histories.sentEmpty {
		return
	}
	l.histories.sentEmpty = empty
	l.node.learnHistories(histories)
	for _, f := range l.currentFollowers() {
		if l.receivesUpstreams(f) {
			f.link.Queue(func(frame *Frame) { frame.Histories = histories })
		}
	}
}

// shareCrashes sends the histories as soon as a request has crashed an upstream, until ctx ends. Without this, if the leader
// ended before its next periodic message, its successor would let the request crash further upstreams.
func (l *leadership) shareCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.coordinator.crashesChanged:
			l.sendHistories(time.Now())
			pause.For(ctx, crashShareInterval)
		}
	}
}
