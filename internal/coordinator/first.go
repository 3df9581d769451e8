package coordinator

import (
	"context"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

const (
	// firstReadTimeout bounds the reads of an entry that has callers but no leader.
	firstReadTimeout = 250 * time.Millisecond
	// firstReadPause lies between two such reads, as the store may have nothing to tell.
	firstReadPause = 300 * time.Millisecond
)

// firstConfig lets requests wait for the first configuration.
type firstConfig struct {
	known chan struct{} // closed once a configuration is known

	mu      sync.Mutex
	reading chan struct{} // closed at the end of the last read; nil before the first
	next    time.Time     // no read begins before
}

// AwaitConfig returns the newest configuration. While none is known it reads the store, so that an entry whose callers come
// before it has a leader places their requests by itself. It returns nil when that fails, or takes longer than limit.
func (n *Node) AwaitConfig(ctx context.Context, limit time.Duration) *gateway.Config {
	if c := n.config.Load(); c != nil {
		return c
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-n.first.known:
	case <-n.readFirst(gateway.Statuses, gateway.Upstreams, gateway.Operators):
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.config.Load()
}

// upstreamsFresh is how long an entry without a leader uses upstreams without looking for those that leave. Requests must not reach
// one 2 s after it has said so.
const upstreamsFresh = time.Second

// noteFresh notes that the upstreams are up to date.
func (n *Node) noteFresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.freshAt = time.Now()
}

// awaitUpstreams reads some upstreams for an entry that has lost its leader, when it was not told of them, as callers are usually
// not sent to it, or for some time.
func (n *Node) awaitUpstreams(ctx context.Context, s session) {
	local, ok := s.(*localSession)
	if !ok || local.coordinator != n.alone || !n.needsUpstreams() {
		return
	}
	select {
	case <-n.readFirst(gateway.Upstreams):
	case <-ctx.Done():
	}
}

func (n *Node) needsUpstreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.world.Config != nil && n.needsUpstreamsLocked()
}

// needsUpstreamsLocked is for callers that hold n.mu.
func (n *Node) needsUpstreamsLocked() bool {
	return len(n.world.Upstreams) == 0 || time.Since(n.freshAt) > upstreamsFresh
}

// readFirst starts a read of the sources, unless one goes on or has just ended, and returns a channel that is closed at the
// end of the last read.
func (n *Node) readFirst(sources ...gateway.Source) <-chan struct{} {
	f := &n.first
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading != nil && time.Now().Before(f.next) {
		return f.reading
	}
	f.next = time.Now().Add(firstReadTimeout + firstReadPause)
	ended := make(chan struct{})
	f.reading = ended
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), firstReadTimeout)
		defer cancel()
		n.takeFirst(n.readFew(ctx, sources...))
		f.mu.Lock()
		f.next = time.Now().Add(firstReadPause)
		f.mu.Unlock()
		close(ended)
	}()
	return ended
}

// readFew reads some of the newest records of all sources at once: some upstreams are enough for the short time without a
// leader, and orders and statuses are few. It returns nothing when one of the sources can't be read.
func (n *Node) readFew(ctx context.Context, sources ...gateway.Source) []gateway.Batch {
	batches, failures := make([]gateway.Batch, len(sources)), make([]error, len(sources))
	var wg sync.WaitGroup
	for i, source := range sources {
		wg.Go(func() {
			var findings []error
			batches[i], findings, failures[i] = n.o.Store.Sample(ctx, source)
			for _, f := range findings {
				n.log.Warn().Str("source", source.String()).Err(f).Msg("record ignored")
			}
		})
	}
	wg.Wait()
	for i, err := range failures {
		if err != nil {
			n.log.Warn().Str("dependency", "store").Str("source", sources[i].String()).Err(err).Msg("records not read")
			return nil
		}
	}
	return batches
}

// takeFirst folds what was read, unless a leader has told it meanwhile. The configuration comes into force last, because
// requests are placed from then on.
func (n *Node) takeFirst(batches []gateway.Batch) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(batches) == 0 || n.leader != nil || n.world.Config != nil && !n.needsUpstreamsLocked() {
		return
	}
	n.world.ForgetUpstreams() // the records may be some of all, and then tell nothing of the others
	for _, b := range batches {
		n.world.Apply(now, b, time.Time{})
	}
	n.freshAt = now
	if n.world.Config == nil {
		return
	}
	n.configurePools(now)
	n.log.Info().Str("event", "leadership").Int("upstreams", len(n.world.Upstreams)).Msg("places alone from the store's records")
	if n.config.Load() != nil {
		return
	}
	for service, move := range n.world.Moves {
		n.noteMove(MoveNotice{Service: service, Version: move.Version, Phase: reportedPhase(n.world.Statuses[service], move)})
	}
	n.enforceConfig(n.world.Ends[gateway.Operators] - 1)
}

// reportedPhase is where a move stands by its status. One that is not known to have ended may still be judged.
func reportedPhase(status gateway.MoveStatus, move gateway.Move) placement.MovePhase {
	switch {
	case status.Version != move.Version || status.State == gateway.MoveRunning:
		return placement.Trial
	case status.State == gateway.MoveCompleted:
		return placement.Done
	}
	return placement.RolledBack
}
