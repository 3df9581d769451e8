package coordinator

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

type follower struct {
	link  *Link
	entry gateway.Entry
	hello *Hello
	// informed says that the follower gets the records of upstreams, by which it places alone when the leader is lost. Only
	// those need them to whom callers are sent: with hundreds of entries and thousands of upstreams their snapshots would fill
	// the leader's link.
	informed bool

	activity activity
	heard    atomic.Int64 // time of the last frame, since the beginning of the leadership
}

// beat is the longest pause between two frames to the follower.
func (f *follower) beat() time.Duration {
	f.activity.mu.Lock()
	defer f.activity.mu.Unlock()
	if time.Since(f.activity.last) < activeTime {
		return beatInterval
	}
	return idleBeat
}

// Deliver implements Client.
func (f *follower) Deliver(grants []placement.Grant, refusals []placement.Refusal) {
	f.link.Queue(func(frame *Frame) {
		frame.Grants = append(frame.Grants, grants...)
		frame.Refusals = append(frame.Refusals, refusals...)
	})
}

func (l *leadership) isInformed(f *follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return f.informed
}

// isNamed reports whether callers are sent to the follower.
func (l *leadership) isNamed(f *follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.named[f.entry.DataCentre], f.entry.Callers)
}

// inform sends the records of upstreams to a follower that has begun to place requests, and the changes from then on.
func (l *leadership) inform(now time.Time, f *follower) {
	l.mu.Lock()
	informed := f.informed
	f.informed = true
	l.mu.Unlock()
	if informed {
		return
	}
	l.node.mu.Lock()
	batch := l.node.world.SnapshotOf(now, gateway.Upstreams)
	l.node.mu.Unlock()
	f.link.Queue(func(frame *Frame) { frame.Batches = append(frame.Batches, batch) })
}

// successors is the number of followers, the first in rank, that know the upstreams whether callers are sent to them or not.
const successors = 3

// informSuccessors sends the records of upstreams to the followers that would lead next.
func (l *leadership) informSuccessors(now time.Time) {
	followers := l.currentFollowers()
	l.mu.Lock()
	slices.SortFunc(followers, func(a, b *follower) int { return precedes(a.entry, b.entry) })
	l.mu.Unlock()
	for _, f := range followers[:min(successors, len(followers))] {
		l.inform(now, f)
	}
}

func (l *leadership) broadcast(change func(*Frame)) {
	for _, f := range l.currentFollowers() {
		f.link.Queue(change)
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

func (l *leadership) followerEntries() []gateway.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]gateway.Entry, 0, len(l.followers))
	for f := range l.followers {
		out = append(out, f.entry)
	}
	return out
}

// staying returns the entries of the followers that aren't about to stop. The caller holds l.mu.
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

// countedSilence is the silence up to which a follower counts for the majority. Below twice the time in which followers give a
// leader up, no more than two leaders count the same follower; spec/leader.pml checks what follows from that.
const countedSilence = 800 * time.Millisecond

// heardLately counts the followers that count for the majority.
func (l *leadership) heardLately(now time.Time) int {
	count := 0
	for _, f := range l.currentFollowers() {
		if now.Sub(l.since)-time.Duration(f.heard.Load()) <= countedSilence {
			count++
		}
	}
	return count
}

// acceptLink serves a follower.
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
		n.log.Warn().Err(err).Msg("link refused")
		return
	}
	l.serve(r.Context(), link)
}

func (l *leadership) serve(ctx context.Context, link *Link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &follower{link: link}
	go func() {
		if err := link.Write(ctx, f.beat); err != nil {
			link.fail(err)
		}
	}()
	err := link.Read(ctx, func() time.Duration { return followerSilence }, func(frame *Frame) { l.handle(f, frame) })
	link.fail(err)
	l.mu.Lock()
	delete(l.followers, f)
	l.mu.Unlock()
	l.coordinator.Leave(time.Now(), f)
	l.publishRoster(time.Now())
	l.log.Info().Str("event", "follower").Str("entry", f.entry.Name).Err(err).Msg("follower left")
}

// handle takes a frame of a follower.
func (l *leadership) handle(f *follower, frame *Frame) {
	now := time.Now()
	f.heard.Store(int64(now.Sub(l.since)))
	if frame.Hello != nil {
		l.welcome(now, f, frame.Hello)
	}
	if len(frame.Ends) > 0 {
		l.coordinator.Finish(now, f, frame.Ends...)
	}
	if len(frame.Asks) > 0 {
		f.activity.note(now)
		l.coordinator.Submit(now, f, frame.Asks...)
		if l.isNamed(f) {
			l.inform(now, f)
		}
	}
	if len(frame.Cancels) > 0 {
		l.coordinator.Cancel(f, frame.Cancels...)
	}
}

func (l *leadership) welcome(now time.Time, f *follower, h *Hello) {
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
	if first {
		l.coordinator.Adopt(now, f, h.Running)
		l.node.mu.Lock()
		var batches []gateway.Batch
		for _, source := range []gateway.Source{gateway.Operators, gateway.Statuses, gateway.Entries} {
			batches = append(batches, l.node.world.SnapshotOf(now, source))
		}
		l.node.mu.Unlock()
		f.link.Queue(func(frame *Frame) {
			frame.Batches = append(batches, frame.Batches...)
			frame.Moves = append(frame.Moves, l.moves.notices()...)
		})
		l.log.Info().Str("event", "follower").Str("entry", h.Entry.Name).Int("running", len(h.Running)).Msg("follower joined")
	}
	l.publishRoster(now)
}
