package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// makeAttempt makes one attempt, hedged if the policy allows it. Only first attempts of idempotent calls whose body is in
// memory are hedged.
func (p *Proxy) makeAttempt(ctx context.Context, r *http.Request, call *Call, pool Pool, body *replay) *attempt {
	if !call.Idempotent || !call.Hedgeable || call.Attempt > 1 || !body.inMemory() {
		return p.attemptUnhedged(ctx, r, call, pool, body)
	}
	delay, ok := p.deps.Retries.HedgeAfter(time.Now(), call)
	if !ok {
		return p.attemptUnhedged(ctx, r, call, pool, body)
	}
	h := &hedger{p: p, r: r, body: body, results: make(chan *attempt, 2)}
	return h.run(ctx, call, pool, delay)
}

// hedger runs up to two attempts of one call.
type hedger struct {
	p             *Proxy
	r             *http.Request
	body          *replay
	results       chan *attempt
	cancels       []context.CancelFunc
	firstUpstream atomic.Pointer[string] // upstream granted to the first attempt
}

func (h *hedger) run(ctx context.Context, call *Call, pool Pool, delay time.Duration) *attempt {
	first := *call
	first.onGrant = func(upstream string) { h.firstUpstream.Store(&upstream) }
	h.start(ctx, first, pool)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case a := <-h.results:
		return a
	case <-timer.C:
	}
	if !h.p.deps.Retries.MayHedge(time.Now(), call) {
		return <-h.results
	}
	second, ok := h.p.deps.Pools.Choose(time.Now(), call, nil)
	if !ok {
		return <-h.results
	}
	hedge := *call
	hedge.Hedge = true
	if upstream := h.firstUpstream.Load(); upstream != nil {
		hedge.Exclude = append(hedge.Exclude[:len(hedge.Exclude):len(hedge.Exclude)], *upstream)
	}
	h.start(ctx, hedge, second)
	call.Retried = true
	return h.first()
}

// start runs an attempt in a goroutine, on a copy of the call, since both attempts may run at the same time.
func (h *hedger) start(ctx context.Context, call Call, pool Pool) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(h.cancels)
	h.cancels = append(h.cancels, cancel)
	go func() {
		a := h.attempt(ctx, &call, pool)
		a.cancel = cancel
		a.index = index
		if a.resp == nil {
			cancel()
		}
		h.results <- a
	}()
}

// attempt makes an attempt and converts a panic to a failure, since net/http recovers panics only in the handler's
// goroutine.
func (h *hedger) attempt(ctx context.Context, call *Call, pool Pool) (a *attempt) {
	defer func() {
		if cause := recover(); cause != nil {
			h.p.cfg.Log.Error().Interface("panic", cause).Str("request_id", call.RequestID).Msg("attempt panicked")
			a = &attempt{call: call, pool: pool, tried: FailedAttempt{Pool: pool, Outcome: Unknown, Reason: ReasonPanic}}
		}
	}()
	return h.p.attemptUnhedged(ctx, h.r, call, pool, h.body)
}

// first returns the first attempt with a response and cancels the other one. If neither has a response, it returns
// the one chosen by preferredResult.
func (h *hedger) first() *attempt {
	a := <-h.results
	if a.resp == nil {
		return preferredResult(a, <-h.results)
	}
	h.cancels[1-a.index]()
	go func() {
		if other := <-h.results; other.resp != nil {
			other.finish(h.p, ResultCancelled)
		}
	}()
	return a
}

// preferredResult chooses between a, which has no response, and b: it returns a if a may have run and b has no response
// either, otherwise b.
func preferredResult(a, b *attempt) *attempt {
	if b.resp == nil && a.tried.Outcome == Unknown {
		return a
	}
	return b
}
