package proxy

import (
	"context"
	"net/http"
	"time"
)

// serveRegistered serves a call as the registrar decides. It calls Begin again after waiting for a running attempt.
func (p *Proxy) serveRegistered(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay, forwarded bool) {
	for {
		v := p.deps.Registrar.Begin(time.Now(), call)
		switch v.Kind {
		case VerdictRun:
			out.resend = false
			p.executeRecorded(ctx, out, r, call, body)
			return
		case VerdictReplay:
			out.resend = false
			out.replay(v.Answer)
			return
		case VerdictForward:
			p.forwardToRegistrar(ctx, out, r, call, body, v.Peer, forwarded)
			return
		case VerdictWait:
			select {
			case <-v.Done:
			case <-r.Context().Done():
				return
			case <-ctx.Done():
				out.sendLocalReply(localReply{outcome: Unknown, reason: ReasonDeadline})
				return
			}
		default:
			out.sendLocalReply(localReply{outcome: Unknown, reason: ReasonRegistrarGone})
			return
		}
	}
}

// executeRecorded runs a call and reports its result to the registrar, even after a panic.
func (p *Proxy) executeRecorded(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay) {
	rec := &recorder{answer: Answer{Outcome: Unknown, Reason: ReasonPanic, Status: http.StatusBadGateway}}
	defer func() { p.deps.Registrar.Finish(time.Now(), call, rec.answer) }()
	p.execute(ctx, out, r, call, body, rec)
}

// execute runs a call and delivers its response. With a nil recorder nothing is recorded.
func (p *Proxy) execute(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay, rec *recorder) {
	a, v := p.runAttempts(ctx, r, call, body)
	if a == nil {
		rec.recordLocalReply(v)
		p.observe(call, v.outcome)
		out.sendLocalReply(v)
		return
	}
	defer a.finish(p, ResultCancelled)
	err := out.deliver(a, rec)
	if err == nil {
		p.observe(call, Done)
		return
	}
	p.observe(call, Unknown)
	out.abort(err)
}

func (p *Proxy) observe(call *Call, o Outcome) {
	now := time.Now()
	p.deps.Retries.Observe(now, call, o, now.Sub(call.Received))
}

// runAttempts makes attempts until one has a response or no further attempt is allowed. Without a response it returns the
// local reply.
func (p *Proxy) runAttempts(ctx context.Context, r *http.Request, call *Call, body *replay) (*attempt, localReply) {
	var tried []FailedAttempt
	for {
		if p.deps.Poison.Blocked(time.Now(), call.Fingerprint()) {
			return nil, replyForAttempts(append(tried, FailedAttempt{Outcome: NotRun, Reason: ReasonPoison}))
		}
		pool, ok := p.deps.Pools.Choose(time.Now(), call, tried)
		if !ok {
			return nil, replyForAttempts(tried)
		}
		call.Version = pool.Version
		a := p.makeAttempt(ctx, r, call, pool, body)
		if a.resp != nil {
			return a, localReply{}
		}
		tried = append(tried, a.tried)
		if !p.shouldRetry(ctx, call, body, tried) {
			return nil, replyForAttempts(tried)
		}
		call.Attempt++
	}
}

// replyForAttempts returns the reply for failed attempts. Its outcome is "not run" only if that holds for each attempt.
func replyForAttempts(tried []FailedAttempt) localReply {
	if len(tried) == 0 {
		return localReply{outcome: NotRun, reason: ReasonNoPool, retryAfter: time.Second}
	}
	last := tried[len(tried)-1]
	v := localReply{outcome: last.Outcome, reason: last.Reason, retryAfter: last.RetryAfter}
	for _, t := range tried {
		if t.Outcome == Unknown {
			v = localReply{outcome: Unknown, reason: t.Reason}
		}
	}
	return v
}

// shouldRetry decides on another attempt after the last of tried. The retry budget is charged unless no upstream was
// granted and the call is known not to have run.
func (p *Proxy) shouldRetry(ctx context.Context, call *Call, body *replay, tried []FailedAttempt) bool {
	last := tried[len(tried)-1]
	safe := last.Outcome == NotRun || call.Idempotent
	if !safe || ctx.Err() != nil || !body.replayable() || len(tried) >= p.cfg.MaxAttempts {
		return false
	}
	if last.Reason == ReasonRequestBody || last.Reason == ReasonCancelled || last.Reason == ReasonPoison {
		return false
	}
	if distinctPools(tried) >= p.cfg.MaxPools && last.Upstream == "" {
		return false
	}
	if last.Upstream == "" && last.Outcome == NotRun {
		return true
	}
	if !p.deps.Retries.MayRetry(time.Now(), call, last) {
		return false
	}
	call.Retried = true
	if last.Upstream != "" {
		call.Exclude = append(call.Exclude, last.Upstream)
	}
	return true
}

func distinctPools(tried []FailedAttempt) int {
	n := 0
	for i, t := range tried {
		seen := false
		for _, earlier := range tried[:i] {
			seen = seen || earlier.Pool.ID == t.Pool.ID
		}
		if !seen {
			n++
		}
	}
	return n
}
