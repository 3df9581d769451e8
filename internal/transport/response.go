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

// maxInformational bounds the 1xx responses before a final one.
const maxInformational = 5

// maxSkippedBody bounds the body of a response to another request that is read past.
const maxSkippedBody = 1 << 20

// maxRefusalBody is the size up to which the body of a refusal is read to keep the connection.
const maxRefusalBody = 4 << 10

func (x *exchange) readResponse() (*Response, error) {
	resp, err := x.readFinal() //nolint:bodyclose // closed through the wrapper below, or by the caller
	x.c.headerMax = -1
	if err != nil {
		return nil, x.fail(err)
	}
	now := time.Now()
	out := &Response{Response: resp, Latency: now.Sub(x.start), Reused: x.reused}
	x.c.path.responded(x.c, now, out.Latency)
	out.Load = loadReport(resp.Header)
	if resp.Body == http.NoBody {
		x.end(x.reusable(resp))
	} else {
		resp.Body = &body{rc: resp.Body, x: x, reusable: x.reusable(resp)}
	}
	if x.c.path.cfg.NotRun(resp) {
		return nil, x.refused(out)
	}
	return out, nil
}

// readFinal reads response headers until a final one and checks that the end of its body can be detected.
func (x *exchange) readFinal() (*http.Response, error) {
	for range maxInformational {
		x.c.headerMax = x.c.path.cfg.MaxHeaderBytes
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
		undelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
		if undelimited && !x.c.path.cfg.AcceptUndelimited {
			return nil, malformed{errUndelimited}
		}
		if !x.c.path.cfg.MatchesRequest(resp, x.req) {
			if err := x.skip(resp, undelimited); err != nil {
				return nil, err
			}
			continue
		}
		return resp, nil
	}
	return nil, malformed{errors.New("too many informational responses")}
}

type malformed struct{ error }

// skip reads past a response to another request.
func (x *exchange) skip(resp *http.Response, undelimited bool) error {
	if undelimited || resp.Close {
		return malformed{errCrossed}
	}
	x.c.headerMax = -1
	if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBody+1); !errors.Is(err, io.EOF) {
		return malformed{errors.Join(errCrossed, err)}
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

func (x *exchange) reusable(resp *http.Response) bool {
	return !resp.Close && resp.ProtoAtLeast(1, 1)
}

// refused ends the exchange of a response that says not run.
func (x *exchange) refused(r *Response) error {
	_, _ = io.CopyN(io.Discard, r.Body, maxRefusalBody)
	_ = r.Body.Close()
	e := x.newError(UpstreamNotRun, CauseOther, nil)
	e.Status = r.StatusCode
	e.Load = r.Load
	e.Header = r.Header
	if s, err := strconv.ParseUint(r.Header.Get("Retry-After"), 10, 16); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// fail ends the exchange, closes the connection and classifies the error.
func (x *exchange) fail(err error) error {
	cause := x.cause(err)
	x.end(false)
	kind := Unknown
	if x.written == 0 {
		kind = NothingWritten
	}
	return x.newError(kind, cause, err)
}

func (x *exchange) newError(kind Kind, cause Cause, err error) *Error {
	if cause == CauseSilent {
		err = errSilent
	}
	return &Error{Kind: kind, Cause: cause, Address: x.c.path.address, Reused: x.reused, Written: x.written, Err: err}
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

// requestBodyFailed reports a failed request body if the write has ended.
func (x *exchange) requestBodyFailed() bool {
	if !x.writeEnded() {
		return false
	}
	return x.body != nil && x.body.err != nil
}

// sentGrace is the time in which a goroutine that has written the last byte reports it. The response may be read first.
const sentGrace = 50 * time.Millisecond

// requestSent reports whether the whole request was written, so that the next one may follow on the connection.
func (x *exchange) requestSent() bool {
	if x.c.sent.Load() || x.writeDone == nil {
		return x.c.sent.Load()
	}
	timer := time.NewTimer(sentGrace)
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

func contextCause(ctx context.Context) Cause {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return CauseDeadline
	}
	return CauseCancelled
}

// end detaches the context and gives the connection back or closes it. Later calls have no effect.
func (x *exchange) end(keep bool) {
	if x.ended {
		return
	}
	x.ended = true
	x.written = x.c.written.Load()
	detached := x.stop()
	// Bytes after the response belong to no request; they must not become the response of the next one.
	keep = keep && detached && x.c.br.Buffered() == 0 && x.requestSent()
	if keep {
		x.c.path.release(x.c)
	} else {
		x.c.path.discard(x.c)
	}
}

// body is the response's body. Only a body read to its end leaves the connection usable.
type body struct {
	rc       io.ReadCloser
	x        *exchange
	reusable bool
	err      error
}

// Read implements io.Reader. Errors other than io.EOF are *Error with the kind Unknown.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.rc.Read(p)
	if err == io.EOF {
		b.err = io.EOF
		b.x.end(b.reusable)
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
	b.x.end(b.reusable && errors.Is(b.err, io.EOF))
	return nil
}
