package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// try makes one attempt, hedged if the policy says so. Only first attempts of idempotent calls whose body is in memory
// are hedged.
func (p *Proxy) try(ctx context.Context, r *http.Request, call *Call, pool Pool, body *replay) *attempt {
	if !call.Idempotent || !call.Hedgeable || call.Attempt > 1 || !body.inMemory() {
		return p.attemptAt(ctx, r, call, pool, body)
	}
	delay, ok := p.deps.Retries.HedgeAfter(time.Now(), call)
	if !ok {
		return p.attemptAt(ctx, r, call, pool, body)
	}
	h := &hedger{p: p, r: r, body: body, results: make(chan *attempt, 2)}
	return h.run(ctx, call, pool, delay)
}

// hedger runs up to two attempts of one call.
type hedger struct {
	p       *Proxy
	r       *http.Request
	body    *replay
	results chan *attempt
	cancels []context.CancelFunc
	granted atomic.Pointer[string] // upstream of the first attempt
}

func (h *hedger) run(ctx context.Context, call *Call, pool Pool, delay time.Duration) *attempt {
	first := *call
	first.onGrant = func(upstream string) { h.granted.Store(&upstream) }
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
	if upstream := h.granted.Load(); upstream != nil {
		hedge.Exclude = append(hedge.Exclude[:len(hedge.Exclude):len(hedge.Exclude)], *upstream)
	}
	h.start(ctx, hedge, second)
	call.Retried = true
	return h.first()
}

// start runs an attempt on a copy of the call, since both attempts run at the same time.
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

// attempt turns a panic into a failed attempt, since it would end the process outside of a handler's goroutine.
func (h *hedger) attempt(ctx context.Context, call *Call, pool Pool) (a *attempt) {
	defer func() {
		if cause := recover(); cause != nil {
			h.p.cfg.Log.Error().Interface("panic", cause).Str("request_id", call.RequestID).Msg("attempt panicked")
			a = &attempt{call: call, pool: pool, tried: FailedAttempt{Pool: pool, Outcome: Unknown, Reason: ReasonPanic}}
		}
	}()
	return h.p.attemptAt(ctx, h.r, call, pool, h.body)
}

// first returns the first attempt with a response and cancels the other one, or the last one if neither has any.
func (h *hedger) first() *attempt {
	a := <-h.results
	if a.resp == nil {
		return worse(a, <-h.results)
	}
	h.cancels[1-a.index]()
	go func() {
		if other := <-h.results; other.resp != nil {
			other.finish(h.p, ResultCancelled)
		}
	}()
	return a
}

// worse returns b unless b has no response and only a may have run.
func worse(a, b *attempt) *attempt {
	if b.resp == nil && a.tried.Outcome == Unknown {
		return a
	}
	return b
}
