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

// verdict is an end of a call without an upstream's response.
type verdict struct {
	outcome    Outcome
	reason     Reason
	retryAfter time.Duration
	findings   []Finding
	err        error
}

func (v verdict) status() int {
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
	started bool        // the response's header was passed to w
	summary string      // of the pool, for the response to a forward
	upload  *callerBody // nil unless the request's body is streamed
	// resend is set while the call may be a resend whose earlier attempt ran: only its registrar knows.
	resend bool
}

func newResponder(p *Proxy, w http.ResponseWriter, r *http.Request) *responder {
	out := &responder{p: p, w: w, r: r, control: http.NewResponseController(w), resend: mayBeResend(r)}
	if !r.ProtoAtLeast(1, 1) {
		// net/http ignores Transfer-Encoding in HTTP/1.0 requests; the chunks must not be read as the next request.
		w.Header()["Connection"] = []string{"close"}
	}
	return out
}

// mayBeResend reports whether an earlier attempt of the call may have run, as far as the headers tell.
func mayBeResend(r *http.Request) bool {
	h := r.Header
	return h.Get(HeaderRequestID) != "" && h.Get(HeaderForward) != forwardRun && h.Get(HeaderFirstAttempt) != "true" &&
		h.Get(HeaderIdempotent) != "true"
}

// RefusalOutcome is the outcome of a request that is refused before its call was registered. A resend may have run
// earlier at another entry, so that only its registrar can prove "not run".
func RefusalOutcome(r *http.Request) Outcome {
	if mayBeResend(r) {
		return Unknown
	}
	return NotRun
}

// refuse reports an end without an upstream's response.
func (o *responder) refuse(v verdict) {
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
	o.head(v.outcome, v.reason, v.status())
	_, _ = o.w.Write(append(body, '\n'))
}

// head sets the headers of section 2.3 and starts the response.
func (o *responder) head(outcome Outcome, reason Reason, status int) {
	h := o.w.Header()
	h[HeaderOutcome] = []string{string(outcome)}
	setNonEmpty(h, HeaderReason, string(reason))
	setNonEmpty(h, HeaderPoolSummary, o.summary)
	if o.call != nil && o.call.Retried {
		h[HeaderRetried] = []string{"true"}
	}
	if o.upload != nil && !o.upload.ended.Load() && o.r.ProtoMajor == 1 {
		// The rest of the body must not be read as the next request.
		h["Connection"] = []string{"close"}
	}
	o.extendWrite(time.Now())
	o.started = true
	o.w.WriteHeader(status)
}

func (o *responder) extendWrite(now time.Time) {
	_ = o.control.SetWriteDeadline(now.Add(o.p.cfg.WriteStall))
}

// replay answers a resend with the recorded result.
func (o *responder) replay(a *Answer) {
	if !a.Kept {
		v := verdict{outcome: a.Outcome, reason: a.Reason, retryAfter: a.RetryAfter}
		if a.Outcome == Done {
			v.reason = ReasonResultGone
		}
		o.refuse(v)
		return
	}
	h := o.w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	o.head(a.Outcome, a.Reason, a.Status)
	_, _ = o.w.Write(a.Body)
}

// buffers holds the buffers of response copies.
var buffers = sync.Pool{New: func() any { b := make([]byte, 32<<10); return &b }}

// deliver copies an attempt's response to the caller and to the recorder, and ends the attempt. An error means that the
// caller has no complete response, and that it must be aborted.
func (o *responder) deliver(a *attempt, rec *recorder) error {
	resp := a.resp
	h := o.w.Header()
	copyEndToEnd(h, resp.Header)
	if _, given := h["Content-Type"]; !given {
		h["Content-Type"] = nil // keeps net/http from guessing
	}
	if resp.Header.Get(HeaderRetried) == "true" {
		h[HeaderRetried] = []string{"true"}
	}
	if a.upstream != "" && o.summary != "" {
		h[HeaderUpstream] = []string{a.upstream}
	}
	rec.begin(resp.StatusCode, resp.Header)
	o.head(Done, "", resp.StatusCode)
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
	a.finish(o.p, resultOf(resp.StatusCode))
	rec.finish()
	return callerErr
}

func resultOf(status int) ResultKind {
	if status >= 500 {
		return ResultFailure
	}
	return ResultSuccess
}

// copy streams a body. After an error of the caller it reads on only while the recorder can keep the whole response.
func (o *responder) copy(body io.Reader, rec *recorder, flush bool) (callerErr, bodyErr error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	extended := time.Now()
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			rec.write((*buf)[:n])
			if now := time.Now(); now.Sub(extended) >= deadlineStep {
				extended = now
				o.extendWrite(now)
			}
			if callerErr == nil {
				callerErr = o.write((*buf)[:n], flush)
			}
			if callerErr != nil && !rec.keeping() {
				return callerErr, nil
			}
		}
		if err == io.EOF {
			rec.sawEnd()
			return callerErr, nil
		}
		if err != nil {
			return callerErr, err
		}
	}
}

func (o *responder) write(b []byte, flush bool) error {
	if _, err := o.w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if flush {
		return o.control.Flush()
	}
	return nil
}

// abort ends the response so that it can't look complete.
func (o *responder) abort(err error) {
	event := o.p.cfg.Log.Debug().Err(err)
	if o.call != nil {
		event = event.Str("service", o.call.Service).Str("request_id", o.call.RequestID)
	}
	event.Msg("response aborted")
	panic(http.ErrAbortHandler)
}

// endPanic ends the request of a panic alone. A request whose response has begun is aborted.
func (o *responder) endPanic() {
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
	o.refuse(verdict{outcome: Unknown, reason: ReasonPanic})
}
