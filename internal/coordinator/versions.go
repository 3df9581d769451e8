package coordinator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/highwater"
)

// firstAnswerWait is how long an entry that reads the store at its start waits for what other entries know, before it uses a
// configuration with accounts. The query to the seeds takes no longer.
const firstAnswerWait = seedQueryTimeout + 20*time.Millisecond

// otherVersions is the newest version of the configuration that other entries have told. The store may be behind it.
type otherVersions struct {
	newest highwater.Mark
	asked  chan struct{} // closed when the first entries have been asked
	once   sync.Once
}

func (o *otherVersions) markAsked() { o.once.Do(func() { close(o.asked) }) }

// queryVersion queries an entry for the leader and remembers the version of its configuration.
func (n *Node) queryVersion(ctx context.Context, address, lost string) (LeaderAnswer, error) {
	a, err := queryLeader(ctx, address, lost, n.o.Self.Peer)
	n.otherVersions.newest.Raise(a.Version)
	return a, err
}

// outdated reports whether the batches, read from the store, have an older configuration than other entries: the store may have been
// restored from a backup, and the older version may have keys that were removed since.
func (n *Node) outdated(ctx context.Context, batches []gateway.Batch) bool {
	c := configOf(batches...)
	if c == nil {
		return false
	}
	if len(c.Accounts) > 0 {
		timer := time.NewTimer(firstAnswerWait)
		defer timer.Stop()
		select {
		case <-n.otherVersions.asked:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	newest := n.otherVersions.newest.Load()
	if c.Version >= newest {
		return false
	}
	n.log.Warn().Str("dependency", "store").Uint64("version", c.Version).Uint64("newest", newest).Msg("the store has an older configuration than other entries; not used")
	return true
}

// configOf returns the configuration in the batches, or nil.
func configOf(batches ...gateway.Batch) *gateway.Config {
	for _, b := range batches {
		for _, u := range b.Updates {
			if b.Source == gateway.Operators && u.Config != nil {
				return u.Config
			}
		}
	}
	return nil
}

// returnDelayPerEntry is multiplied by the number of entries to get the time over which followers spread the return of a newer
// configuration, so that hundreds of them don't send it at once. The first one is enough, as the leader passes it on.
const returnDelayPerEntry = 2 * time.Millisecond

// compareVersions sends this entry's configuration to the leader if the leader's is older or missing, and is still so after a random
// delay.
func (c *leaderConnection) compareVersions(b gateway.Batch) {
	theirs := configOf(b)
	if theirs != nil {
		c.version.Store(theirs.Version)
	}
	n := c.node
	if theirs == nil && !b.Snapshot || b.Source != gateway.Operators || !c.behind() {
		return
	}
	n.mu.Lock()
	entries := len(n.view.Entries)
	n.mu.Unlock()
	delay := rand.N(returnDelayPerEntry * time.Duration(entries+1)) //nolint:gosec // spreads load
	time.AfterFunc(delay, func() {
		if c.behind() {
			newer := configBatch(n.Config())
			c.link.Queue(func(f *Frame) { f.Batches = append(f.Batches, newer) })
		}
	})
}

// behind reports whether the leader's configuration is older than that of this entry, or missing.
func (c *leaderConnection) behind() bool {
	own := c.node.Config()
	return own != nil && own.Version > c.version.Load()
}
