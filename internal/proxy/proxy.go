package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
)

// Config holds the limits of a Proxy. Zero fields take the defaults named beside them.
type Config struct {
	MaxBody     int64         // largest request body, 1 GiB
	ReplayLimit int64         // largest request body that is kept for retries, 64 KiB
	BodyStall   time.Duration // longest time without progress in reading a request body, 10 s
	WriteStall  time.Duration // longest time without progress in writing a response, 30 s
	MaxAttempts int           // maximum attempts of one call, 4
	MaxPools    int           // maximum pools tried for one call, 3
	Log         zerolog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxBody, 1<<30)
	setDefault(&c.ReplayLimit, 64<<10)
	setDefault(&c.BodyStall, 10*time.Second)
	setDefault(&c.WriteStall, 30*time.Second)
	setDefault(&c.MaxAttempts, 4)
	setDefault(&c.MaxPools, 3)
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Proxy serves calls of callers and calls forwarded by other entries. It is safe for concurrent use.
type Proxy struct {
	cfg  Config
	deps Deps
}

// New returns a Proxy. It starts no goroutine.
func New(cfg Config, deps Deps) *Proxy {
	return &Proxy{cfg: cfg.withDefaults(), deps: deps}
}

// ServeHTTP serves one call of a caller. It implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	out := newResponder(p, w, r)
	defer out.recoverPanic()
	call, findings := p.newCall(r, now)
	if len(findings) > 0 {
		out.sendLocalReply(localReply{outcome: NotRun, reason: ReasonInvalid, findings: findings})
		return
	}
	p.serve(out, r, call, false)
}

// serve reads the replayable part of the body, applies the deadline and runs the call.
func (p *Proxy) serve(out *responder, r *http.Request, call *Call, forwarded bool) {
	out.call = call
	out.resend = out.resend && call.registered()
	body, err := p.openBody(out, r, call)
	if err != nil {
		out.sendLocalReply(localReply{outcome: NotRun, reason: ReasonRequestBody, err: err})
		return
	}
	defer body.close()
	parent := r.Context()
	if call.registered() {
		// A resend gets the result of this attempt, so the attempt continues when its caller disconnects.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, call.Deadline)
	defer cancel()
	if call.registered() {
		p.serveRegistered(ctx, out, r, call, body, forwarded)
		return
	}
	p.execute(ctx, out, r, call, body, nil)
}
