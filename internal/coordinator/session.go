package coordinator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// RefusedError is returned by Place for a request that was refused and not sent to any upstream.
type RefusedError struct {
	placement.Refusal
}

// Error implements error.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s, retry after %s", r.Reason, r.RetryAfter)
}

// Placed is an attempt of a request that was granted an upstream. Finish must be called once.
type Placed struct {
	placement.Grant
	Mode string // which role placed it: leader, follower or alone
	// Hedge receives at most one grant for a hedged second attempt while the first one runs, to be passed to Second. It is nil
	// for an ask that doesn't allow hedging.
	Hedge  <-chan placement.Grant
	second func(placement.Grant) *Placed
	// release makes the session decline a hedge that is granted from now on. It is nil without Hedge.
	release func()
	finish  func(placement.Outcome, time.Duration, *placement.Report)
	notRun  func() // takes the attempt off the usage of its account; nil if it wasn't counted
}

// Second returns the second attempt for a grant received from Hedge, or nil if the upstream must not be used.
func (p *Placed) Second(g placement.Grant) *Placed { return p.second(g) }

// WithHedge enables a hedged second attempt for p, and returns p.
func (p *Placed) WithHedge(hedge <-chan placement.Grant, second func(placement.Grant) *Placed) *Placed {
	p.Hedge, p.second = hedge, second
	return p
}

// ReleaseHedge returns the slot of a hedge that was not received from Hedge yet, and declines one that is granted later. Call it when the
// attempt has a response.
func (p *Placed) ReleaseHedge() {
	if p.release != nil {
		p.release()
	}
}

// NewPlaced returns a Placed whose result is reported to finish.
func NewPlaced(g placement.Grant, finish func(placement.Outcome, time.Duration, *placement.Report)) *Placed {
	return &Placed{Grant: g, finish: finish}
}

// OnNotRun sets the function that NotRun calls, and returns p.
func (p *Placed) OnNotRun(f func()) *Placed {
	p.notRun = f
	return p
}

// NotRun records that the upstream has certainly not run the attempt, so it isn't reported as usage of its account. It is called at most
// once, before Finish.
func (p *Placed) NotRun() {
	if p.notRun != nil {
		p.notRun()
	}
}

// Finish reports the result of the attempt. report is nil if the upstream told nothing about itself.
func (p *Placed) Finish(outcome placement.Outcome, latency time.Duration, report *placement.Report) {
	if report == nil {
		report = &placement.Report{}
	}
	p.finish(outcome, latency, report)
}

// runningAttempt is an attempt in progress on an upstream.
type runningAttempt struct {
	session  session
	ask      Ask
	upstream string
	started  time.Time
}

// reply is the decision on an ask: a grant, or a refusal if that is set.
type reply struct {
	grant   placement.Grant
	refusal *placement.Refusal
}

// session submits asks for as long as this entry keeps its role and leader. A change of either starts a new session.
type session interface {
	mode() string
	// submit submits an ask. The channel receives one reply, or is closed if the session ends first.
	submit(a Ask) <-chan reply
	cancel(ask uint64)
	// hedgeChannel returns the channel for the hedge of an ask, or nil if it allows none. Nothing is sent after forgetHedge.
	hedgeChannel(ask uint64) <-chan placement.Grant
	forgetHedge(ask uint64)
	finish(e End)
	end()
}

// Place waits until an upstream is granted. The error is a *RefusedError or that of the context.
func (n *Node) Place(ctx context.Context, a Ask, objective, deadline time.Time) (*Placed, error) {
	exclude := a.Exclude
	for {
		if err := n.awaitLeaderForBody(ctx, &a); err != nil {
			return nil, err
		}
		s := n.usableSession(ctx)
		now := time.Now()
		paused, pauseEnd := n.pausedUpstreams(now)
		a.Exclude = slices.Concat(exclude, paused)
		a.ID = n.nextID.Add(1)
		a.ObjectiveLeft, a.DeadlineLeft = objective.Sub(now), deadline.Sub(now)
		answer := s.submit(a)
		select {
		case r, ok := <-answer:
			if !ok {
				continue // the leader was lost: submit again to the new session
			}
			if r.refusal != nil {
				return nil, refusedUntil(*r.refusal, pauseEnd.Sub(now))
			}
			if n.avoids(r.grant) {
				n.decline(s, r.grant)
				exclude = append(slices.Clone(exclude), r.grant.Upstream)
				continue
			}
			if p := n.track(s, a, r.grant); p != nil {
				return p, nil
			}
			n.decline(s, r.grant)
		case <-ctx.Done():
			s.cancel(a.ID)
			s.forgetHedge(a.ID)
			go releaseLateGrant(s, a.ID, answer)
			return nil, ctx.Err()
		}
	}
}

// refusedUntil returns the error for a refusal. If there was no upstream because some have asked for a pause, a retry is useful when the
// first of the pauses ends.
func refusedUntil(r placement.Refusal, pause time.Duration) *RefusedError {
	if r.Reason == placement.ReasonNoUpstream {
		r.RetryAfter = max(r.RetryAfter, pause)
	}
	return &RefusedError{r}
}

// decline returns the slot of a grant that this entry doesn't use.
func (n *Node) decline(s session, g placement.Grant) {
	s.forgetHedge(g.Ask)
	s.finish(End{Ask: g.Ask, Outcome: placement.Cancelled})
}

// lateGrantTimeout is how long to wait for a grant that may be in transit when the ask is cancelled.
const lateGrantTimeout = time.Second

// releaseLateGrant returns the slot of a grant that arrives after its ask was cancelled.
func releaseLateGrant(s session, ask uint64, answer <-chan reply) {
	select {
	case r, ok := <-answer:
		if ok && r.refusal == nil {
			s.finish(End{Ask: ask, Outcome: placement.Cancelled})
		}
	case <-time.After(lateGrantTimeout):
	}
}

// track registers a granted attempt as running until it is finished. It returns nil for a request with a body under a limit on request
// bytes if the session has ended since the grant: the next leader doesn't count it, since it wasn't among the attempts that it adopted.
func (n *Node) track(s session, a Ask, g placement.Grant) *Placed {
	attempt := &runningAttempt{session: s, ask: a, upstream: g.Upstream, started: time.Now()}
	n.mu.Lock()
	if n.session != s && a.RequestBytes > 0 && n.o.Limits.UpstreamRequestBytes > 0 {
		n.mu.Unlock()
		return nil
	}
	n.running[attempt] = struct{}{}
	n.mu.Unlock()
	var hedge <-chan placement.Grant
	if a.MayHedge {
		hedge = s.hedgeChannel(a.ID)
	}
	p := NewPlaced(g, func(o placement.Outcome, latency time.Duration, report *placement.Report) {
		if hedge != nil {
			releaseHedge(s, a.ID, hedge)
		}
		n.observeReport(g, attempt.started, o, report)
		n.untrack(attempt).finish(End{Ask: a.ID, Outcome: o, Latency: latency, Load: report.Load, Limit: report.Limit, Loss: report.Loss})
	})
	p.OnNotRun(n.usage.countAttempt(a.Account)).Mode = s.mode()
	n.o.Metrics.placements.WithLabelValues(p.Mode).Inc()
	if hedge == nil {
		return p
	}
	p.release = func() { releaseHedge(s, a.ID, hedge) }
	return p.WithHedge(hedge, func(g placement.Grant) *Placed {
		if n.avoids(g) {
			n.decline(s, g)
			return nil
		}
		second := a
		second.ID, second.MayHedge, second.Attempt = placement.HedgeOf(a.ID), false, a.Attempt+1
		p := n.track(s, second, g)
		if p == nil {
			n.decline(s, g)
		}
		return p
	})
}

// releaseHedge returns the slot of a hedge that was granted but not used.
func releaseHedge(s session, ask uint64, hedge <-chan placement.Grant) {
	s.forgetHedge(ask)
	select {
	case g := <-hedge:
		s.finish(End{Ask: g.Ask, Outcome: placement.Cancelled})
	default:
	}
}

// untrack removes a running attempt, and returns the session to which its result has to be reported.
func (n *Node) untrack(attempt *runningAttempt) session {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.running, attempt)
	return attempt.session
}

// pendingReplies passes decisions to the requests that wait for them.
type pendingReplies struct {
	mu      sync.Mutex
	pending map[uint64]chan reply
	hedges  map[uint64]chan placement.Grant // by ask ID; only for asks that allow hedging
	ended   bool
}

func newPendingReplies() pendingReplies {
	return pendingReplies{pending: map[uint64]chan reply{}, hedges: map[uint64]chan placement.Grant{}}
}

func (r *pendingReplies) register(a *Ask) chan reply {
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

func (r *pendingReplies) hedgeChannel(ask uint64) <-chan placement.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedges[ask]
}

func (r *pendingReplies) forgetHedge(ask uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.hedges, ask)
}

// deliverHedge passes the grant of a hedge to its ask, and reports whether the ask still accepts one.
func (r *pendingReplies) deliverHedge(g placement.Grant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := r.hedges[placement.FirstOf(g.Ask)]
	if ch == nil {
		return false
	}
	delete(r.hedges, placement.FirstOf(g.Ask))
	ch <- g // never blocks: the channel is buffered and used once
	return true
}

func (r *pendingReplies) remove(ask uint64) chan reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch := r.pending[ask]
	delete(r.pending, ask)
	return ch
}

// deliver passes decisions to the waiting requests. It returns cancellations for hedges that arrive too late.
func (r *pendingReplies) deliver(grants []placement.Grant, refusals []placement.Refusal) (late []End) {
	for _, g := range grants {
		if placement.IsHedge(g.Ask) {
			if !r.deliverHedge(g) {
				late = append(late, End{Ask: g.Ask, Outcome: placement.Cancelled})
			}
			continue
		}
		if ch := r.remove(g.Ask); ch != nil {
			ch <- reply{grant: g}
		}
	}
	for _, refusal := range refusals {
		r.forgetHedge(refusal.Ask)
		if ch := r.remove(refusal.Ask); ch != nil {
			ch <- reply{refusal: &refusal}
		}
	}
	return late
}

// end closes the channels of all pending asks.
func (r *pendingReplies) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for _, ch := range r.pending {
		close(ch)
	}
	r.pending = map[uint64]chan reply{}
	r.hedges = map[uint64]chan placement.Grant{}
}

// localSession uses a coordinator in the same process: that of the leader or the standalone one.
type localSession struct {
	pendingReplies
	coordinator *Coordinator
}

func newLocalSession(c *Coordinator) *localSession {
	return &localSession{pendingReplies: newPendingReplies(), coordinator: c}
}

// Deliver implements Client.
func (s *localSession) Deliver(grants []placement.Grant, refusals []placement.Refusal) {
	for _, e := range s.deliver(grants, refusals) {
		s.finish(e)
	}
}

func (s *localSession) mode() string {
	if s.coordinator.standalone {
		return "alone"
	}
	return "leader"
}

func (s *localSession) submit(a Ask) <-chan reply {
	ch := s.register(&a)
	s.coordinator.Submit(time.Now(), s, a)
	return ch
}

// end closes the channels of the asks that wait. In the standalone coordinator, which outlives the session, it also frees the slots of
// running attempts, since their results are reported to the next session.
func (s *localSession) end() {
	s.pendingReplies.end()
	if s.coordinator.standalone {
		s.coordinator.RemoveClient(time.Now(), s)
	}
}

func (s *localSession) cancel(ask uint64) { s.coordinator.Cancel(s, ask) }

func (s *localSession) finish(e End) { s.coordinator.Finish(time.Now(), s, e) }

// linkSession uses the leader at the other end of a link.
type linkSession struct {
	pendingReplies
	link      *Link
	reported  Traffic // last one that the leader was told; used by the goroutine of measureTraffic only
	activity  activity
	startedAt time.Time
	lastFrame atomic.Int64 // time of the leader's last frame, as nanoseconds since startedAt
}

// silentFor returns the time since the leader's last frame.
func (s *linkSession) silentFor(now time.Time) time.Duration {
	return now.Sub(s.startedAt) - time.Duration(s.lastFrame.Load())
}

// activity tracks for how long requests have been placed without a pause longer than activePeriod. It is safe for concurrent
// use.
type activity struct {
	mu          sync.Mutex
	first, last time.Time
}

func (a *activity) record(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.last) > activePeriod {
		a.first = now
	}
	a.last = now
}

// activeFor returns the time since the first request after the last pause, or 0 if there was none within activePeriod/2.
func (a *activity) activeFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.last) > activePeriod/2 {
		return 0
	}
	return now.Sub(a.first)
}

func newLinkSession(l *Link) *linkSession {
	return &linkSession{pendingReplies: newPendingReplies(), link: l, startedAt: time.Now()}
}

// Deliver passes on the decisions of the leader.
func (s *linkSession) Deliver(grants []placement.Grant, refusals []placement.Refusal) {
	for _, e := range s.deliver(grants, refusals) {
		s.finish(e)
	}
}

func (s *linkSession) activeFor(now time.Time) time.Duration { return s.activity.activeFor(now) }

func (s *linkSession) mode() string { return "follower" }

func (s *linkSession) submit(a Ask) <-chan reply {
	ch := s.register(&a)
	s.activity.record(time.Now())
	s.link.Queue(func(f *Frame) { f.Asks = append(f.Asks, a) })
	return ch
}

func (s *linkSession) cancel(ask uint64) {
	s.link.Queue(func(f *Frame) { f.Cancels = append(f.Cancels, ask) })
}

func (s *linkSession) finish(e End) {
	s.link.Queue(func(f *Frame) { f.Ends = append(f.Ends, e) })
}
