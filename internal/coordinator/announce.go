package coordinator

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

// announcePause lies between two writes of entries' records. The first write waits as long, so that it holds most of the
// followers of a new leader.
const announcePause = time.Second

// announcer writes the records by which entries find each other. The leader writes those of all its followers in one call.
// It belongs to the goroutine of tickSlowly.
type announcer struct {
	nextTry time.Time
	ended   chan error // result of the write that goes on
}

// announce writes the records that the store lacks.
func (l *leadership) announce(ctx context.Context, now time.Time) {
	a := &l.announcer
	select {
	case err := <-a.ended:
		a.ended = nil
		if err != nil {
			l.log.Warn().Str("dependency", "store").Err(err).Msg("entry records not written")
		}
	default:
	}
	if a.ended != nil || now.Before(a.nextTry) || now.Sub(l.since) < announcePause {
		return
	}
	missing := l.unannounced()
	if len(missing) == 0 {
		return
	}
	a.nextTry = now.Add(announcePause)
	ended := make(chan error, 1)
	a.ended = ended
	go func() { ended <- l.node.o.Store.Announce(ctx, missing...) }()
}

// unannounced returns this entry and its followers, as far as their records in the store are missing or differ.
func (l *leadership) unannounced() []gateway.Entry {
	entries := append(l.followerEntries(), l.node.o.Self)
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.world.Known[gateway.Entries] {
		return nil
	}
	var missing []gateway.Entry
	for _, e := range entries {
		if n.world.Entries[e.Name] != e {
			missing = append(missing, e)
		}
	}
	return missing
}
