package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// try is one call with its attempts. It belongs to the goroutine of Do.
type try struct {
	c        *Client
	call     Call
	deadline time.Time
	tried    map[string]bool
	attempts int

	id      string // request ID in use
	givenUp []string
	home    Address // address whose prefix the ID carries
	doubt   string  // reason of the last attempt that may have been run
	maySent bool    // an attempt with this ID may have reached an upstream, and nothing proves the contrary
}

func (t *try) idempotent() bool { return *t.call.Idempotent }

// run makes attempts until one is final.
func (t *try) run(ctx context.Context) *Result {
	for {
		r, again, pause := t.attempt(ctx)
		r.Attempts, r.RequestID, r.GivenUp = t.attempts, t.id, t.givenUp
		if r.Outcome == NotRun && t.maySent {
			// This attempt was not run, but an earlier one may have been.
			r.Outcome, r.Reason = Unknown, t.doubt
		}
		if !again || t.attempts >= t.c.settings.MaxAttempts || time.Until(t.deadline) <= pause {
			return r
		}
		if !sleep(ctx, pause) {
			return r
		}
		_ = r.Body.Close()
	}
}

// attempt makes one attempt. It reports whether another one is safe and useful, and after which pause.
func (t *try) attempt(ctx context.Context) (r *Result, again bool, pause time.Duration) {
	list, err := t.c.dir.addresses(ctx)
	if err != nil {
		return t.without(ReasonNoAddress, err), true, resendPause
	}
	a := t.choose(list)
	t.attempts++
	resp, sent, err := t.roundTrip(ctx, a) //nolint:bodyclose // result passes the body on
	if err != nil {
		return t.failed(ctx, a, sent, err)
	}
	r = t.result(a, resp)
	if err := t.buffer(r); err != nil {
		return t.failed(ctx, a, true, err)
	}
	again, pause = t.judge(r)
	return r, again, pause
}

// choose returns the address of the next attempt and sets the request ID. A call with an ID that may have been sent goes
// to the entry that may start it, once more after a failure, and then through other entries.
func (t *try) choose(list []Address) Address {
	if t.maySent && t.id != "" && !t.tried[t.home.Address] && t.home.Address != "" {
		t.tried[t.home.Address] = true
		return t.home
	}
	a := t.c.dir.pick(list, t.tried)
	switch {
	case t.call.RequestID != "":
		t.id = t.call.RequestID
	case t.idempotent():
	case !t.maySent:
		if t.id != "" {
			t.givenUp = append(t.givenUp, t.id)
		}
		t.id, t.home = t.c.mint(a), a
	}
	return a
}

// failed handles an attempt without a complete response.
func (t *try) failed(ctx context.Context, a Address, sent bool, err error) (*Result, bool, time.Duration) {
	t.c.dir.failed(a.Address)
	if !sent {
		t.tried[a.Address] = true
		r := t.without(ReasonConnectFailed, err)
		r.Address = a.Address
		return r, ctx.Err() == nil, 0
	}
	if t.idempotent() || a.Address != t.home.Address {
		t.tried[a.Address] = true
	}
	t.maySent = true
	reason := ReasonConnectionLost
	if ctx.Err() != nil || !time.Now().Before(t.deadline) {
		reason = ReasonDeadline
	}
	t.doubt = reason
	r := t.without(reason, err)
	r.Outcome, r.Address = Unknown, a.Address
	if t.idempotent() {
		return r, ctx.Err() == nil, 0
	}
	return r, ctx.Err() == nil, resendPause
}

// judge decides on a complete response.
func (t *try) judge(r *Result) (again bool, pause time.Duration) {
	switch r.Outcome {
	case Done:
		return false, 0
	case NotRun:
		if r.Retried || r.Status != http.StatusServiceUnavailable {
			return false, 0
		}
		t.tried[r.Address] = true
		return true, max(r.RetryAfter, resendPause)
	default:
		t.maySent, t.doubt = true, r.Reason
		t.tried[r.Address] = true
		// For other calls the entry answered from its record; asking again gives the same answer.
		return t.idempotent() && !r.Retried, max(r.RetryAfter, resendPause)
	}
}

func (t *try) without(reason string, err error) *Result {
	return &Result{Outcome: NotRun, Reason: reason, Body: http.NoBody, Header: http.Header{}, Err: err}
}

func (t *try) result(a Address, resp *http.Response) *Result {
	r := &Result{
		Outcome: Outcome(resp.Header.Get(headerOutcome)), Reason: resp.Header.Get(headerReason), Status: resp.StatusCode,
		Header: resp.Header, Body: resp.Body, RetryAfter: retryAfter(resp.Header), Address: a.Address,
		Retried: resp.Header.Get(headerRetried) == "true",
	}
	if r.Outcome != Done && r.Outcome != NotRun {
		r.Outcome = Unknown
	}
	return r
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 || seconds > 3600 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// buffer reads the beginning of the response, so that a connection lost within it can be handled here.
func (t *try) buffer(r *Result) error {
	var b bytes.Buffer
	_, err := io.CopyN(&b, r.Body, int64(t.c.settings.BufferBytes))
	switch {
	case errors.Is(err, io.EOF):
		err = r.Body.Close()
		r.Body = io.NopCloser(&b)
		return err
	case err != nil:
		_ = r.Body.Close()
		return err
	}
	rest := r.Body
	r.Body = &joined{Reader: io.MultiReader(&b, rest), rest: rest}
	return nil
}

type joined struct {
	io.Reader
	rest io.Closer
}

func (j *joined) Close() error { return j.rest.Close() }

// roundTrip sends the call. sent reports whether a byte may have been sent. An entry that gives no header within half
// of the remaining time is given up when another attempt is possible, so that a silent one doesn't use up the deadline.
func (t *try) roundTrip(ctx context.Context, a Address) (resp *http.Response, sent bool, err error) {
	remaining := time.Until(t.deadline)
	if remaining <= 0 {
		return nil, false, context.DeadlineExceeded
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	ctx, cancel := context.WithDeadline(ctx, t.deadline)
	ctx, giveUp := context.WithCancel(ctx)
	wait := remaining
	if t.idempotent() && t.attempts < t.c.settings.MaxAttempts {
		wait = remaining / 2
	}
	timer := time.AfterFunc(wait, giveUp)
	resp, err = t.c.settings.Transport.RoundTrip(t.request(ctx, a, remaining))
	timer.Stop()
	end := func() { giveUp(); cancel() }
	if err != nil {
		end()
		return nil, connected.Load(), err
	}
	resp.Body = &ending{ReadCloser: resp.Body, end: end}
	return resp, true, nil
}

// ending ends the context of the attempt when the body is closed.
type ending struct {
	io.ReadCloser
	end func()
}

func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	e.end()
	return err
}

func (t *try) request(ctx context.Context, a Address, remaining time.Duration) *http.Request {
	target := &url.URL{Scheme: "http", Host: a.Address}
	if u, err := url.ParseRequestURI(t.call.Path); err == nil {
		target.Path, target.RawPath, target.RawQuery = u.Path, u.RawPath, u.RawQuery
	} else {
		target.Path = t.call.Path
	}
	r := (&http.Request{
		Method: t.call.Method, URL: target, Host: t.c.settings.Host, Header: t.call.Header.Clone(),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	if len(t.call.Body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(t.call.Body)), int64(len(t.call.Body))
	}
	t.headers(r.Header, remaining)
	return r
}

func (t *try) headers(h http.Header, remaining time.Duration) {
	if t.call.Deadline > 0 {
		h.Set(headerDeadline, strconv.FormatInt(max(1, min(remaining.Milliseconds(), 600_000)), 10))
	}
	h.Set(headerIdempotent, strconv.FormatBool(t.idempotent()))
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(headerCustomer, t.call.Customer)
	set(headerClass, t.call.Class)
	set(headerRequestID, t.id)
	if t.id != "" && !t.maySent {
		h.Set(headerFirstAttempt, "true")
	} else {
		// A mark in the caller's headers would be untrue on a later attempt, and let another entry run the call again.
		h.Del(headerFirstAttempt)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
