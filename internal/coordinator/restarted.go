package coordinator

import (
	"context"
	"slices"
	"time"
)

const (
	// restoredStoreWait is how long after its start an entry waits for others before it leads or places requests with what a restored
	// store holds. An entry that has become leader in the meantime queries it each newLeaderRivalInterval; a query on a busy host may
	// take rivalTimeout. With no wait, one request in some restarts reached an evacuated data centre.
	restoredStoreWait = newLeaderRivalInterval + rivalTimeout + 100*time.Millisecond
	// maxAskers limits the addresses that are remembered of entries that have queried this one.
	maxAskers = 4
)

// startsFromRestore reports whether this entry has just started and the store was restored from a backup at some time. What it reads there
// may lack orders that other entries know, so these precede it in an election. The caller holds n.mu.
func (n *Node) startsFromRestore() bool { return n.view.Config == nil && n.storeEpoch.Load() > 1 }

// restoredStoreWaitLeft returns how much longer this entry must not use what it reads from a restored store; 0 if it may.
func (n *Node) restoredStoreWaitLeft() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.startsFromRestore() {
		return 0
	}
	return max(0, restoredStoreWait-time.Since(n.started))
}

// awaitsOthers reports whether this entry doesn't lead yet, because no other entry has answered that may know more than a restored store.
func (n *Node) awaitsOthers() bool {
	left := n.restoredStoreWaitLeft()
	if left > 0 {
		n.waitLogged.Do(func() {
			n.log.Info().Str("event", "restore").Dur("wait", left).Msg("the store was restored and no other entry answers; waiting to be contacted")
		})
	}
	return left > 0
}

// replacedByLeader waits until records read from a restored store may be used, and reports whether they must not be, because a leader
// has provided newer ones or the time of the read is over.
func (n *Node) replacedByLeader(ctx context.Context) bool {
	left := n.restoredStoreWaitLeft()
	if left == 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return false
	case <-n.initial.loaded:
	case <-ctx.Done():
	}
	return true
}

// rememberAsker remembers the peer address of an entry that has queried this one. An entry whose store has lost the records of the others
// finds them in this way.
func (n *Node) rememberAsker(address string) {
	if address == "" || address == n.o.Self.Peer {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.askers = slices.DeleteFunc(n.askers, func(a string) bool { return a == address })
	n.askers = append(n.askers[max(0, len(n.askers)-maxAskers+1):], address)
}
