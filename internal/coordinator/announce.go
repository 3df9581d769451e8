package coordinator

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

// announceInterval is the minimum time between two writes of entry records. A new leader delays its first write by as much, so
// that the write covers most of its followers.
const announceInterval = time.Second

// announcer is the state of the writes of entry records, by which entries discover each other. The leader writes the records
// of all its followers in one call. It is used by the goroutine of runMaintenance only.
type announcer struct {
	nextTry   time.Time
	writeDone chan error // result of the write in progress; nil when there is none
}

// announce starts a write of the entry records that are missing or outdated in the store.
func (l *leadership) announce(ctx context.Context, now time.Time) {
	a := &l.announcer
	select {
	case err := <-a.writeDone:
		a.writeDone = nil
		if err != nil {
			l.log.Warn().Str("dependency", "store").Err(err).Msg("failed to write entry records")
		}
	default:
	}
	if a.writeDone != nil || now.Before(a.nextTry) || now.Sub(l.startedAt) < announceInterval {
		return
	}
	missing := l.unannounced()
	if len(missing) == 0 {
		return
	}
	a.nextTry = now.Add(announceInterval)
	writeDone := make(chan error, 1)
	a.writeDone = writeDone
	go func() {
		_, err := l.node.o.Store.Announce(ctx, missing...)
		writeDone <- err
	}()
}

// unannounced returns those of this entry and its followers whose records in the store are missing or outdated.
func (l *leadership) unannounced() []gateway.Entry {
	entries := append(l.followerEntries(), l.node.o.Self)
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.view.Synced[gateway.Entries] {
		return nil
	}
	var missing []gateway.Entry
	for _, e := range entries {
		if n.view.Entries[e.Name] != e || !n.view.Stored(gateway.Entries, e.Name) {
			missing = append(missing, e)
		}
	}
	return missing
}
