package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// fail finishes the exchange, closes the connection and classifies the error.
func (x *exchange) fail(err error) error {
	cause := x.cause(err)
	idle := x.idleFor()
	x.finish(false)
	kind := Unknown
	if x.written == 0 {
		kind = NothingWritten
	}
	e := x.newError(kind, cause, err)
	if cause == CauseConnectionLost {
		e.Reset = IsReset(err) || x.c.readReset || x.writeEnded() && IsReset(x.writeErr)
		e.ResponseBegun, e.IdleFor, e.After = x.c.received.Load(), idle, time.Since(x.start)
	}
	return e
}

func (x *exchange) newError(kind Kind, cause Cause, err error) *Error {
	if cause == CauseSilent {
		err = errSilent
	}
	return &Error{Kind: kind, Cause: cause, Address: x.c.connPool.address, Reused: x.reused, Written: x.written, Err: err}
}

func (x *exchange) cause(err error) Cause {
	switch {
	case x.c.silent.Load():
		return CauseSilent
	case x.ctx.Err() != nil:
		return contextCause(x.ctx)
	case x.requestBodyFailed():
		return CauseRequestBody
	case errors.Is(err, syscall.ETIMEDOUT):
		return CauseSilent // the kernel's keep-alive probes were not answered
	case isConnectionLost(err), isConnectionLost(x.c.readErr):
		return CauseConnectionLost
	}
	var netErr net.Error
	if errors.As(err, &netErr) {
		return CauseOther
	}
	return CauseMalformed
}

// requestBodyFailed reports whether reading the request body failed. It is false while the request is being written.
func (x *exchange) requestBodyFailed() bool {
	if !x.writeEnded() {
		return false
	}
	return x.body != nil && x.body.err != nil
}

func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE) || errors.Is(err, net.ErrClosed)
}

// idleFor returns the time for which a reused connection had carried nothing before the request. It is 0 for a new connection and once
// the header of the response has arrived.
func (x *exchange) idleFor() time.Duration {
	if !x.reused {
		return 0
	}
	x.c.connPool.mu.Lock()
	defer x.c.connPool.mu.Unlock()
	return max(0, x.start.Sub(x.c.lastResponse))
}

func contextCause(ctx context.Context) Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CauseDeadline
	}
	return CauseCancelled
}
