package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

// learnEpoch records an epoch of the store, from an answer of the store or from another entry. A leader reads all logs from the start
// in a new epoch; a follower tells its leader, which may not have heard from the store since.
func (n *Node) learnEpoch(epoch uint64) {
	known, raised := n.storeEpoch.Raise(epoch)
	if !raised {
		return
	}
	if known != 0 {
		n.log.Warn().Str("event", "restore").Uint64("epoch", epoch).Uint64("previous", known).Msg("learned of a new epoch of the store")
	}
	n.mu.Lock()
	s, l := n.session, n.leader
	n.mu.Unlock()
	if l != nil {
		l.feed.LearnEpoch(epoch)
	}
	if link, ok := s.(*linkSession); ok {
		link.link.Queue(func(f *Frame) { f.StoreEpoch = epoch })
	}
}

// expireCarried removes what was not found in the store within the grace period after a restore, and sends followers the sources
// that changed.
func (n *Node) expireCarried(now time.Time) {
	n.mu.Lock()
	sources := n.view.Expire(now)
	if len(sources) == 0 {
		n.mu.Unlock()
		return
	}
	n.configurePools(now)
	l := n.leader
	var batches []gateway.Batch
	if l != nil {
		for _, source := range sources {
			batches = append(batches, n.view.SnapshotOf(now, source))
		}
	}
	n.mu.Unlock()
	for _, source := range sources {
		n.log.Info().Str("event", "restore").Str("source", source.String()).Msg("records that the store has lost are dropped")
	}
	for _, b := range batches {
		l.forward(b)
	}
}

// missingInLeader returns what this entry knows and a snapshot of the leader's records lacks, in the order in which the leader must apply
// it: results of moves, which must not revert, and orders that the store has lost, when a leader that has just started has read a restored
// store. The snapshot must have been applied before. A newer configuration is returned by compareVersions.
func (n *Node) missingInLeader(b gateway.Batch) (missing []gateway.Batch) {
	if !b.Snapshot {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch b.Source {
	case gateway.Statuses:
		if results, found := n.view.ResultsMissingIn(b); found {
			missing = append(missing, results)
		}
	case gateway.Operators:
		orders, found := n.view.OrdersMissingIn(time.Now(), b)
		if !found {
			return nil
		}
		// The leader must not begin a move anew that has ended, so it gets the results before the orders.
		if results, found := n.view.ResultsMissingIn(gateway.Batch{}); found {
			missing = append(missing, results)
		}
		missing = append(missing, orders)
		n.o.Metrics.lostOrders.WithLabelValues("returned").Add(float64(len(orders.Updates)))
		n.log.Info().Str("event", "restore").Int("orders", len(orders.Updates)).Msg("the leader lacks orders that the store has lost; returning them")
	case gateway.Upstreams, gateway.Entries:
	}
	return missing
}

// configBatch returns a configuration as a record that no epoch of the store is known to hold.
func configBatch(c *gateway.Config) gateway.Batch {
	return gateway.Batch{Source: gateway.Operators, Updates: []gateway.Update{{Key: gateway.ConfigKey, Offset: -1, Config: c}}}
}

// adopt takes newer configurations, results of moves and orders that the store has lost over from a follower, and sends them to the others.
func (l *leadership) adopt(batches []gateway.Batch) {
	for _, b := range batches {
		adopted := gateway.Batch{Source: b.Source}
		for _, u := range b.Updates {
			if u.Offset < 0 && (u.Config != nil || u.Status != nil || u.IsOrder()) {
				adopted.Updates = append(adopted.Updates, u)
			}
		}
		if len(adopted.Updates) == 0 {
			continue
		}
		changed := l.node.apply(adopted, time.Time{})
		for _, u := range changed.Updates {
			if u.IsOrder() {
				l.node.o.Metrics.lostOrders.WithLabelValues("taken_over").Inc()
				l.log.Info().Str("event", "restore").Str("key", u.Key).Msg("the store has lost an order that a follower knows; keeping it for the grace period")
			}
		}
		if len(changed.Updates) > 0 {
			l.forward(changed)
		}
	}
}
