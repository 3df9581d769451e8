package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/transport"
)

// firstResponseBytes is the size of the first buffer for a response. It is part of requestBytes.
const firstResponseBytes = 4 << 10

// attempt is one dispatch of a request to an upstream, up to the start of a usable response or a failure.
type attempt struct {
	placed  *coordinator.Placed
	started time.Time
	cancel  context.CancelFunc

	resp         *transport.Response
	bodyStart    []byte // buffered start of the response body
	bodyComplete bool   // bodyStart is the whole body
	holder       *exchange
	held         int64 // bytes that holder has reserved for bodyStart
	report       placement.Report
	err          error // set when there is no usable response

	outcome placement.Outcome // set for a failure
	notRun  bool              // the upstream has certainly not run the request
}

// close releases the upstream connection of the attempt, unless reading the whole body has released it already.
func (a *attempt) close() {
	if a.held > 0 {
		a.holder.s.budget.Shrink(a.holder.memory, a.held)
		a.held = 0
	}
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.cancel()
}

// upstreamFailed reports whether the upstream responded with a 5xx status.
func (a *attempt) upstreamFailed() bool { return a.resp.StatusCode >= http.StatusInternalServerError }

// perform sends the request and buffers the response, or the start of a large one.
func (x *exchange) perform(ctx context.Context, p *coordinator.Placed) *attempt {
	a := &attempt{placed: p, started: time.Now(), holder: x}
	ctx, a.cancel = context.WithCancel(ctx)
	a.resp, a.err = x.send(ctx, p)
	if a.err != nil {
		var te *transport.Error
		if errors.As(a.err, &te) && te.Header != nil {
			a.report = x.s.opts.Names.Report(te.Status, te.Header)
		}
		a.report.Loss = lossOf(a.err)
		return a
	}
	a.report = x.s.opts.Names.Report(a.resp.StatusCode, a.resp.Header)
	x.readStart(a)
	a.report.Loss = lossOf(a.err)
	if a.err == nil && a.resp.StatusCode < 300 && a.resp.Header.Get(x.s.opts.Names.Stamp) == "" {
		a.err = errNoStamp
	}
	return a
}

// readStart buffers the response, or the start of one that is large or for which there is no memory.
func (x *exchange) readStart(a *attempt) {
	limit := maxBufferedResponse + 1
	if length := a.resp.ContentLength; length >= 0 {
		limit = int(min(length, maxBufferedResponse+1))
	}
	size := min(firstResponseBytes, limit)
	if a.resp.ContentLength >= 0 && limit > size && x.hold(int64(limit-size)) {
		a.held = int64(limit - size)
		size = limit
	}
	a.bodyStart = make([]byte, 0, size)
	for a.err == nil {
		if len(a.bodyStart) == cap(a.bodyStart) {
			if len(a.bodyStart) == limit {
				break
			}
			size = min(bodyGrowth*max(size, 1), limit)
			if !x.hold(int64(size - cap(a.bodyStart))) {
				return // the rest is passed on as the caller reads it
			}
			a.held += int64(size - cap(a.bodyStart))
			a.bodyStart = append(make([]byte, 0, size), a.bodyStart...)
		}
		var n int
		n, a.err = a.resp.Body.Read(a.bodyStart[len(a.bodyStart):cap(a.bodyStart)])
		a.bodyStart = a.bodyStart[:len(a.bodyStart)+n]
	}
	if a.err == nil && limit <= maxBufferedResponse {
		_, a.err = a.resp.Body.Read(make([]byte, 1)) // the end of the body releases the upstream connection
	}
	if errors.Is(a.err, io.EOF) {
		a.err, a.bodyComplete = nil, true
	}
}

// mayHedge reports whether the next attempt may be hedged, that is, accompanied by a second one at another upstream.
func (x *exchange) mayHedge() bool {
	return x.route.Kind.Idempotent() && x.streamed == nil && x.attempts+2 <= x.route.MaxAttempts
}

// performHedged performs an attempt and, when the leader grants a hedge, a second one concurrently. It returns the attempt
// with the first usable response, or the last failure. The other attempt is recorded.
func (x *exchange) performHedged(ctx context.Context, p *coordinator.Placed) *attempt {
	if p.Hedge == nil {
		return x.perform(ctx, p)
	}
	results := make(chan *attempt, 2)
	cancelFirst := x.startAttempt(ctx, p, results)
	select {
	case a := <-results:
		p.ReleaseHedge()
		return a
	case grant := <-p.Hedge:
		hedge := p.Second(grant)
		if hedge == nil {
			return <-results
		}
		x.logPlacement(hedge, time.Now())
		x.s.opts.Metrics.hedgeSent()
		cancelSecond := x.startAttempt(ctx, hedge, results)
		a := <-results
		if a.err != nil || a.upstreamFailed() {
			a = x.resolveAfterFailure(ctx, a, <-results)
			x.s.opts.Metrics.hedgeAnswered(a)
			return a
		}
		cancelLoser, winner := cancelSecond, "first"
		if a.placed == hedge {
			cancelLoser, winner = cancelFirst, "second"
		}
		cancelLoser()
		x.s.opts.Metrics.hedgeAnswered(a)
		x.s.opts.Metrics.hedges.WithLabelValues(winner).Inc()
		go func() { x.recordLoser(<-results) }()
		return a
	}
}

// startAttempt performs an attempt in a goroutine. The returned function cancels it.
func (x *exchange) startAttempt(ctx context.Context, p *coordinator.Placed, results chan<- *attempt) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		a := x.perform(ctx, p)
		cancelAttempt := a.cancel
		a.cancel = func() { cancelAttempt(); cancel() }
		results <- a
	}()
	return cancel
}

// resolveAfterFailure records one of two hedged attempts and returns the other one, when the attempt that ended first has
// failed. It returns the later attempt, unless only the failed one has a response.
func (x *exchange) resolveAfterFailure(ctx context.Context, failed, later *attempt) *attempt {
	x.s.opts.Metrics.hedges.WithLabelValues("later").Inc()
	if failed.err == nil && later.err != nil {
		failed, later = later, failed
	}
	failed.close() // before it is reported, which frees its slot
	if failed.err != nil {
		x.recordFailure(ctx, failed)
		return later
	}
	x.finish(failed, placement.Failure)
	x.recordFailedResponse(failed)
	x.countRun(failed.placed)
	return later
}

// recordLoser records the hedged attempt that was cancelled because the other one has responded. Its connection is closed before its
// end is reported, which frees its slot.
func (x *exchange) recordLoser(a *attempt) {
	a.close()
	x.s.opts.Metrics.hedgeWasted(time.Since(a.started))
	outcome := placement.Superseded
	if a.err == nil && !a.upstreamFailed() {
		outcome = placement.Success
	}
	x.finish(a, outcome)
	x.record("attempt", a.placed, outcome.String(), "", a.started)
}
