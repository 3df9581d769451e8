package proxy

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"
)

// localReply is a response that this entry generates for a call without an upstream's response.
type localReply struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	findings   []Finding
	err        error
}

func (v localReply) status() int {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(v.err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case v.reason == ReasonInvalid || v.reason == ReasonRequestBody && v.outcome == NotRun:
		return http.StatusBadRequest
	case v.outcome == NotRun && v.reason == ReasonCustomerLimit:
		return http.StatusTooManyRequests
	case v.outcome == NotRun:
		return http.StatusServiceUnavailable
	case v.outcome == Done, v.reason == ReasonRegistrarGone, v.reason == ReasonResultGone:
		return http.StatusConflict
	case v.reason == ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// responder writes the response of one call.
type responder struct {
	p       *Proxy
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	call    *Call       // nil until the request is validated
	started bool        // the response header was written to w
	summary string      // pool summary for the response to a forward
	upload  *callerBody // nil unless the request body is streamed
	// resend is set while the call may be a resend whose earlier attempt ran. Only the registrar of its ID can tell.
	resend bool
}

func newResponder(p *Proxy, w http.ResponseWriter, r *http.Request) *responder {
	out := &responder{p: p, w: w, r: r, control: http.NewResponseController(w), resend: mayBeResend(r)}
	if !r.ProtoAtLeast(1, 1) {
		// net/http ignores Transfer-Encoding in HTTP/1.0 requests, so the chunks would be read as the next request.
		w.Header()["Connection"] = []string{"close"}
	}
	return out
}

// mayBeResend reports whether, according to the headers, an earlier attempt of the call may have run.
func mayBeResend(r *http.Request) bool {
	h := r.Header
	return h.Get(HeaderRequestID) != "" && h.Get(HeaderForward) != forwardRun && h.Get(HeaderFirstAttempt) != "true" &&
		h.Get(HeaderIdempotent) != "true"
}

// RefusalOutcome returns the outcome of a request that is refused before its ID is registered. An earlier attempt of a
// resend may have run through another entry, so only the registrar of its ID can report "not run".
func RefusalOutcome(r *http.Request) Outcome {
	if mayBeResend(r) {
		return Unknown
	}
	return NotRun
}

// sendLocalReply writes a response that this entry generates.
func (o *responder) sendLocalReply(v localReply) {
	if o.resend && v.outcome == NotRun {
		v.outcome = Unknown
	}
	h := o.w.Header()
	h["Content-Type"] = []string{"application/json"}
	if v.outcome == NotRun && v.reason != ReasonInvalid {
		h["Retry-After"] = []string{strconv.FormatInt(int64((max(v.retryAfter, time.Second)+time.Second-1)/time.Second), 10)}
	}
	body, _ := json.Marshal(struct {
		Outcome  Outcome   `json:"outcome"`
		Reason   Reason    `json:"reason"`
		Findings []Finding `json:"findings,omitempty"`
	}{v.outcome, v.reason, v.findings})
	o.writeHeader(v.outcome, v.reason, v.status())
	_, _ = o.w.Write(append(body, '\n'))
}

// writeHeader sets the response headers of this system and writes the response header.
func (o *responder) writeHeader(outcome Outcome, reason Reason, status int) {
	h := o.w.Header()
	h[HeaderOutcome] = []string{string(outcome)}
	setNonEmpty(h, HeaderReason, string(reason))
	setNonEmpty(h, HeaderPoolSummary, o.summary)
	if o.call != nil && o.call.Retried {
		h[HeaderRetried] = []string{"true"}
	}
	if o.upload != nil && !o.upload.ended.Load() && o.r.ProtoMajor == 1 {
		// Otherwise the rest of the body would be read as the next request.
		h["Connection"] = []string{"close"}
	}
	o.extendWriteDeadline(time.Now())
	o.started = true
	o.w.WriteHeader(status)
}

func (o *responder) extendWriteDeadline(now time.Time) {
	_ = o.control.SetWriteDeadline(now.Add(o.p.cfg.WriteStall))
}

// replay responds to a resend with the recorded result.
func (o *responder) replay(a *Answer) {
	if !a.Kept {
		v := localReply{outcome: a.Outcome, reason: a.Reason, retryAfter: a.RetryAfter}
		if a.Outcome == Done {
			v.reason = ReasonResultGone
		}
		o.sendLocalReply(v)
		return
	}
	h := o.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	o.writeHeader(a.Outcome, a.Reason, a.Status)
	_, _ = o.w.Write(a.Body)
}

// copyBuffers holds the buffers for copying response bodies.
var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// deliver copies an attempt's response to the caller and to the recorder, and finishes the attempt. An error means that
// the caller has not received the complete response, so the response must be aborted.
func (o *responder) deliver(a *attempt, rec *recorder) error {
	resp := a.resp
	h := o.w.Header()
	copyEndToEnd(h, resp.Header)
	if _, given := h["Content-Type"]; !given {
		h["Content-Type"] = nil // prevents content type detection by net/http
	}
	if resp.Header.Get(HeaderRetried) == "true" {
		h[HeaderRetried] = []string{"true"}
	}
	if a.upstream != "" && o.summary != "" {
		h[HeaderUpstream] = []string{a.upstream}
	}
	rec.begin(resp.StatusCode, resp.Header)
	o.writeHeader(Done, "", resp.StatusCode)
	callerErr, bodyErr := o.copy(resp.Body, rec, resp.ContentLength < 0)
	if bodyErr != nil {
		kind, t := classify(bodyErr)
		if kind == ResultCrashed && a.grant.Upstream != "" {
			o.p.deps.Poison.ConnectionLost(time.Now(), a.call.Fingerprint(), a.grant.Upstream)
		}
		a.finish(o.p, kind)
		rec.interrupted(t.Reason)
		return bodyErr
	}
	if callerErr != nil && !rec.complete() {
		a.finish(o.p, ResultCancelled)
		return callerErr
	}
	for name, values := range resp.Trailer {
		h[http.TrailerPrefix+name] = values
	}
	a.finish(o.p, resultForStatus(resp.StatusCode))
	rec.finish()
	return callerErr
}

func resultForStatus(status int) ResultKind {
	if status >= 500 {
		return ResultFailure
	}
	return ResultSuccess
}

// copy streams a body to the caller. After a write error it continues reading only while the recorder can keep the
// whole response.
func (o *responder) copy(body io.Reader, rec *recorder, flush bool) (callerErr, bodyErr error) {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	extended := time.Now()
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			rec.writeBody((*buf)[:n])
			if now := time.Now(); now.Sub(extended) >= minExtendInterval {
				extended = now
				o.extendWriteDeadline(now)
			}
			if callerErr == nil {
				callerErr = o.writeBody((*buf)[:n], flush)
			}
			if callerErr != nil && !rec.canKeep() {
				return callerErr, nil
			}
		}
		if err == io.EOF {
			rec.markComplete()
			return callerErr, nil
		}
		if err != nil {
			return callerErr, err
		}
	}
}

func (o *responder) writeBody(b []byte, flush bool) error {
	if _, err := o.w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if flush {
		return o.control.Flush()
	}
	return nil
}

// abort closes the connection or resets the stream, so that the caller sees that the response is incomplete.
func (o *responder) abort(err error) {
	event := o.p.cfg.Log.Debug().Err(err)
	if o.call != nil {
		event = event.Str("service", o.call.Service).Str("request_id", o.call.RequestID)
	}
	event.Msg("response aborted")
	panic(http.ErrAbortHandler)
}

// recoverPanic recovers a panic of the handler and reports an internal error. If the response has been started, it is
// aborted instead.
func (o *responder) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	o.p.cfg.Log.Error().Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("request panicked")
	if o.started {
		panic(http.ErrAbortHandler)
	}
	o.sendLocalReply(localReply{outcome: Unknown, reason: ReasonPanic})
}
