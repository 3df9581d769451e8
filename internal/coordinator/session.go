package coordinator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// RefusedError is the error of Place for a request that no upstream has seen.
type RefusedError struct {
	placement.Refusal
}

// Error implements error.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Placed is a granted request. Call Finish once.
type Placed struct {
	placement.Grant
	Mode string // leader, follower or alone: who placed it
	// Hedge delivers at most one grant of a second attempt, while the first one runs; nil for an ask that allows none. Pass it to
	// Second.
	Hedge  <-chan placement.Grant
	second func(placement.Grant) *Placed
	finish func(placement.Outcome, time.Duration, *placement.Load)
}

// Second returns the granted second attempt.
func (p *Placed) Second(g placement.Grant) *Placed { return p.second(g) }

// WithHedge lets a second attempt be granted while p runs.
func (p *Placed) WithHedge(hedge <-chan placement.Grant, second func(placement.Grant) *Placed) *Placed {
	p.Hedge, p.second = hedge, second
	return p
}

// NewPlaced returns a granted request whose end is reported to finish.
func NewPlaced(g placement.Grant, finish func(placement.Outcome, time.Duration, *placement.Load)) *Placed {
	return &Placed{Grant: g, finish: finish}
}

// Finish reports the end of the attempt.
func (p *Placed) Finish(outcome placement.Outcome, latency time.Duration, load *placement.Load) {
	p.finish(outcome, latency, load)
}

// handle is a request that runs on an upstream.
type handle struct {
	session  session
	ask      Ask
	upstream string
	started  time.Time
}

type reply struct {
	grant   placement.Grant
	refusal *placement.Refusal
}

// session places asks for as long as one relation to a leader lasts.
type session interface {
	mode() string
	// submit offers an ask. The channel gets one reply, or is closed when the session ends without one.
	submit(a Ask) <-chan reply
	cancel(ask uint64)
	// hedgesOf returns the channel for the second attempt of an ask that may get one. After forgetHedge nothing is sent to it.
	hedgesOf(ask uint64) <-chan placement.Grant
	forgetHedge(ask uint64)
	finish(e End)
	end()
}

// Place waits for an upstream. The error is *RefusedError, or the context's.
func (n *Node) Place(ctx context.Context, a Ask, objective, deadline time.Time) (*Placed, error) {
	for {
		now := time.Now()
		a.ID = n.nextID.Add(1)
		a.ObjectiveLeft, a.DeadlineLeft = objective.Sub(now), deadline.Sub(now)
		s := n.currentSession()
		n.awaitUpstreams(ctx, s)
		answer := s.submit(a)
		select {
		case r, ok := <-answer:
			if !ok {
				continue // the leader was lost; ask again
			}
			if r.refusal != nil {
				return nil, &RefusedError{*r.refusal}
			}
			return n.track(s, a, r.grant), nil
		case <-ctx.Done():
			s.cancel(a.ID)
			s.forgetHedge(a.ID)
			go returnLateGrant(s, a.ID, answer)
			return nil, ctx.Err()
		}
	}
}

// lateGrantTime is how long a grant that crosses a cancellation may take to arrive.
const lateGrantTime = time.Second

func returnLateGrant(s session, ask uint64, answer <-chan reply) {
	select {
	case r, ok := <-answer:
		if ok && r.refusal == nil {
			s.finish(End{Ask: ask, Outcome: placement.Cancelled})
		}
	case <-time.After(lateGrantTime):
	}
}

func (n *Node) track(s session, a Ask, g placement.Grant) *Placed {
	h := &handle{session: s, ask: a, upstream: g.Upstream, started: time.Now()}
	n.mu.Lock()
	n.running[h] = struct{}{}
	n.mu.Unlock()
	var hedge <-chan placement.Grant
	if a.MayHedge {
		hedge = s.hedgesOf(a.ID)
	}
	p := NewPlaced(g, func(o placement.Outcome, latency time.Duration, load *placement.Load) {
		if hedge != nil {
			giveBackHedge(s, a.ID, hedge)
		}
		n.untrack(h).finish(End{Ask: a.ID, Outcome: o, Latency: latency, Load: load})
	})
	p.Mode = s.mode()
	n.o.Metrics.placed.WithLabelValues(p.Mode).Inc()
	if hedge == nil {
		return p
	}
	return p.WithHedge(hedge, func(g placement.Grant) *Placed {
		second := a
		second.ID, second.MayHedge, second.Attempt = placement.HedgeOf(a.ID), false, a.Attempt+1
		return n.track(s, second, g)
	})
}

// giveBackHedge ends the second attempt that was granted to an ask and not taken.
func giveBackHedge(s session, ask uint64, hedge <-chan placement.Grant) {
	s.forgetHedge(ask)
	select {
	case g := <-hedge:
		s.finish(End{Ask: g.Ask, Outcome: placement.Cancelled})
	default:
	}
}

// untrack returns the session that the end of the call belongs to.
func (n *Node) untrack(h *handle) session {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, h)
	return h.session
}

// replies hands decisions to the requests that wait for them.
type replies struct {
	mu      sync.Mutex
	pending map[uint64]chan reply
	hedges  map[uint64]chan placement.Grant // of asks that may get a second attempt
	ended   bool
}

func newReplies() replies {
	return replies{pending: map[uint64]chan reply{}, hedges: map[uint64]chan placement.Grant{}}
}

func (r *replies) expect(a *Ask) chan reply {
	ch := make(chan reply, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		close(ch)
		return ch
	}
	r.pending[a.ID] = ch
	if a.MayHedge {
		r.hedges[a.ID] = make(chan placement.Grant, 1)
	}
	return ch
}

func (r *replies) hedgesOf(ask uint64) <-chan placement.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedges[ask]
}

func (r *replies) forgetHedge(ask uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hedges, ask)
}

// deliverHedge hands over a second attempt, and reports whether its ask still waits for one.
func (r *replies) deliverHedge(g placement.Grant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := r.hedges[placement.FirstOf(g.Ask)]
	if ch == nil {
		return false
	}
	delete(r.hedges, placement.FirstOf(g.Ask))
	ch <- g // has room, as it is used once
	return true
}

func (r *replies) take(ask uint64) chan reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := r.pending[ask]
	delete(r.pending, ask)
	return ch
}

// deliver hands the decisions over, and returns the ends of second attempts that come too late.
func (r *replies) deliver(grants []placement.Grant, refusals []placement.Refusal) (late []End) {
	for _, g := range grants {
		if placement.IsHedge(g.Ask) {
			if !r.deliverHedge(g) {
				late = append(late, End{Ask: g.Ask, Outcome: placement.Cancelled})
			}
			continue
		}
		if ch := r.take(g.Ask); ch != nil {
			ch <- reply{grant: g}
		}
	}
	for _, refusal := range refusals {
		r.forgetHedge(refusal.Ask)
		if ch := r.take(refusal.Ask); ch != nil {
			ch <- reply{refusal: &refusal}
		}
	}
	return late
}

func (r *replies) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, ch := range r.pending {
		close(ch)
	}
	r.pending = map[uint64]chan reply{}
	r.hedges = map[uint64]chan placement.Grant{}
}

// localSession places by a coordinator in the same process.
type localSession struct {
	replies
	coordinator *Coordinator
}

func newLocalSession(c *Coordinator) *localSession {
	return &localSession{replies: newReplies(), coordinator: c}
}

// Deliver implements Client.
func (s *localSession) Deliver(grants []placement.Grant, refusals []placement.Refusal) {
	for _, e := range s.deliver(grants, refusals) {
		s.finish(e)
	}
}

func (s *localSession) mode() string {
	if s.coordinator.alone {
		return "alone"
	}
	return "leader"
}

func (s *localSession) submit(a Ask) <-chan reply {
	ch := s.expect(&a)
	s.coordinator.Submit(time.Now(), s, a)
	return ch
}

func (s *localSession) cancel(ask uint64) { s.coordinator.Cancel(s, ask) }

func (s *localSession) finish(e End) { s.coordinator.Finish(time.Now(), s, e) }

// linkSession places by the leader at the other end of a link.
type linkSession struct {
	replies
	link     *Link
	activity activity
	began    time.Time
	heard    atomic.Int64 // time of the leader's last frame, since began
}

// silentFor is the time since the leader's last frame.
func (s *linkSession) silentFor(now time.Time) time.Duration {
	return now.Sub(s.began) - time.Duration(s.heard.Load())
}

// activity tells for how long requests have been placed without a long pause. It is safe for concurrent use.
type activity struct {
	mu          sync.Mutex
	first, last time.Time
}

func (a *activity) note(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.last) > activeTime {
		a.first = now
	}
	a.last = now
}

// activeFor is the time since the first request after the last pause, or 0 in a pause.
func (a *activity) activeFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.last) > activeTime/2 {
		return 0
	}
	return now.Sub(a.first)
}

func newLinkSession(l *Link) *linkSession {
	return &linkSession{replies: newReplies(), link: l, began: time.Now()}
}

// Deliver takes over the decisions of the leader.
func (s *linkSession) Deliver(grants []placement.Grant, refusals []placement.Refusal) {
	for _, e := range s.deliver(grants, refusals) {
		s.finish(e)
	}
}

func (s *linkSession) activeFor(now time.Time) time.Duration { return s.activity.activeFor(now) }

func (s *linkSession) mode() string { return "follower" }

func (s *linkSession) submit(a Ask) <-chan reply {
	ch := s.expect(&a)
	s.activity.note(time.Now())
	s.link.Queue(func(f *Frame) { f.Asks = append(f.Asks, a) })
	return ch
}

func (s *linkSession) cancel(ask uint64) {
	s.link.Queue(func(f *Frame) { f.Cancels = append(f.Cancels, ask) })
}

func (s *linkSession) finish(e End) {
	s.link.Queue(func(f *Frame) { f.Ends = append(f.Ends, e) })
}
