package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/transport"
)

// deadlineMargin is subtracted from the remaining time that is passed on, so that the response can arrive in time.
const deadlineMargin = time.Millisecond

// attempt is one attempt of a call: at an upstream of an own pool, or forwarded to the entry that owns the pool.
type attempt struct {
	call        *Call
	pool        Pool
	grant       Grant
	granted     bool
	finished    bool
	started     time.Time
	latency     time.Duration
	cancel      context.CancelFunc  // set for hedged attempts
	index       int                 // 0 for the first attempt, 1 for a hedge
	resp        *transport.Response // nil without a response
	tried       FailedAttempt       // how the attempt failed; valid when resp is nil
	connLost    bool                // the connection was lost while the request may have been running
	peerReplied bool                // another entry responded with an outcome
	upstream    string
}

// attemptUnhedged makes one attempt without hedging.
func (p *Proxy) attemptUnhedged(ctx context.Context, r *http.Request, call *Call, pool Pool, body *replay) *attempt {
	if pool.Owner != "" {
		return p.attemptForward(ctx, r, call, pool, body)
	}
	return p.attemptLocal(ctx, r, call, pool, body)
}

// attemptLocal takes a grant and makes a round trip to its upstream.
func (p *Proxy) attemptLocal(ctx context.Context, r *http.Request, call *Call, pool Pool, body *replay) *attempt {
	a := &attempt{call: call, pool: pool}
	grant, err := p.deps.Slots.Acquire(ctx, pool.ID, call)
	if err != nil {
		a.tried = acquireFailure(ctx, pool, err)
		return a
	}
	a.grant, a.granted, a.upstream = grant, true, grant.Upstream
	if call.onGrant != nil {
		call.onGrant(grant.Upstream)
	}
	completed := false
	defer func() {
		if !completed {
			a.finish(p, ResultFailure)
		}
	}()
	p.roundTrip(ctx, a, r, body)
	completed = true
	if a.connLost {
		// Blocked waits until it is known whether the request crashed the upstream. Without this wait the caller could resend
		// the request to an entry that doesn't know about the crash yet.
		p.deps.Poison.Blocked(time.Now(), call.Fingerprint())
	}
	return a
}

// roundTrip sends the request and sets the attempt's response or its failure.
func (p *Proxy) roundTrip(ctx context.Context, a *attempt, r *http.Request, body *replay) {
	remaining := time.Until(a.call.Deadline) - deadlineMargin
	if remaining < time.Millisecond {
		a.fail(p, ResultCancelled, FailedAttempt{Outcome: NotRun, Reason: ReasonDeadline})
		return
	}
	stream := body.open()
	req := upstreamRequest(r, a.call, stream, remaining)
	a.started = time.Now()
	resp, err := p.deps.Upstreams.RoundTrip(ctx, a.grant.Address, req, a.call.Idempotent)
	a.latency = time.Since(a.started)
	if err == nil {
		a.resp = resp
		return
	}
	stream.stop()
	kind, tried := classify(err)
	if kind == ResultCrashed {
		a.connLost = true
		p.deps.Poison.ConnectionLost(time.Now(), a.call.Fingerprint(), a.grant.Upstream)
	}
	a.failWith(p, kind, tried, err)
}

func (a *attempt) fail(p *Proxy, kind ResultKind, t FailedAttempt) { a.failWith(p, kind, t, nil) }

func (a *attempt) failWith(p *Proxy, kind ResultKind, t FailedAttempt, err error) {
	t.Pool = a.pool
	t.Upstream = a.upstream
	a.tried = t
	var e *transport.Error
	if errors.As(err, &e) {
		a.finishWith(p, Result{Kind: kind, Closing: e.Header.Get("Connection") == "close", Status: e.Status, Latency: a.latency, Total: a.latency, Report: e.Load})
		return
	}
	a.finish(p, kind)
}

// finish ends an attempt once; later calls have no effect.
func (a *attempt) finish(p *Proxy, kind ResultKind) {
	res := Result{Kind: kind, Latency: a.latency}
	if !a.started.IsZero() {
		res.Total = time.Since(a.started)
	}
	if a.resp != nil {
		res.Status = a.resp.StatusCode
		res.Report = a.resp.Load
		res.Closing = a.resp.Close
	}
	a.finishWith(p, res)
}

func (a *attempt) finishWith(p *Proxy, res Result) {
	if a.finished {
		return
	}
	a.finished = true
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	if a.granted {
		p.deps.Slots.Finish(a.grant, a.call, res)
	}
}

// acquireFailure converts an error of Slots.Acquire. Nothing was sent, so the call is known not to have run.
func acquireFailure(ctx context.Context, pool Pool, err error) FailedAttempt {
	t := FailedAttempt{Pool: pool, Outcome: NotRun, Reason: ReasonCancelled}
	var refusal *Refusal
	switch {
	case errors.As(err, &refusal):
		t.Reason = refusal.Reason
		t.RetryAfter = refusal.RetryAfter
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		t.Reason = ReasonDeadline
	}
	return t
}

// classify converts a transport error to a result and a failed attempt. For an error of any other type the outcome is
// unknown.
func classify(err error) (ResultKind, FailedAttempt) {
	var e *transport.Error
	if !errors.As(err, &e) {
		return ResultFailure, FailedAttempt{Outcome: Unknown, Reason: ReasonMalformed}
	}
	switch e.Kind {
	case transport.UpstreamNotRun:
		return ResultNotRun, FailedAttempt{Outcome: NotRun, Reason: ReasonUpstreamRefused, RetryAfter: e.RetryAfter}
	case transport.ConnectFailed:
		return notRunKind(e.Cause, ResultConnectFailed), FailedAttempt{Outcome: NotRun, Reason: reasonForCause(e.Cause, ReasonConnectFailed)}
	case transport.NothingWritten:
		return notRunKind(e.Cause, ResultNotRun), FailedAttempt{Outcome: NotRun, Reason: reasonForCause(e.Cause, ReasonConnectionLost)}
	}
	return unknownKind(e.Cause), FailedAttempt{Outcome: Unknown, Reason: reasonForCause(e.Cause, ReasonMalformed)}
}

func notRunKind(c transport.Cause, other ResultKind) ResultKind {
	switch c {
	case transport.CauseDeadline, transport.CauseCancelled, transport.CauseRequestBody, transport.CauseClosed:
		return ResultCancelled
	}
	return other
}

func unknownKind(c transport.Cause) ResultKind {
	switch c {
	case transport.CauseConnectionLost:
		return ResultCrashed
	case transport.CauseDeadline, transport.CauseSilent:
		return ResultTimedOut
	case transport.CauseCancelled, transport.CauseRequestBody:
		return ResultCancelled
	}
	return ResultFailure
}

func reasonForCause(c transport.Cause, other Reason) Reason {
	switch c {
	case transport.CauseDeadline:
		return ReasonDeadline
	case transport.CauseCancelled:
		return ReasonCancelled
	case transport.CauseSilent:
		return ReasonSilent
	case transport.CauseConnectionLost:
		return ReasonConnectionLost
	case transport.CauseRequestBody:
		return ReasonRequestBody
	case transport.CauseClosed:
		return ReasonStopping
	}
	return other
}

// upstreamRequest builds the request of one attempt. The header values are shared with r, which isn't modified.
func upstreamRequest(r *http.Request, call *Call, body *attemptBody, remaining time.Duration) *http.Request {
	h := make(http.Header, len(r.Header)+6)
	copyEndToEnd(h, r.Header)
	setNonEmpty(h, HeaderRequestID, call.RequestID)
	setNonEmpty(h, HeaderCustomer, call.Customer)
	setNonEmpty(h, HeaderClass, call.Class)
	h[HeaderDeadline] = []string{strconv.FormatInt(remaining.Milliseconds(), 10)}
	h[HeaderDepth] = []string{strconv.Itoa(call.Depth + 1)}
	return newRequest(r, h, body)
}

func newRequest(r *http.Request, h http.Header, body *attemptBody) *http.Request {
	if _, given := h["User-Agent"]; !given {
		h["User-Agent"] = noUserAgent
	}
	req := &http.Request{Method: r.Method, URL: r.URL, Host: r.Host, Header: h, ContentLength: body.length, Body: http.NoBody}
	if body.length != 0 {
		req.Body = body
	}
	return req
}

// noUserAgent prevents net/http from adding its own User-Agent.
var noUserAgent = []string{""}
