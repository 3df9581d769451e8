package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// maxInformational bounds the responses that are skipped before the final one: 1xx and those to another request.
const maxInformational = 5

// maxDiscardedBody bounds the body that is discarded of a response to another request.
const maxDiscardedBody = 1 << 20

// maxNotRunBody is the size up to which the body of a not-run response is read, so that the connection can be reused.
const maxNotRunBody = 4 << 10

// notRunBodyTimeout bounds the time to read that body. The request can be retried elsewhere meanwhile.
const notRunBodyTimeout = 20 * time.Millisecond

func (x *exchange) readResponse() (*Response, error) {
	resp, err := x.readFinalResponse() //nolint:bodyclose // closed by the wrapper below or by the caller
	x.c.headerBytesLeft = -1
	if err != nil {
		return nil, x.fail(err)
	}
	now := time.Now()
	out := &Response{Response: resp, Latency: now.Sub(x.start), Reused: x.reused}
	x.c.connPool.recordResponse(x.c, now)
	out.Load = loadReport(resp.Header)
	if resp.Body == http.NoBody {
		x.finish(x.reusable(resp))
	} else {
		resp.Body = &body{rc: resp.Body, x: x, reusable: x.reusable(resp), undelimited: undelimited(resp)}
	}
	if x.c.connPool.cfg.NotRun(resp) {
		return nil, x.notRunError(out)
	}
	return out, nil
}

// readFinalResponse reads response headers up to the final response and checks that the end of its body can be
// determined.
func (x *exchange) readFinalResponse() (*http.Response, error) {
	for range maxInformational {
		x.c.headerBytesLeft = x.c.connPool.cfg.MaxHeaderBytes
		if err := x.c.checkHeader(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.c.br, x.req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, malformed{errUpgrade}
		}
		if resp.StatusCode < 200 {
			continue
		}
		if undelimited(resp) && !x.c.connPool.cfg.AcceptUndelimited {
			return nil, malformed{errUndelimited}
		}
		if !x.answersRequest(resp) {
			if err := x.discardResponse(resp); err != nil {
				return nil, err
			}
			continue
		}
		return resp, nil
	}
	return nil, malformed{errors.New("too many informational responses")}
}

// undelimited reports whether the end of the body is marked only by the close of the connection.
func undelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// answersRequest reports whether a response belongs to the request and not to an earlier one of the connection.
func (x *exchange) answersRequest(resp *http.Response) bool {
	identified := x.identified(resp)
	if !identified && x.c.identifies || !x.c.connPool.cfg.MatchesRequest(resp, x.req) {
		return false
	}
	x.c.identifies = x.c.identifies || identified
	return true
}

// identified reports whether a response names its request.
func (x *exchange) identified(resp *http.Response) bool {
	identifies := x.c.connPool.cfg.Identifies
	return identifies != nil && identifies(resp)
}

type malformed struct{ error }

// discardResponse reads and discards a response to another request.
func (x *exchange) discardResponse(resp *http.Response) error {
	if undelimited(resp) || resp.Close {
		return malformed{errMismatched}
	}
	x.c.headerBytesLeft = -1
	if _, err := io.CopyN(io.Discard, resp.Body, maxDiscardedBody+1); !errors.Is(err, io.EOF) {
		return malformed{errors.Join(errMismatched, err)}
	}
	return nil
}

func loadReport(h http.Header) *LoadReport {
	value := h.Get(HeaderLoad)
	if value == "" {
		return nil
	}
	rep, err := ParseLoad(value)
	if err != nil {
		return nil
	}
	return &rep
}

// reusable reports whether the connection may carry another request after this response.
func (x *exchange) reusable(resp *http.Response) bool {
	if x.c.connPool.cfg.Identifies != nil && !x.identified(resp) {
		return false
	}
	return !resp.Close && resp.ProtoAtLeast(1, 1)
}

// notRunError finishes an exchange whose response says that the request didn't run.
func (x *exchange) notRunError(r *Response) error {
	if r.Body != http.NoBody { // otherwise the connection is released already, and another call may be using it
		x.readLimited = true
		_ = x.c.nc.SetReadDeadline(time.Now().Add(notRunBodyTimeout))
		_, _ = io.CopyN(io.Discard, r.Body, maxNotRunBody+1)
		_ = r.Body.Close()
	}
	e := x.newError(UpstreamNotRun, CauseOther, nil)
	e.Status = r.StatusCode
	e.Load = r.Load
	e.Header = r.Header
	if s, err := strconv.ParseUint(r.Header.Get("Retry-After"), 10, 16); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

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

// writeDoneTimeout bounds the wait for the writing goroutine to report that it is done. The response may have been read
// before that.
const writeDoneTimeout = 50 * time.Millisecond

// requestSent reports whether the whole request was written, so that the connection can be reused.
func (x *exchange) requestSent() bool {
	if x.c.sent.Load() || x.writeDone == nil {
		return x.c.sent.Load()
	}
	timer := time.NewTimer(writeDoneTimeout)
	defer timer.Stop()
	select {
	case <-x.writeDone:
		return x.c.sent.Load()
	case <-timer.C:
		return false
	}
}

func (x *exchange) writeEnded() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case <-x.writeDone:
		return true
	default:
		return false
	}
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

// finish detaches the context and releases the connection, or closes it unless keep is set. Later calls have no effect.
func (x *exchange) finish(keep bool) {
	if x.finished {
		return
	}
	x.finished = true
	x.written = x.c.written.Load()
	detached := x.detachContext()
	// Surplus bytes after the response must not be read as the response to the next request.
	keep = keep && detached && x.c.br.Buffered() == 0 && x.requestSent()
	if keep && x.readLimited {
		keep = x.c.nc.SetReadDeadline(time.Time{}) == nil
	}
	if keep {
		x.c.shrinkBuffer()
		x.c.connPool.release(x.c)
	} else {
		x.c.connPool.discard(x.c)
	}
}

// body is a response body. The connection can be reused only if the body is read to its end.
type body struct {
	rc          io.ReadCloser
	x           *exchange
	reusable    bool
	undelimited bool
	err         error
}

// Read implements io.Reader. Errors other than io.EOF are *Error with the kind Unknown.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.rc.Read(p)
	if err == io.EOF && b.undelimited {
		if broken := b.x.c.checkOrderlyEnd(); broken != nil {
			err = broken
		}
	}
	if err == io.EOF {
		b.err = io.EOF
		b.x.finish(b.reusable)
	} else if err != nil {
		b.err = b.x.fail(err)
	}
	return n, b.err
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *body) Close() error {
	if b.err == nil {
		b.err = b.x.newError(Unknown, CauseCancelled, os.ErrClosed)
	}
	b.x.finish(b.reusable && errors.Is(b.err, io.EOF))
	return nil
}
