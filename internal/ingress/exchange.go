package ingress

import (
	"bytes"
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
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/internal/transport"
)

const (
	// answerMargin is kept from the deadline so that the last answer still reaches the caller.
	answerMargin = 12 * time.Millisecond
	// maxRefusedTries bounds the upstreams that may refuse one request.
	maxRefusedTries = 3
	// bufferedResponse is the largest response that is read in full before the caller gets its first byte. Until then a
	// response that breaks off can be replaced by another attempt.
	bufferedResponse = 128 << 10
	// configWait is how long a request waits for the first configuration. The store answers within a few milliseconds.
	configWait = 120 * time.Millisecond
	// unknownRetryAfter is told while this entry knows no configuration.
	unknownRetryAfter = 200 * time.Millisecond
)

// exchange is one request of a caller and its response.
type exchange struct {
	conn     *conn
	s        *Server
	req      *http.Request
	arrived  time.Time
	turn     chan struct{} // closed when the response before this one is written
	ended    chan struct{}
	number   int
	body     []byte
	streamed *streamedBody
	reject   int // status of a request that can't be accepted

	id        string
	config    *gateway.Config
	route     *gateway.Route
	service   string
	deadline  time.Time
	objective time.Time
	attempts  int // upstreams that may have run the request
	refusals  int // upstreams that refused it
	exclude   []string
	print     uint64
	first     bool  // the caller has not been refused before, so it will come back after a refusal
	lost      error // failure of an attempt that may have run
}

// run answers the request.
func (x *exchange) run() {
	defer func() {
		if x.streamed != nil {
			x.streamed.release()
		}
		x.conn.answered()
		close(x.ended)
		<-x.conn.slots
	}()
	if x.reject != 0 {
		x.answer(x.reject, 0, true, "not-accepted")
		return
	}
	if !x.admit() {
		return
	}
	ctx, cancel := context.WithDeadline(x.conn.ctx, x.deadline)
	defer cancel()
	for x.try(ctx) {
	}
}

// admit finds the route and the times of the request. It answers a request that can't be routed.
func (x *exchange) admit() bool {
	x.id = x.req.Header.Get(x.s.o.Names.RequestID)
	x.config = x.s.o.Placer.AwaitConfig(x.conn.ctx, configWait)
	if x.config == nil {
		x.answer(http.StatusServiceUnavailable, unknownRetryAfter, false, "no-configuration")
		return false
	}
	if x.req.Host == "" || x.id == "" || !strings.HasPrefix(x.req.RequestURI, "/") {
		x.answer(http.StatusBadRequest, 0, true, "malformed")
		return false
	}
	x.route = x.config.Match(x.req.Host, x.req.URL.Path)
	if x.route == nil {
		x.answer(http.StatusNotFound, 0, false, "no-route")
		return false
	}
	wait := x.route.Timeout
	if ms, err := strconv.ParseInt(x.req.Header.Get(x.s.o.Names.DeadlineMs), 10, 64); err == nil && ms >= 0 {
		d := time.Duration(ms) * time.Millisecond
		x.first = x.s.returns.observe(x.route.Name, d)
		if wait == 0 || d < wait {
			wait = d
		}
	}
	x.deadline = x.arrived.Add(wait - answerMargin)
	x.objective = x.arrived.Add(x.route.Objective - answerMargin)
	x.service = x.s.splits.choose(x.config.Version, x.route)
	dropConnectionHeaders(x.req.Header)
	x.print = fingerprint(x.req, x.conn.caller, x.body)
	return true
}

// fingerprint tells a request that comes again from others: by caller, method, path and body.
func fingerprint(req *http.Request, caller string, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(caller) // never fails
	_, _ = h.WriteString(req.Method)
	_, _ = h.WriteString(req.Host)
	_, _ = h.WriteString(req.RequestURI)
	_, _ = h.Write(body)
	return h.Sum64()
}

// try makes one attempt, or two beside each other, and reports whether another one should follow.
func (x *exchange) try(ctx context.Context) (again bool) {
	asked := time.Now()
	p, err := x.s.o.Placer.Place(ctx, x.ask(), x.objective, x.deadline)
	if err != nil {
		x.notPlaced(err)
		return false
	}
	x.logPlacement(p, asked)
	x.s.o.Metrics.waited.Observe(p.Waited.Seconds())
	a := x.race(ctx, p)
	defer a.close()
	if a.err != nil {
		x.noteFailure(ctx, a)
		return x.afterFailure(ctx, a)
	}
	return x.respond(ctx, a)
}

func (x *exchange) ask() coordinator.Ask {
	return coordinator.Ask{
		RequestID: x.id, Service: x.service, Route: x.route.Name, DataCentre: x.s.o.DataCentre, Large: x.route.Kind == gateway.Download,
		Priority: x.route.Priority, Attempt: 1 + x.attempts + x.refusals, Exclude: x.exclude, Fingerprint: x.print, Returns: x.first,
		MayHedge: x.mayHedge(),
	}
}

func (x *exchange) notPlaced(err error) {
	var refused *coordinator.RefusedError
	switch {
	case errors.As(err, &refused) && x.lost != nil:
		x.answer(http.StatusBadGateway, 0, false, "lost")
	case errors.As(err, &refused):
		x.s.o.Metrics.refusals.WithLabelValues(string(refused.Reason)).Inc()
		x.answer(http.StatusServiceUnavailable, refused.RetryAfter, false, string(refused.Reason))
	case x.conn.ctx.Err() != nil:
		x.note("cancelled", "caller-left")
	case x.lost != nil:
		x.answer(http.StatusGatewayTimeout, 0, false, "deadline")
	default:
		x.answer(http.StatusServiceUnavailable, 0, false, "deadline")
	}
}

// send passes the request on to the upstream that it was placed on.
func (x *exchange) send(ctx context.Context, p *coordinator.Placed) (*transport.Response, error) {
	names := &x.s.o.Names
	header := x.req.Header.Clone()
	left := time.Until(x.deadline)
	header.Set(names.DeadlineMs, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	header.Set(names.ExpectInstance, p.Upstream)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	path, query, found := strings.Cut(x.req.RequestURI, "?")
	out := &http.Request{
		Method: x.req.Method, Host: x.req.Host, Header: header,
		URL: &url.URL{Scheme: "http", Host: x.req.Host, Opaque: path, RawQuery: query, ForceQuery: found && query == ""},
	}
	switch {
	case x.streamed != nil:
		if !x.streamed.take() {
			return nil, errBodyGone
		}
		out.Body, out.ContentLength = x.streamed, x.req.ContentLength
	case len(x.body) > 0:
		out.Body, out.ContentLength = memoryBody{bytes.NewReader(x.body)}, int64(len(x.body))
	}
	return x.s.o.Transport.RoundTrip(transport.WithRoute(ctx, x.route.Name), p.Address, out, x.route.Kind.Idempotent())
}

var errBodyGone = errors.New("the body was sent already")

// finish reports the end of an attempt to the leader and counts it.
func (x *exchange) finish(a *attempt, outcome placement.Outcome) {
	a.placed.Finish(outcome, time.Since(a.started), a.load)
	x.s.o.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
}

// noteFailure records an attempt without a usable response.
func (x *exchange) noteFailure(ctx context.Context, a *attempt) {
	a.outcome, a.notRun = x.classify(ctx, a.err)
	x.finish(a, a.outcome)
	x.record("attempt", a.placed, a.outcome.String(), a.err.Error()+loadText(a.load), a.started)
	x.exclude = append(x.exclude, a.placed.Upstream)
	if a.notRun {
		x.refusals++
	} else {
		x.attempts++
		x.lost = a.err
	}
}

// afterFailure answers the caller, unless another attempt should follow.
func (x *exchange) afterFailure(ctx context.Context, a *attempt) (again bool) {
	if x.conn.ctx.Err() != nil {
		x.note("cancelled", "caller-left")
		return false
	}
	if x.mayRepeat(ctx, a.notRun) {
		return true
	}
	switch {
	case x.lost == nil:
		x.answer(http.StatusServiceUnavailable, placement.MinRetryAfter, false, a.outcome.String())
	case ctx.Err() != nil:
		x.answer(http.StatusGatewayTimeout, 0, false, a.outcome.String())
	default:
		x.answer(http.StatusBadGateway, 0, false, a.outcome.String())
	}
	return false
}

// loadText shows what the upstream said of its load with a refusal.
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
		return placement.Elsewhere, true
	case te.Kind == transport.UpstreamNotRun:
		return placement.NotRun, true
	case te.Kind == transport.ConnectFailed:
		return placement.ConnectFailed, true
	case te.Kind == transport.NothingWritten:
		return placement.Cancelled, true
	case ctx.Err() != nil, te.Cause == transport.CauseSilent:
		return placement.Silent, false
	}
	return placement.Lost, false
}

func (x *exchange) mayRepeat(ctx context.Context, notRun bool) bool {
	if ctx.Err() != nil || x.streamed != nil {
		return false
	}
	if notRun {
		return x.refusals < maxRefusedTries && (x.lost == nil || x.route.Kind.Idempotent())
	}
	return x.route.Kind.Idempotent() && x.attempts < x.route.MaxAttempts
}

// respond returns the upstream's response to the caller, or tries again when it is a failure that may pass.
func (x *exchange) respond(ctx context.Context, a *attempt) (again bool) {
	outcome := placement.Success
	if a.failedThere() {
		outcome = placement.Failure
	}
	if a.whole {
		x.finish(a, outcome)
		if outcome == placement.Failure && x.repeatFailure(ctx, a.placed) {
			x.recordFailedResponse(a)
			return true
		}
		_ = x.deliver(a, nil) // recorded, and the caller has left
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

// deliver writes the response and records how that ended.
func (x *exchange) deliver(a *attempt, rest io.Reader) error {
	err := x.write(a.resp, a.head, rest)
	if err != nil {
		x.record("response", a.placed, "cut", err.Error(), a.started)
		return err
	}
	x.record("response", a.placed, strconv.Itoa(a.resp.StatusCode), "", a.started)
	return nil
}

var errNoStamp = errors.New("a success without the upstream's signature")

// recordFailedResponse logs an attempt whose response was a failure and is not passed on.
func (x *exchange) recordFailedResponse(a *attempt) {
	x.record("attempt", a.placed, placement.Failure.String(), strconv.Itoa(a.resp.StatusCode), a.started)
}

// countRun counts an attempt that the upstream ran, and keeps further attempts off that upstream.
func (x *exchange) countRun(p *coordinator.Placed) {
	x.attempts++
	x.exclude = append(x.exclude, p.Upstream)
}

// repeatFailure reports whether a failure of an upstream is worth a second attempt.
func (x *exchange) repeatFailure(ctx context.Context, p *coordinator.Placed) bool {
	x.countRun(p)
	if !x.mayRepeat(ctx, false) || time.Now().After(x.objective) {
		return false
	}
	x.lost = errUpstreamFailed
	return true
}

var errUpstreamFailed = errors.New("the upstream answered with a failure")

func (x *exchange) logPlacement(p *coordinator.Placed, asked time.Time) {
	b := make([]byte, 0, 128)
	b = append(b, "route="...)
	b = append(b, x.route.Name...)
	b = append(b, " config="...)
	b = strconv.AppendUint(b, x.config.Version, 10)
	b = append(b, " attempt="...)
	b = strconv.AppendInt(b, int64(1+x.attempts+x.refusals), 10)
	b = append(b, " pace="...)
	b = strconv.AppendFloat(b, p.Pace, 'f', 2, 64)
	b = append(b, " paceAgeMs="...)
	b = strconv.AppendInt(b, p.PaceAge.Milliseconds(), 10)
	b = append(b, " running="...)
	b = strconv.AppendInt(b, int64(p.Running), 10)
	b = append(b, " waitedMs="...)
	b = strconv.AppendInt(b, time.Since(asked).Milliseconds(), 10)
	if p.Cold {
		b = append(b, " cold=true"...)
	}
	if placement.IsHedge(p.Ask) {
		b = append(b, " hedge=true"...)
	}
	x.s.o.Decisions.Record(time.Now(), telemetry.Decision{
		Kind: "placement", RequestID: x.id, Service: x.service, Upstream: p.Upstream, Outcome: "granted", Reason: p.Mode, Inputs: string(b),
		Routine: x.attempts+x.refusals == 0,
	})
}

func (x *exchange) record(kind string, p *coordinator.Placed, outcome, reason string, started time.Time) {
	now := time.Now()
	inputs := "ms=" + strconv.FormatInt(now.Sub(started).Milliseconds(), 10) + " totalMs=" + strconv.FormatInt(now.Sub(x.arrived).Milliseconds(), 10)
	x.s.o.Decisions.Record(now, telemetry.Decision{
		Kind: kind, RequestID: x.id, Service: x.service, Upstream: p.Upstream, Outcome: outcome, Reason: reason, Inputs: inputs,
		Routine: kind == "response" && x.attempts+x.refusals == 0 && now.Before(x.objective) && outcome == "200",
	})
}

// note records the end of a request that no upstream answered.
func (x *exchange) note(outcome, reason string) {
	inputs := "totalMs=" + strconv.FormatInt(time.Since(x.arrived).Milliseconds(), 10) + " tries=" + strconv.Itoa(x.attempts+x.refusals)
	if x.config != nil {
		inputs += " config=" + strconv.FormatUint(x.config.Version, 10)
	}
	if x.route != nil {
		inputs += " route=" + x.route.Name
	}
	x.s.o.Decisions.Record(time.Now(), telemetry.Decision{
		Kind: "response", RequestID: x.id, Service: x.service, Outcome: outcome, Reason: reason, Inputs: inputs,
	})
}
