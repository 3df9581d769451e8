package coordinator

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// announcePause lies between two writes of entries' records. The first write waits as long, so that it holds most of the
	// followers of a new leader.
	announcePause = time.Second
	// largerHost is the processor share of a follower, relative to the leader's, from which on the leader gives way to it.
	largerHost = 1.5
)

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

// largerFollower returns a follower on a much larger host, which should lead instead.
func (l *leadership) largerFollower(now time.Time) (gateway.Entry, bool) {
	if now.Sub(l.since) < newLeaderTime {
		return gateway.Entry{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.followers {
		if !f.hello.Leaving && f.entry.CPUShare >= largerHost*l.node.o.Self.CPUShare && l.node.o.Self.CPUShare > 0 {
			return f.entry, true
		}
	}
	return gateway.Entry{}, false
}
