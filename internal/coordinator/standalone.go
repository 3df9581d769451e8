package coordinator

import (
	"context"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

const (
	// initialReadTimeout limits the store reads of an entry that has callers but no leader.
	initialReadTimeout = 250 * time.Millisecond
	// initialReadInterval is the pause between two such reads, because the store may have no records.
	initialReadInterval = 300 * time.Millisecond
)

// initialConfig lets requests wait for the first configuration.
type initialConfig struct {
	loaded chan struct{} // closed once a configuration is loaded

	mu       sync.Mutex
	readDone chan struct{} // closed at the end of the last read; nil before the first
	nextRead time.Time     // earliest start of the next read
}

// AwaitConfig returns the newest configuration. While none is known it reads the store, so that an entry can serve callers
// that arrive before it has a leader. It returns nil when the read fails or takes longer than limit.
func (n *Node) AwaitConfig(ctx context.Context, limit time.Duration) *gateway.Config {
	if c := n.config.Load(); c != nil {
		return c
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-n.initial.loaded:
	case <-n.startInitialRead(gateway.Statuses, gateway.Upstreams, gateway.Operators):
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.config.Load()
}

// upstreamsMaxAge is how long an entry without a leader uses upstream records before it reads them again. Requests must not reach
// an upstream later than 2 s after it announced that it leaves.
const upstreamsMaxAge = time.Second

// markUpstreamsFresh records that the upstream records are up to date.
func (n *Node) markUpstreamsFresh() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstreamsFreshAt = time.Now()
}

// nextLeaderWait is how long the requests of an entry that has lost its leader and has no upstream records wait for the next leader
// before the entry reads records from the store. An election takes less. Hundreds of entries that read at once cost more than a
// short wait of the few requests that reach entries which aren't advertised. With a limit on request bytes, requests with a body wait
// equally long for the next leader, and a new leader for the other entries.
const nextLeaderWait = 400 * time.Millisecond

// usableSession returns the session for a request. An entry without a leader that has no upstream records, or only old ones, waits
// for the next leader or reads records before. A follower has none if its address is not advertised to callers.
func (n *Node) usableSession(ctx context.Context) session {
	s := n.currentSession()
	if n.isStandalone(s) && n.needsUpstreams() {
		n.awaitLeader(ctx)
		s = n.currentSession()
	}
	if n.isStandalone(s) && n.needsUpstreams() {
		select {
		case <-n.startInitialRead(gateway.Upstreams):
		case <-ctx.Done():
		}
		s = n.currentSession()
	}
	return s
}

func (n *Node) isStandalone(s session) bool {
	local, ok := s.(*localSession)
	return ok && local.coordinator == n.standalone
}

// awaitLeader returns when this entry has a leader again, or nextLeaderWait after it lost one.
func (n *Node) awaitLeader(ctx context.Context) {
	n.mu.Lock()
	changed, left := n.sessionChanged, nextLeaderWait-time.Since(n.leaderlessSince)
	n.mu.Unlock()
	if left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (n *Node) needsUpstreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Config != nil && n.needsUpstreamsLocked()
}

// needsUpstreamsLocked is for callers that hold n.mu.
func (n *Node) needsUpstreamsLocked() bool {
	return len(n.view.Upstreams) == 0 || time.Since(n.upstreamsFreshAt) > upstreamsMaxAge
}

// startInitialRead starts a read of the sources, unless one is in progress or has ended within initialReadInterval. The returned
// channel is closed at the end of the latest read.
func (n *Node) startInitialRead(sources ...gateway.Source) <-chan struct{} {
	c := &n.initial
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readDone != nil && time.Now().Before(c.nextRead) {
		return c.readDone
	}
	c.nextRead = time.Now().Add(initialReadTimeout + initialReadInterval)
	ended := make(chan struct{})
	c.readDone = ended
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), initialReadTimeout)
		defer cancel()
		if batches := n.sampleSources(ctx, sources...); !n.replacedByLeader(ctx) && !n.outdated(ctx, batches) {
			n.applyInitial(batches)
		}
		c.mu.Lock()
		c.nextRead = time.Now().Add(initialReadInterval)
		c.mu.Unlock()
		close(ended)
	}()
	return ended
}

// sampleSources reads some of the newest records of each source in parallel. A sample of the upstreams is enough for the short
// time without a leader, and the operators' records and statuses are few. It returns nil if one of the sources can't be read.
func (n *Node) sampleSources(ctx context.Context, sources ...gateway.Source) []gateway.Batch {
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
			n.log.Warn().Str("dependency", "store").Str("source", sources[i].String()).Err(err).Msg("failed to read records")
			return nil
		}
	}
	return batches
}

// applyInitial applies the batches to the view, unless a leader has provided the records in the meantime. The configuration is
// activated last, because requests are placed from then on.
func (n *Node) applyInitial(batches []gateway.Batch) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(batches) == 0 || n.leader != nil || n.view.Config != nil && !n.needsUpstreamsLocked() {
		return
	}
	n.view.ForgetUpstreams() // a sample says nothing about the upstreams that it lacks
	for _, b := range batches {
		n.view.Apply(now, b, time.Time{})
	}
	n.upstreamsFreshAt = now
	if n.view.Config == nil {
		return
	}
	n.configurePools(now)
	n.log.Info().Str("event", "leadership").Int("upstreams", len(n.view.Upstreams)).Msg("placing requests without a leader, with records read from the store")
	if n.config.Load() != nil {
		return
	}
	for service, move := range n.view.Moves {
		n.applyMoveNotice(MoveNotice{Service: service, Version: move.Version, Phase: reportedPhase(n.view.Statuses[service], move)})
	}
	n.activateConfig(n.view.LogEnds[gateway.Operators] - 1)
}

// reportedPhase returns the phase of a move by its status. A move that is not known to have ended counts as on trial.
func reportedPhase(status gateway.MoveStatus, move gateway.Move) placement.MovePhase {
	switch {
	case status.Version != move.Version || status.State == gateway.MoveRunning:
		return placement.Trial
	case status.State == gateway.MoveCompleted:
		return placement.Done
	}
	return placement.RolledBack
}
