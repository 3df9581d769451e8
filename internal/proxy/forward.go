package proxy

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/transport"
)

// ForwardPath is the prefix of forwarded calls on the peer port; the original path and query follow it.
const ForwardPath = "/forward"

// Values of the Boragehinge-Forward header.
const (
	forwardRun      = "run"      // take a slot of the named pool and run the call
	forwardRegister = "register" // register the call's ID and serve it
)

// maxForwardRefusal is the size up to which the body of a refused forward is read, so that the connection can be reused.
const maxForwardRefusal = 4 << 10

// attemptForward forwards a call to the entry that owns the pool.
func (p *Proxy) attemptForward(ctx context.Context, r *http.Request, call *Call, pool Pool, body *replay) *attempt {
	a := &attempt{call: call, pool: pool}
	p.forward(ctx, a, r, body, pool.Owner, forwardRun)
	return a
}

// forwardToRegistrar forwards a call to the entry that registers its ID. If that entry can't be reached, nothing is known
// about earlier attempts with the same ID, so the outcome is unknown unless the caller marked this one as the first.
func (p *Proxy) forwardToRegistrar(ctx context.Context, out *responder, r *http.Request, call *Call, body *replay, peer string, forwarded bool) {
	if forwarded || peer == "" {
		out.sendLocalReply(localReply{outcome: Unknown, reason: ReasonRegistrarGone})
		return
	}
	a := &attempt{call: call}
	p.forward(ctx, a, r, body, peer, forwardRegister)
	defer a.finish(p, ResultCancelled)
	if a.resp != nil {
		if err := out.deliver(a, nil); err != nil {
			out.abort(err)
		}
		return
	}
	v := replyForAttempts([]FailedAttempt{a.tried})
	if a.peerReplied {
		out.resend = false
	} else if out.resend && a.tried.Reason == ReasonConnectFailed {
		v = localReply{outcome: Unknown, reason: ReasonRegistrarGone}
	}
	out.sendLocalReply(v)
}

// forward makes the round trip to another entry and sets the attempt's response or its failure.
func (p *Proxy) forward(ctx context.Context, a *attempt, r *http.Request, body *replay, peer, mode string) {
	remaining := time.Until(a.call.Deadline) - deadlineMargin
	if remaining < time.Millisecond {
		a.fail(p, ResultCancelled, FailedAttempt{Outcome: NotRun, Reason: ReasonDeadline})
		return
	}
	stream := body.open()
	req := forwardRequest(r, a, stream, mode, remaining)
	a.started = time.Now()
	resp, err := p.deps.Peers.RoundTrip(ctx, peer, req, a.call.Idempotent)
	a.latency = time.Since(a.started)
	if err != nil {
		stream.stop()
		_, tried := classify(err)
		a.failWith(p, ResultFailure, tried, err)
		return
	}
	p.readForwarded(a, resp)
	if a.resp == nil {
		stream.stop()
	}
}

// readForwarded evaluates the response of another entry. Only the outcome "done" makes it the call's response; without
// an outcome header the outcome is unknown.
func (p *Proxy) readForwarded(a *attempt, resp *transport.Response) {
	if summary := resp.Header.Get(HeaderPoolSummary); summary != "" && a.pool.ID != "" {
		p.deps.Pools.UpdateSummary(time.Now(), a.pool, summary)
	}
	a.upstream = resp.Header.Get(HeaderUpstream)
	if resp.Header.Get(HeaderRetried) == "true" {
		a.call.Retried = true
	}
	outcome := Outcome(resp.Header.Get(HeaderOutcome))
	a.peerReplied = outcome != ""
	if outcome == Done {
		a.resp = resp
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxForwardRefusal)
	_ = resp.Body.Close()
	t := FailedAttempt{Outcome: Unknown, Reason: Reason(resp.Header.Get(HeaderReason))}
	if outcome == NotRun {
		t.Outcome = NotRun
	}
	if t.Reason == "" {
		t.Reason = ReasonMalformed
	}
	if s, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 16); err == nil {
		t.RetryAfter = time.Duration(s) * time.Second
	}
	a.fail(p, ResultFailure, t)
}

// forwardRequest builds the request to another entry.
func forwardRequest(r *http.Request, a *attempt, body *attemptBody, mode string, remaining time.Duration) *http.Request {
	c := a.call
	h := make(http.Header, len(r.Header)+14)
	copyEndToEnd(h, r.Header)
	h[HeaderForward] = []string{mode}
	setNonEmpty(h, HeaderPool, a.pool.ID)
	setNonEmpty(h, HeaderVersion, a.pool.Version)
	setNonEmpty(h, HeaderService, c.Service)
	setNonEmpty(h, HeaderRoute, c.Route)
	setNonEmpty(h, HeaderCustomer, c.Customer)
	setNonEmpty(h, HeaderClass, c.Class)
	setNonEmpty(h, HeaderRequestID, c.RequestID)
	setNonEmpty(h, HeaderExclude, strings.Join(c.Exclude, ","))
	h[HeaderDeadline] = []string{strconv.FormatInt(remaining.Milliseconds(), 10)}
	h[HeaderAttempt] = []string{strconv.Itoa(c.Attempt)}
	h[HeaderDepth] = []string{strconv.Itoa(c.Depth)}
	h[HeaderIdempotent] = []string{strconv.FormatBool(c.Idempotent)}
	if c.FirstAttempt {
		h[HeaderFirstAttempt] = []string{"true"}
	}
	req := newRequest(r, h, body)
	req.URL = &url.URL{Path: ForwardPath + r.URL.Path, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if r.URL.RawPath != "" {
		req.URL.RawPath = ForwardPath + r.URL.RawPath
	}
	return req
}

// ServeForward serves a call that another entry forwarded. It must be registered under ForwardPath on the peer port,
// behind the authentication of peers.
func (p *Proxy) ServeForward(w http.ResponseWriter, r *http.Request) {
	out := newResponder(p, w, r)
	defer out.recoverPanic()
	if !stripForwardPath(r) {
		out.sendLocalReply(localReply{outcome: NotRun, reason: ReasonInvalid, findings: []Finding{{"path", "isn't a forwarded call"}}})
		return
	}
	call, mode, findings := p.forwardedCall(r, time.Now())
	if len(findings) > 0 {
		out.sendLocalReply(localReply{outcome: NotRun, reason: ReasonInvalid, findings: findings})
		return
	}
	if mode == forwardRegister {
		p.serve(out, r, call, true)
		return
	}
	p.serveForwardedRun(out, r, call, Pool{ID: r.Header.Get(HeaderPool), Version: call.Version})
}

// serveForwardedRun makes one attempt in a pool of this entry. The entry that forwarded the call decides on retries.
func (p *Proxy) serveForwardedRun(out *responder, r *http.Request, call *Call, pool Pool) {
	out.call = call
	body, err := p.openBody(out, r, call)
	if err != nil {
		out.sendLocalReply(localReply{outcome: NotRun, reason: ReasonRequestBody, err: err})
		return
	}
	defer body.close()
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	if p.deps.Poison.Blocked(call.Received, call.Fingerprint()) {
		out.sendLocalReply(localReply{outcome: NotRun, reason: ReasonPoison})
		return
	}
	a := p.attemptLocal(ctx, r, call, pool, body)
	defer a.finish(p, ResultCancelled)
	out.summary = p.deps.Slots.Summary(pool.ID)
	if a.resp == nil {
		setNonEmpty(out.w.Header(), HeaderUpstream, a.upstream)
		out.sendLocalReply(replyForAttempts([]FailedAttempt{a.tried}))
		return
	}
	if err := out.deliver(a, nil); err != nil {
		out.abort(err)
	}
}

func stripForwardPath(r *http.Request) bool {
	path, ok := strings.CutPrefix(r.URL.Path, ForwardPath)
	if !ok || path == "" || path[0] != '/' {
		return false
	}
	r.URL.Path = path
	r.URL.RawPath = strings.TrimPrefix(r.URL.RawPath, ForwardPath)
	return true
}

// forwardedCall parses the headers of a forwarded call. The class is resolved here, because its priority isn't sent.
func (p *Proxy) forwardedCall(r *http.Request, now time.Time) (*Call, string, []Finding) {
	k := checker{h: r.Header}
	k.checkRequest(r, p.cfg.MaxBody)
	c := &Call{Received: now, Method: r.Method, Path: r.URL.Path}
	mode := k.singleValue(HeaderForward)
	if mode != forwardRun && mode != forwardRegister {
		k.add(HeaderForward, "%q is neither %s nor %s", truncate(mode), forwardRun, forwardRegister)
	}
	if mode == forwardRun && r.Header.Get(HeaderPool) == "" {
		k.add(HeaderPool, "is missing")
	}
	c.RequestID = k.visibleASCII(HeaderRequestID)
	c.Customer = k.visibleASCII(HeaderCustomer)
	c.Service = k.visibleASCII(HeaderService)
	c.Route = k.visibleASCII(HeaderRoute)
	c.Version = k.visibleASCII(HeaderVersion)
	c.Idempotent, _ = k.boolean(HeaderIdempotent)
	c.FirstAttempt, _ = k.boolean(HeaderFirstAttempt)
	c.Attempt = max(1, int(k.integer(HeaderAttempt, 1, 100)))
	c.Depth = int(k.integer(HeaderDepth, 0, maxDepth))
	if excluded := k.singleValue(HeaderExclude); excluded != "" {
		c.Exclude = strings.Split(excluded, ",")
	}
	class, _ := p.deps.Directory.Class(k.visibleASCII(HeaderClass))
	c.Class, c.Priority, c.Hedgeable = class.Name, class.Priority, class.Hedge
	deadline := k.integer(HeaderDeadline, 1, maxDeadline.Milliseconds())
	if deadline == 0 && len(k.findings) == 0 {
		k.add(HeaderDeadline, "is missing")
	}
	c.Deadline = now.Add(time.Duration(deadline) * time.Millisecond)
	return c, mode, k.findings
}
