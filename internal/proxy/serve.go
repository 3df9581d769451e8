package proxy

import (
	"context"
	"net/http"
	"time"
)

// serveRegistered asks the registrar, and again after each wait for a running attempt.
func (p *Proxy) serveRegistered(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay, forwarded bool) {
	for {
		v := p.deps.Registrar.Begin(time.Now(), call)
		switch v.Kind {
		case VerdictRun:
			out.resend = false
			p.serveRecorded(ctx, out, r, call, body)
			return
		case VerdictReplay:
			out.resend = false
			out.replay(v.Answer)
			return
		case VerdictForward:
			p.serveElsewhere(ctx, out, r, call, body, v.Peer, forwarded)
			return
		case VerdictWait:
			select {
			case <-v.Done:
			case <-r.Context().Done():
				return
			case <-ctx.Done():
				out.refuse(verdict{outcome: Unknown, reason: ReasonDeadline})
				return
			}
		default:
			out.refuse(verdict{outcome: Unknown, reason: ReasonRegistrarGone})
			return
		}
	}
}

// serveRecorded runs a call and reports its end to the registrar, also after a panic.
func (p *Proxy) serveRecorded(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay) {
	rec := &recorder{answer: Answer{Outcome: Unknown, Reason: ReasonPanic, Status: http.StatusBadGateway}}
	defer func() { p.deps.Registrar.Finish(time.Now(), call, rec.answer) }()
	p.serveOnce(ctx, out, r, call, body, rec)
}

// serveOnce runs a call and delivers its response. A nil recorder records nothing.
func (p *Proxy) serveOnce(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay, rec *recorder) {
	a, v := p.run(ctx, r, call, body)
	if a == nil {
		rec.refused(v)
		p.observe(call, v.outcome)
		out.refuse(v)
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

// run makes attempts until one has a response or no other attempt is allowed. Without a response it returns what the
// caller may conclude.
func (p *Proxy) run(ctx context.Context, r *http.Request, call *Call, body *replay) (*attempt, verdict) {
	var tried []FailedAttempt
	for {
		if p.deps.Poison.Blocked(time.Now(), call.Fingerprint()) {
			return nil, conclude(append(tried, FailedAttempt{Outcome: NotRun, Reason: ReasonPoison}))
		}
		pool, ok := p.deps.Pools.Choose(time.Now(), call, tried)
		if !ok {
			return nil, conclude(tried)
		}
		call.Version = pool.Version
		a := p.try(ctx, r, call, pool, body)
		if a.resp != nil {
			return a, verdict{}
		}
		tried = append(tried, a.tried)
		if !p.mayTryAgain(ctx, call, body, tried) {
			return nil, conclude(tried)
		}
		call.Attempt++
	}
}

// conclude sums up attempts without a response. The call is proved not run only if each attempt is.
func conclude(tried []FailedAttempt) verdict {
	if len(tried) == 0 {
		return verdict{outcome: NotRun, reason: ReasonNoPool, retryAfter: time.Second}
	}
	last := tried[len(tried)-1]
	v := verdict{outcome: last.Outcome, reason: last.Reason, retryAfter: last.RetryAfter}
	for _, t := range tried {
		if t.Outcome == Unknown {
			v = verdict{outcome: Unknown, reason: t.Reason}
		}
	}
	return v
}

// mayTryAgain decides on another attempt after the last of tried. An attempt that reached no upstream costs no retry.
func (p *Proxy) mayTryAgain(ctx context.Context, call *Call, body *replay, tried []FailedAttempt) bool {
	last := tried[len(tried)-1]
	safe := last.Outcome == NotRun || call.Idempotent
	if !safe || ctx.Err() != nil || !body.replayable() || len(tried) >= p.cfg.MaxAttempts {
		return false
	}
	if last.Reason == ReasonRequestBody || last.Reason == ReasonCancelled || last.Reason == ReasonPoison {
		return false
	}
	if countPools(tried) >= p.cfg.MaxPools && last.Upstream == "" {
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

func countPools(tried []FailedAttempt) int {
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
