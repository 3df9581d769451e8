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

// attempt is one send of a request to an upstream, up to the beginning of a usable response or its failure.
type attempt struct {
	placed  *coordinator.Placed
	started time.Time
	cancel  context.CancelFunc

	resp  *transport.Response
	head  []byte // of the body
	whole bool   // head is the whole body
	load  *placement.Load
	err   error // no usable response

	outcome placement.Outcome // of a failure
	notRun  bool
}

// close releases the connection of the attempt. A body that was read in full has given it back already.
func (a *attempt) close() {
	if a.resp != nil {
		_ = a.resp.Body.Close()
	}
	a.cancel()
}

// failedThere reports whether the upstream answered with a failure of its own.
func (a *attempt) failedThere() bool { return a.resp.StatusCode >= http.StatusInternalServerError }

// perform sends the request and reads the response, of a large one the beginning.
func (x *exchange) perform(ctx context.Context, p *coordinator.Placed) *attempt {
	a := &attempt{placed: p, started: time.Now()}
	ctx, a.cancel = context.WithCancel(ctx)
	a.resp, a.err = x.send(ctx, p)
	if a.err != nil {
		var te *transport.Error
		if errors.As(a.err, &te) && te.Header != nil {
			a.load = x.s.o.Names.ParseLoad(te.Header.Get(x.s.o.Names.Load))
		}
		return a
	}
	a.load = x.s.o.Names.ParseLoad(a.resp.Header.Get(x.s.o.Names.Load))
	a.head, a.err = io.ReadAll(io.LimitReader(a.resp.Body, bufferedResponse+1))
	a.whole = a.err == nil && len(a.head) <= bufferedResponse
	if a.err == nil && a.resp.StatusCode < 300 && a.resp.Header.Get(x.s.o.Names.Stamp) == "" {
		a.err = errNoStamp
	}
	return a
}

// mayHedge reports whether a second attempt may run beside the next one.
func (x *exchange) mayHedge() bool {
	return x.route.Kind.Idempotent() && x.streamed == nil && x.attempts+2 <= x.route.MaxAttempts
}

// race performs an attempt, and a second one beside it when the leader grants that. It returns the first usable response, or
// the last failure; the other attempt is recorded.
func (x *exchange) race(ctx context.Context, p *coordinator.Placed) *attempt {
	if p.Hedge == nil {
		return x.perform(ctx, p)
	}
	results := make(chan *attempt, 2)
	endFirst := x.launch(ctx, p, results)
	select {
	case a := <-results:
		return a
	case g := <-p.Hedge:
		q := p.Second(g)
		x.logPlacement(q, time.Now())
		endSecond := x.launch(ctx, q, results)
		a := <-results
		if a.err != nil || a.failedThere() {
			return x.outlast(ctx, a, <-results)
		}
		endLoser, winner := endSecond, "first"
		if a.placed == q {
			endLoser, winner = endFirst, "second"
		}
		endLoser()
		x.s.o.Metrics.hedges.WithLabelValues(winner).Inc()
		go func() { x.endOutrun(<-results) }()
		return a
	}
}

// launch performs an attempt in a goroutine. The returned function gives it up.
func (x *exchange) launch(ctx context.Context, p *coordinator.Placed, results chan<- *attempt) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		a := x.perform(ctx, p)
		own := a.cancel
		a.cancel = func() { own(); cancel() }
		results <- a
	}()
	return cancel
}

// outlast returns the later one of two attempts, of which the first failed, unless only the first has a response.
func (x *exchange) outlast(ctx context.Context, failed, later *attempt) *attempt {
	x.s.o.Metrics.hedges.WithLabelValues("later").Inc()
	if failed.err == nil && later.err != nil {
		failed, later = later, failed
	}
	defer failed.close()
	if failed.err != nil {
		x.noteFailure(ctx, failed)
		return later
	}
	x.finish(failed, placement.Failure)
	x.recordFailedResponse(failed)
	x.countRun(failed.placed)
	return later
}

// endOutrun records the attempt that was given up because the other one has answered.
func (x *exchange) endOutrun(a *attempt) {
	defer a.close()
	outcome := placement.Superseded
	if a.err == nil && !a.failedThere() {
		outcome = placement.Success
	}
	x.finish(a, outcome)
	x.record("attempt", a.placed, outcome.String(), "", a.started)
}
