package proxy

import (
	"net/http"
	"strconv"
)

// maxKeptBody is the largest response body that is recorded for resends.
const maxKeptBody = 64 << 10

// recorder collects the result of a registered call. A nil recorder does nothing.
type recorder struct {
	answer   Answer
	tooLarge bool
	ended    bool
}

func (r *recorder) recordLocalReply(v localReply) {
	if r != nil {
		r.answer = Answer{Outcome: v.outcome, Reason: v.reason, Status: v.status(), RetryAfter: v.retryAfter}
	}
}

func (r *recorder) begin(status int, h http.Header) {
	if r == nil {
		return
	}
	kept := make(http.Header, len(h))
	copyEndToEnd(kept, h)
	r.answer = Answer{Outcome: Unknown, Reason: ReasonInterrupted, Status: status, Header: kept}
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n > maxKeptBody {
		r.tooLarge = true
	}
}

func (r *recorder) writeBody(b []byte) {
	if r == nil || r.tooLarge {
		return
	}
	if len(r.answer.Body)+len(b) > maxKeptBody {
		r.tooLarge = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, b...)
}

// canKeep reports whether the response is still small enough to be recorded.
func (r *recorder) canKeep() bool { return r != nil && !r.tooLarge }

func (r *recorder) markComplete() {
	if r != nil {
		r.ended = true
	}
}

// complete reports whether the upstream's whole response was read.
func (r *recorder) complete() bool { return r != nil && r.ended }

func (r *recorder) interrupted(reason Reason) {
	if r != nil {
		r.answer = Answer{Outcome: Unknown, Reason: reason, Status: http.StatusBadGateway}
	}
}

func (r *recorder) finish() {
	if r == nil {
		return
	}
	r.answer.Outcome = Done
	r.answer.Reason = ""
	r.answer.Kept = !r.tooLarge
	if r.tooLarge {
		r.answer.Header = nil
	}
}
