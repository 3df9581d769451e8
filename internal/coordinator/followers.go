package coordinator

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/probeplan"
)

// follower is the leader's side of a link to a follower.
type follower struct {
	link  *Link
	entry gateway.Entry
	hello *Hello
	// hasUpstreams is set when the follower receives upstream records, with which it places requests if the leader is lost.
	// Only followers that are advertised to callers need them: with hundreds of entries and thousands of upstreams, sending
	// snapshots to all would saturate the leader's network link.
	hasUpstreams bool

	traffic  Traffic  // as last reported; guarded by leadership.mu
	shortage shortage // guarded by leadership.publishing
	demand   Demand   // last one that was sent to it; guarded by leadership.publishing

	clusterInfo      *ClusterInfo // last one that was sent to it; guarded by leadership.publishing
	keepsClusterInfo atomic.Bool  // see Hello

	proberID     probeplan.FollowerID // set with the first Hello
	probeResults []delegatedResult    // buffer of delegation.handleReports

	activity  activity
	lastFrame atomic.Int64 // time of the last frame, as nanoseconds since the leadership started
}

// heartbeatInterval returns the longest pause between two frames to the follower.
func (f *follower) heartbeatInterval() time.Duration {
	f.activity.mu.Lock()
	defer f.activity.mu.Unlock()
	if time.Since(f.activity.last) < activePeriod {
		return activeHeartbeat
	}
	return idleHeartbeat
}

// Deliver implements Client.
func (f *follower) Deliver(grants []placement.Grant, refusals []placement.Refusal) {
	f.link.Queue(func(frame *Frame) {
		frame.Grants = append(frame.Grants, grants...)
		frame.Refusals = append(frame.Refusals, refusals...)
	})
}

func (l *leadership) receivesUpstreams(f *follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.hasUpstreams
}

// isAdvertised reports whether the address of the follower is advertised to callers.
func (l *leadership) isAdvertised(f *follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.advertises(f)
}

// advertises does the work of isAdvertised. The caller holds l.mu.
func (l *leadership) advertises(f *follower) bool {
	return slices.Contains(l.advertised[f.entry.DataCentre], f.entry.Callers)
}

// sendUpstreams sends a snapshot of the upstream records to a follower that lacks them, and enables updates from then on.
func (l *leadership) sendUpstreams(now time.Time, f *follower) {
	l.mu.Lock()
	hasUpstreams := f.hasUpstreams
	f.hasUpstreams = true
	l.mu.Unlock()
	if hasUpstreams {
		return
	}
	l.node.mu.Lock()
	batch := l.node.view.SnapshotOf(now, gateway.Upstreams)
	l.node.mu.Unlock()
	l.sendBatches(f, &packedBatch{batch: batch})
}

// sendBatches queues batches for a follower. Batches reach a follower in the order of the calls.
func (l *leadership) sendBatches(f *follower, batches ...*packedBatch) {
	if !l.acceptsPacked(f) {
		f.link.Queue(func(frame *Frame) {
			for _, p := range batches {
				frame.Batches = append(frame.Batches, p.batch)
			}
		})
		return
	}
	var items []scheduled
	for _, p := range batches {
		data, err := p.pack()
		if err != nil {
			l.log.Error().Str("entry", f.entry.Name).Err(err).Msg("failed to pack a batch")
			f.link.Close()
			return
		}
		items = append(items, scheduled{batch: data, at: l.pacer.reserve(time.Now(), len(data))})
	}
	f.link.QueuePacked(items...)
}

// sendMoves queues notices for a follower, after the batches that were queued before.
func (l *leadership) sendMoves(f *follower, notices ...MoveNotice) {
	if !l.acceptsPacked(f) {
		f.link.Queue(func(frame *Frame) { frame.Moves = append(frame.Moves, notices...) })
		return
	}
	f.link.QueuePacked(scheduled{moves: notices})
}

func (l *leadership) acceptsPacked(f *follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.hello != nil && f.hello.AcceptsPacked
}

// snapshotCache keeps the snapshots that a joining follower receives, because many followers join at once after a start.
type snapshotCache struct {
	mu        sync.Mutex
	at        time.Time
	snapshots []*packedBatch
}

// snapshotMaxAge limits the age of a cached snapshot, since it tells how old the orders of moves are.
const snapshotMaxAge = 250 * time.Millisecond

// get returns the cached snapshots, or new ones.
func (c *snapshotCache) get(now time.Time, take func() []*packedBatch) []*packedBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshots == nil || now.Sub(c.at) > snapshotMaxAge {
		c.snapshots, c.at = take(), now
	}
	return c.snapshots
}

func (c *snapshotCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots = nil
}

// takeSnapshots returns the records that every follower needs.
func (l *leadership) takeSnapshots(now time.Time) []*packedBatch {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	var batches []*packedBatch
	for _, source := range []gateway.Source{gateway.Operators, gateway.Statuses, gateway.Entries} {
		batches = append(batches, &packedBatch{batch: l.node.view.SnapshotOf(now, source)})
	}
	return batches
}

// successorCount is the number of top-ranked followers that receive upstream records even if they are not advertised to callers.
const successorCount = 3

// sendUpstreamsToSuccessors sends upstream records to the followers that would be elected next.
func (l *leadership) sendUpstreamsToSuccessors(now time.Time) {
	followers := l.currentFollowers()
	l.mu.Lock()
	slices.SortFunc(followers, func(a, b *follower) int { return compareRank(a.entry, b.entry) })
	l.mu.Unlock()
	for _, f := range followers[:min(successorCount, len(followers))] {
		l.sendUpstreams(now, f)
	}
}

func (l *leadership) currentFollowers() []*follower {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*follower, 0, len(l.followers))
	for f := range l.followers {
		out = append(out, f)
	}
	return out
}

// followersByNeed returns the followers, those that are advertised to callers first.
func (l *leadership) followersByNeed() []*follower {
	l.mu.Lock()
	defer l.mu.Unlock()
	var advertised, others []*follower
	for f := range l.followers {
		if l.advertises(f) {
			advertised = append(advertised, f)
		} else {
			others = append(others, f)
		}
	}
	return append(advertised, others...)
}

func (l *leadership) followerEntries() []gateway.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]gateway.Entry, 0, len(l.followers))
	for f := range l.followers {
		out = append(out, f.entry)
	}
	return out
}

// staying returns the entries of the followers that aren't shutting down. The caller holds l.mu.
func (l *leadership) staying() []gateway.Entry {
	out := make([]gateway.Entry, 0, len(l.followers))
	for f := range l.followers {
		if !f.hello.Leaving {
			out = append(out, f.entry)
		}
	}
	return out
}

func (l *leadership) peerAddresses() []string {
	out := peersOf(l.followerEntries())
	slices.Sort(out)
	return out
}

// majorityTimeout is the time since the last frame up to which a follower counts towards the majority. It is below twice the
// time in which followers give up a leader, so at most two leaders count the same follower. spec/leader.pml checks the
// consequences.
const majorityTimeout = 800 * time.Millisecond

// countRecentFollowers returns the number of followers that count towards the majority.
func (l *leadership) countRecentFollowers(now time.Time) int {
	count := 0
	for _, f := range l.currentFollowers() {
		if now.Sub(l.startedAt)-time.Duration(f.lastFrame.Load()) <= majorityTimeout {
			count++
		}
	}
	return count
}

// acceptLink handles the request of a follower for a link.
func (n *Node) acceptLink(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	l := n.leader
	n.mu.Unlock()
	if l == nil {
		http.Error(w, "this entry does not lead", http.StatusConflict)
		return
	}
	link, err := AcceptLink(w, r)
	if err != nil {
		n.log.Warn().Err(err).Msg("failed to accept a link")
		return
	}
	link.work = &n.work
	l.serve(r.Context(), link)
}

// serve runs the link to a follower until it fails.
func (l *leadership) serve(ctx context.Context, link *Link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &follower{link: link}
	go func() {
		if err := link.Write(ctx, f.heartbeatInterval); err != nil {
			link.fail(err)
		}
	}()
	err := link.Read(ctx, func() time.Duration { return followerTimeout }, func(frame *Frame) { l.handle(f, frame) })
	link.fail(err)
	l.mu.Lock()
	delete(l.followers, f)
	l.mu.Unlock()
	l.delegation.removeFollower(time.Now(), f)
	l.coordinator.RemoveClient(time.Now(), f)
	l.clusterChanged(time.Now())
	l.log.Info().Str("event", "follower").Str("entry", f.entry.Name).Err(err).Msg("follower left")
}

// handle processes a frame from a follower.
func (l *leadership) handle(f *follower, frame *Frame) {
	now := time.Now()
	f.lastFrame.Store(int64(now.Sub(l.startedAt)))
	if frame.Hello != nil {
		l.handleHello(now, f, frame.Hello)
	}
	if frame.Traffic != nil {
		l.mu.Lock()
		f.traffic = *frame.Traffic
		l.mu.Unlock()
	}
	l.node.learnEpoch(frame.StoreEpoch)
	l.adopt(frame.Batches)
	if frame.Usage != nil {
		l.node.usage.fromFollower(f, frame.Usage)
	}
	if len(frame.LeavingUpstreams) > 0 {
		l.node.markLeaving(frame.LeavingUpstreams...)
	}
	l.delegation.handleReports(now, f, frame.ProbeReports)
	if len(frame.Ends) > 0 {
		l.coordinator.Finish(now, f, frame.Ends...)
	}
	if len(frame.Asks) > 0 {
		f.activity.record(now)
		if l.isAdvertised(f) {
			l.sendUpstreams(now, f) // before the grants, so that the follower can go on if this leader is lost right after them
		}
		l.coordinator.Submit(now, f, frame.Asks...)
	}
	if len(frame.Cancels) > 0 {
		l.coordinator.Cancel(f, frame.Cancels...)
	}
}

// handleHello registers a follower and adopts the running attempts. For the first Hello of a link it also sends the records.
func (l *leadership) handleHello(now time.Time, f *follower, h *Hello) {
	first := f.hello == nil
	l.mu.Lock()
	f.hello, f.entry = h, h.Entry
	if l.stopping {
		l.mu.Unlock()
		f.link.Close()
		return
	}
	l.followers[f] = struct{}{}
	l.mu.Unlock()
	f.keepsClusterInfo.Store(h.KeepsClusterInfo)
	l.delegation.setFollower(now, f, h)
	if first {
		l.node.adoptLimits(h.Limits)
		l.node.markLeaving(h.LeavingUpstreams...)
		l.coordinator.AdoptHistories(now, h.Histories)
	}
	l.coordinator.Adopt(now, f, h.Running)
	l.clusterChanged(now) // before the records, because the follower joins with its first batch
	if first {
		l.sendState(now, f)
		l.log.Info().Str("event", "follower").Str("entry", h.Entry.Name).Int("running", len(h.Running)).Msg("follower joined")
	}
}

// sendState sends a joining follower the cluster information, the records and the phases of moves.
func (l *leadership) sendState(now time.Time, f *follower) {
	l.publishing.Lock()
	l.sendClusterInfo(f)
	l.publishing.Unlock()
	l.sendBatches(f, l.snapshots.get(now, func() []*packedBatch { return l.takeSnapshots(now) })...)
	l.sendMoves(f, l.moves.notices()...)
}
