package transport

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind says what the caller of RoundTrip may conclude from an Error.
type Kind int

const (
	// Unknown means that bytes of the request were written and no complete response arrived. The request may have run.
	Unknown Kind = iota
	// ConnectFailed means that no connection was established. The request didn't run.
	ConnectFailed
	// NothingWritten means that no byte of the request was written. The request didn't run.
	NothingWritten
	// UpstreamNotRun means that the upstream responded with Boragehinge-Not-Run: true. The request didn't run.
	UpstreamNotRun
)

var kindNames = [...]string{"outcome unknown", "connect failed", "nothing written", "upstream says not run"}

// String returns the kind in words.
func (k Kind) String() string { return kindNames[k] }

// Cause says why a round trip failed.
type Cause int

const (
	// CauseOther is any cause not listed below.
	CauseOther Cause = iota
	// CauseConnectionLost is a reset or an EOF before the response was complete. It is evidence of a crash.
	CauseConnectionLost
	// CauseDeadline is the expiry of the caller's context.
	CauseDeadline
	// CauseCancelled is the cancellation of the caller's context.
	CauseCancelled
	// CauseSilent is a connection that made no progress while other connections to the same upstream did.
	CauseSilent
	// CauseMalformed is a response that isn't valid HTTP/1.1 or whose end can't be determined.
	CauseMalformed
	// CauseRequestBody is a failure to read the body that the caller of RoundTrip supplied.
	CauseRequestBody
	// CauseClosed is the use of a closed Transport.
	CauseClosed
)

var causeNames = [...]string{"other", "connection lost", "deadline", "cancelled", "silent connection",
	"malformed response", "request body", "closed"}

// String returns the cause in words.
func (c Cause) String() string { return causeNames[c] }

// Error is returned by RoundTrip and by reads of a response body.
type Error struct {
	Kind    Kind
	Cause   Cause
	Address string
	Reused  bool  // the connection had carried an earlier request
	Written int64 // bytes of the request passed to the connection
	Err     error // underlying error, may be nil

	// Evidence of why a connection was lost, zero if it was not.
	Reset         bool          // the upstream reset the connection; otherwise it closed it in order
	ResponseBegun bool          // a part of the response had arrived
	IdleFor       time.Duration // time between the last response on a reused connection and this request
	After         time.Duration // time between the start of the request on the connection and the loss

	// Set only for UpstreamNotRun.
	Status     int
	Load       *LoadReport
	Header     http.Header
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("round trip to %s: %s (%s)", e.Address, e.Kind, e.Cause)
	}
	return fmt.Sprintf("round trip to %s: %s (%s): %v", e.Address, e.Kind, e.Cause, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the request is known not to have run.
func (e *Error) NotRun() bool { return e.Kind != Unknown }

// MaybeCrash reports whether the connection was lost while the request may have been running. It counts as a crash if
// the upstream refuses connections or restarts afterwards, which CheckConnect tests.
func (e *Error) MaybeCrash() bool { return e.Kind == Unknown && e.Cause == CauseConnectionLost }

// IsNotRun reports whether err shows that the request didn't run. It is false for errors that aren't an *Error.
func IsNotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotRun()
}

var (
	errClosed      = errors.New("transport is closed")
	errMismatched  = errors.New("the response belongs to another request")
	errUndelimited = errors.New("response has neither a length nor chunks, so a truncation couldn't be detected")
	errSilent      = errors.New("no progress while other connections of the upstream progressed")
)
