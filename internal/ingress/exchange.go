package ingress

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/membudget"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/transport"
)

const (
	// responseMargin is subtracted from the deadline so that a late response still reaches the caller in time.
	responseMargin = 12 * time.Millisecond
	// maxRefusals bounds the upstreams that may refuse one request.
	maxRefusals = 3
	// maxBufferedResponse is the largest response in bytes that is read in full before the caller gets its first byte.
	// Until then a truncated response can be replaced by a retry.
	maxBufferedResponse = 128 << 10
	// configWait is how long a request waits for the first configuration. The store answers within a few milliseconds.
	configWait = 120 * time.Millisecond
	// noConfigRetryAfter is the Retry-After time of replies while this entry knows no configuration.
	noConfigRetryAfter = 200 * time.Millisecond
	// reasonStopping names refusals during a shutdown in the log and the metrics.
	reasonStopping = "stopping"
)

// exchange is a request of a caller and its response.
type exchange struct {
	conn         *conn
	s            *Server
	req          *http.Request
	arrived      time.Time
	previousDone chan struct{} // closed when the previous response of the connection is written
	// previousPassed is closed when this request may be passed on, passed when the next one of the connection may. A request behind a
	// download waits until that is written: if it breaks off, the connection closes, and no response behind it can be delivered.
	previousPassed chan struct{}
	passed         chan struct{}
	done           chan struct{} // closed when this response is written
	number         int           // sequence number of the request on its connection, from 1
	body           []byte
	streamed       *streamedBody
	rejectStatus   int // status of the reply to a request that can't be accepted, or 0
	rejectReason   string
	rejectRetry    time.Duration
	memory         *membudget.Account
	// streamCtx is the parent of the attempts' contexts of a streamed body, which stop ends when the request is evicted.
	streamCtx context.Context
	stop      context.CancelFunc

	id            string
	config        *gateway.Config
	route         *gateway.Route
	account       *gateway.Account // nil if the request belongs to none
	service       string
	deadline      time.Time
	objective     time.Time
	attempts      int // upstreams that may have run the request
	refusals      int // upstreams that refused it
	exclude       []string
	print         uint64 // fingerprint of the request
	firstTry      bool   // not a retry of the caller, so the caller is expected to retry if refused now
	repeated      bool   // a retry of the caller, whose objective is counted from its first try
	mayHaveRunErr error  // error of the last attempt that ran or may have run the request
}

// run handles the request until it is answered or the caller has disconnected.
func (x *exchange) run() {
	defer func() {
		x.letNextPass()
		if x.streamed != nil {
			x.streamed.signalDone()
			x.stop()
		}
		x.s.budget.Close(time.Now(), x.memory)
		x.conn.requestDone()
		close(x.done)
		<-x.conn.pipelineSlots
	}()
	if x.rejectStatus != 0 {
		x.localReply(x.rejectStatus, x.rejectRetry, true, cmp.Or(x.rejectReason, "not-accepted"))
		return
	}
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(x.attemptContext(), x.deadline)
	defer cancel()
	if !x.awaitPass(ctx) {
		return
	}
	for x.try(ctx) {
	}
}

// awaitPass waits until the request may be passed on. If its time ends before, it replies and returns false.
func (x *exchange) awaitPass(ctx context.Context) bool {
	select {
	case <-x.previousPassed:
	case <-ctx.Done():
		x.answerNotPlaced(ctx.Err())
		return false
	}
	if x.route.Kind != gateway.Download {
		x.letNextPass()
	}
	return true
}

// letNextPass lets the next request of the connection be passed on. Only the goroutine of the exchange calls it.
func (x *exchange) letNextPass() {
	select {
	case <-x.passed:
	default:
		close(x.passed)
	}
}

// admit determines the route, deadline, latency objective and service of the request. It replies to a request that can't be
// routed and returns false.
func (x *exchange) admit() bool {
	x.id = x.req.Header.Get(x.s.opts.Names.RequestID)
	x.config = x.s.opts.Placer.AwaitConfig(x.conn.ctx, configWait)
	if x.config == nil {
		x.localReply(http.StatusServiceUnavailable, noConfigRetryAfter, false, "no-configuration")
		return false
	}
	if x.req.Host == "" || x.id == "" || !strings.HasPrefix(x.req.RequestURI, "/") || !hasExactTarget(x.req) {
		x.localReply(http.StatusBadRequest, 0, true, "malformed")
		return false
	}
	x.route = x.config.Match(x.req.Host, x.req.URL.Path)
	if x.route == nil {
		x.localReply(http.StatusNotFound, 0, false, "no-route")
		return false
	}
	if !x.identifyAccount() {
		return false
	}
	wait := x.route.Timeout
	var spent time.Duration // since the caller's first try
	if ms, err := strconv.ParseInt(x.req.Header.Get(x.s.opts.Names.DeadlineMs), 10, 64); err == nil && ms >= 0 {
		d := time.Duration(ms) * time.Millisecond
		x.firstTry, spent = x.s.retryDetector.observe(x.route.Name, d)
		x.s.opts.Metrics.countTry(x.firstTry)
		if wait == 0 || d < wait {
			wait = d
		}
	}
	x.deadline = x.arrived.Add(wait - responseMargin)
	if x.s.shutdown.Load().refuses(time.Now(), x.deadline) {
		x.s.opts.Metrics.refusals.WithLabelValues(reasonStopping).Inc()
		x.localReply(http.StatusServiceUnavailable, stoppingRetryAfter, false, reasonStopping)
		return false
	}
	x.objective = x.arrived.Add(x.route.Objective - responseMargin)
	if x.s.opts.ObjectiveFromFirstTry && spent > 0 {
		x.repeated = true
		x.objective = x.objective.Add(-spent)
	}
	x.service = x.s.splits.choose(x.config.Version, x.route)
	removeHopByHopHeaders(x.req.Header)
	x.replaceAccountHeaders()
	x.print = fingerprint(x.req, x.bodyStart())
	return true
}

// fingerprint hashes method, host, URI and body of a request, to recognise when it is repeated. The address of the caller is left out:
// one client account sends the same request from many addresses.
func fingerprint(req *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(req.Method) // never fails
	_, _ = h.WriteString(req.Host)
	_, _ = h.WriteString(req.RequestURI)
	_, _ = h.Write(body)
	return h.Sum64()
}

// bodyStart returns the body, or as much of a large one as was read before the first attempt.
func (x *exchange) bodyStart() []byte {
	if x.streamed != nil {
		return x.streamed.start
	}
	return x.body
}

// try makes one attempt, or two hedged ones, and reports whether a retry should follow.
func (x *exchange) try(ctx context.Context) (again bool) {
	asked := time.Now()
	p, err := x.s.opts.Placer.Place(ctx, x.placementAsk(), x.objective, x.deadline)
	if err != nil {
		x.answerNotPlaced(err)
		return false
	}
	x.logPlacement(p, asked)
	x.s.opts.Metrics.placementWait.Observe(p.Waited.Seconds())
	a := x.performHedged(ctx, p)
	defer a.close()
	if a.err != nil {
		x.recordFailure(ctx, a)
		return x.afterFailure(ctx, a)
	}
	return x.respond(ctx, a)
}

func (x *exchange) placementAsk() coordinator.Ask {
	return coordinator.Ask{
		RequestID: x.id, Service: x.service, Route: x.route.Name, DataCentre: x.s.opts.DataCentre, Large: x.route.Kind == gateway.Download,
		Priority: x.priority(), Account: x.accountName(), Attempt: 1 + x.attempts + x.refusals, Exclude: x.exclude, Fingerprint: x.print, Returns: x.firstTry,
		MayHedge: x.mayHedge(), TransferBytes: x.transferBytes(), RequestBytes: x.requestBytes(), Repeated: x.repeated,
	}
}

func (x *exchange) answerNotPlaced(err error) {
	var refused *coordinator.RefusedError
	switch {
	case errors.As(err, &refused) && x.mayHaveRunErr != nil:
		x.localReply(http.StatusBadGateway, 0, false, "lost")
	case errors.As(err, &refused):
		x.s.opts.Metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
		x.localReply(http.StatusServiceUnavailable, refused.RetryAfter, false, string(refused.Reason))
	case x.conn.ctx.Err() != nil:
		x.recordUnserved("cancelled", "caller-left")
	case x.evictedUnsent():
		x.s.opts.Metrics.refusals.WithLabelValues(reasonMemory).Inc()
		x.localReply(http.StatusServiceUnavailable, memoryRetryAfter, true, reasonMemory)
	case x.mayHaveRunErr != nil:
		x.localReply(http.StatusGatewayTimeout, 0, false, "deadline")
	default:
		x.localReply(http.StatusServiceUnavailable, 0, false, "deadline")
	}
}

// send forwards the request to the upstream that it was placed on.
func (x *exchange) send(ctx context.Context, p *coordinator.Placed) (*transport.Response, error) {
	names := &x.s.opts.Names
	header := x.req.Header.Clone()
	left := time.Until(x.deadline)
	header.Set(names.DeadlineMs, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(names.ExpectInstance, p.Upstream)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // prevents net/http from adding its default
	}
	out := &http.Request{Method: x.req.Method, Host: x.req.Host, Header: header, URL: requestTarget(x.req)}
	switch {
	case x.streamed != nil:
		if !x.streamed.claim() {
			return nil, errBodySent
		}
		out.Body, out.ContentLength = x.streamed, x.req.ContentLength
	case len(x.body) > 0:
		out.Body, out.ContentLength = memoryBody{bytes.NewReader(x.body)}, int64(len(x.body))
	}
	return x.s.opts.Transport.RoundTrip(ctx, p.Address, out, x.route.Kind.Idempotent())
}

// requestTarget returns a URL that is written as the target of the request that was read, byte by byte, if hasExactTarget.
func requestTarget(req *http.Request) *url.URL {
	path, query, found := strings.Cut(req.RequestURI, "?")
	u := &url.URL{Scheme: "http", Host: req.Host, RawQuery: query, ForceQuery: found && query == ""}
	if strings.HasPrefix(path, "//") {
		// An opaque part with two slashes would be taken as authority and path. An encoded path is kept if it is valid.
		u.Path, u.RawPath = req.URL.Path, path
	} else {
		u.Opaque = path
	}
	return u
}

// hasExactTarget reports whether the target of a request can be forwarded unchanged.
func hasExactTarget(req *http.Request) bool {
	return !strings.HasPrefix(req.RequestURI, "//") || requestTarget(req).RequestURI() == req.RequestURI
}

var errBodySent = errors.New("the body was sent already")

// finish reports the end of an attempt to the leader and counts it.
func (x *exchange) finish(a *attempt, outcome placement.Outcome) {
	if transport.IsNotRun(a.err) || errors.Is(a.err, errBodySent) {
		a.placed.NotRun()
	}
	a.placed.Finish(outcome, time.Since(a.started), &a.report)
	x.s.opts.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
}

// recordFailure records an attempt without a usable response.
func (x *exchange) recordFailure(ctx context.Context, a *attempt) {
	a.outcome, a.notRun = x.classify(ctx, a.err)
	x.finish(a, a.outcome)
	x.record("attempt", a.placed, a.outcome.String(), a.err.Error()+loadText(a.report.Load)+lossText(a.report.Loss), a.started)
	x.exclude = append(x.exclude, a.placed.Upstream)
	if a.notRun {
		x.refusals++
	} else {
		x.attempts++
		x.mayHaveRunErr = a.err
	}
}

// afterFailure reports whether a retry should follow a failed attempt, and otherwise replies to the caller.
func (x *exchange) afterFailure(ctx context.Context, a *attempt) (again bool) {
	if x.conn.ctx.Err() != nil {
		x.recordUnserved("cancelled", "caller-left")
		return false
	}
	if x.mayRetry(ctx, a.notRun) {
		return true
	}
	switch {
	case x.mayHaveRunErr == nil:
		x.localReply(http.StatusServiceUnavailable, placement.MinRetryAfter, false, a.outcome.String())
	case ctx.Err() != nil:
		x.localReply(http.StatusGatewayTimeout, 0, false, a.outcome.String())
	default:
		x.localReply(http.StatusBadGateway, 0, false, a.outcome.String())
	}
	return false
}

// loadText formats the load that an upstream reported with a failure.
func loadText(l *placement.Load) string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf(" (load %d running, %d waiting, %d slots)", l.Running, l.Waiting, l.Slots)
}

func (x *exchange) classify(ctx context.Context, err error) (outcome placement.Outcome, notRun bool) {
	var te *transport.Error
	if !errors.As(err, &te) {
		return placement.Lost, false
	}
	switch {
	case x.conn.ctx.Err() != nil:
		return placement.Cancelled, te.NotRun()
	case te.Kind == transport.UpstreamNotRun && te.Status == http.StatusMisdirectedRequest:
		return placement.WrongInstance, true
	case te.Kind == transport.UpstreamNotRun:
		return placement.NotRun, true
	case te.Kind == transport.ConnectFailed:
		return placement.ConnectFailed, true
	case te.Kind == transport.NothingWritten:
		return placement.Cancelled, true
	case ctx.Err() != nil, te.Cause == transport.CauseSilent:
		return placement.TimedOut, false
	}
	return placement.Lost, false
}

func (x *exchange) mayRetry(ctx context.Context, notRun bool) bool {
	if ctx.Err() != nil || x.streamed != nil {
		return false
	}
	if notRun {
		return x.refusals < maxRefusals && (x.mayHaveRunErr == nil || x.route.Kind.Idempotent())
	}
	return x.route.Kind.Idempotent() && x.attempts < x.route.MaxAttempts
}

// respond returns the upstream's response to the caller, or reports that a retry should follow a 5xx response.
func (x *exchange) respond(ctx context.Context, a *attempt) (again bool) {
	outcome := placement.Success
	if a.upstreamFailed() {
		outcome = placement.Failure
	}
	x.observeSize(a)
	if a.bodyComplete {
		x.finish(a, outcome)
		if outcome == placement.Failure && x.retryFailedResponse(ctx, a.placed) {
			x.recordFailedResponse(a)
			return true
		}
		_ = x.deliver(a, nil) // recorded by deliver; the caller has disconnected
		return false
	}
	if x.deliver(a, a.resp.Body) != nil {
		outcome = placement.Lost
		if x.conn.ctx.Err() != nil {
			outcome = placement.Cancelled
		}
	}
	x.finish(a, outcome)
	return false
}

// deliver writes the response and records the result.
func (x *exchange) deliver(a *attempt, rest io.Reader) error {
	err := x.writeResponse(a.resp, a.bodyStart, rest)
	if err != nil {
		x.record("response", a.placed, "cut", err.Error(), a.started)
		return err
	}
	x.record("response", a.placed, strconv.Itoa(a.resp.StatusCode), "", a.started)
	return nil
}

var errNoStamp = errors.New("a success without the upstream's signature")

// countRun counts an attempt that the upstream ran, and excludes the upstream from further attempts.
func (x *exchange) countRun(p *coordinator.Placed) {
	x.attempts++
	x.exclude = append(x.exclude, p.Upstream)
}

// retryFailedResponse counts an attempt with a 5xx response and reports whether a retry should follow.
func (x *exchange) retryFailedResponse(ctx context.Context, p *coordinator.Placed) bool {
	x.countRun(p)
	if !x.mayRetry(ctx, false) || time.Now().After(x.objective) {
		return false
	}
	x.mayHaveRunErr = errUpstreamFailed
	return true
}

var errUpstreamFailed = errors.New("the upstream answered with a failure")
