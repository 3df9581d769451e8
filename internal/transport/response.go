package transport

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"boragehinge.example/boragehinge/internal/responsecheck"
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
			return nil, malformed{responsecheck.ErrUpgrade}
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
