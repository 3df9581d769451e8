package coordinator

import (
	"context"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// firstReadTimeout bounds the reads of an entry that has callers before it has a leader.
const firstReadTimeout = 250 * time.Millisecond

// firstConfig lets requests wait for the first configuration.
type firstConfig struct {
	known chan struct{} // closed once a configuration is known

	mu      sync.Mutex
	reading chan struct{} // closed at the end of the read that goes on; nil without one
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
	case <-n.readFirst():
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.config.Load()
}

// readFirst starts a read of the store unless one goes on, and returns a channel that is closed at its end.
func (n *Node) readFirst() <-chan struct{} {
	f := &n.first
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reading != nil {
		return f.reading
	}
	ended := make(chan struct{})
	f.reading = ended
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), firstReadTimeout)
		defer cancel()
		n.takeFirst(n.readAll(ctx, gateway.Statuses, gateway.Upstreams, gateway.Operators))
		f.mu.Lock()
		f.reading = nil
		f.mu.Unlock()
		close(ended)
	}()
	return ended
}

// readAll reads the newest records of all sources at once. It returns nothing when one of them can't be read.
func (n *Node) readAll(ctx context.Context, sources ...gateway.Source) []gateway.Batch {
	batches, failures := make([]gateway.Batch, len(sources)), make([]error, len(sources))
	var wg sync.WaitGroup
	for i, source := range sources {
		wg.Go(func() {
			var findings []error
			batches[i], findings, failures[i] = n.o.Store.Newest(ctx, source)
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
	if len(batches) == 0 || n.world.Config != nil {
		return
	}
	for _, b := range batches {
		n.world.Apply(now, b, false)
	}
	if n.world.Config == nil {
		return
	}
	n.configurePools(now)
	for service, move := range n.world.Moves {
		n.noteMove(MoveNotice{Service: service, Version: move.Version, Phase: reportedPhase(n.world.Statuses[service], move)})
	}
	n.enforceConfig(n.world.Ends[gateway.Operators] - 1)
	n.log.Info().Str("event", "leadership").Int("upstreams", len(n.world.Upstreams)).Msg("places alone from the store's records")
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
