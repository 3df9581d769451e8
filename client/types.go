package client

import (
	"io"
	"net/http"
	"time"
)

// Outcome is what may be concluded about a call.
type Outcome string

// Outcomes.
const (
	Done    Outcome = "done"    // an upstream ran the call and responded
	NotRun  Outcome = "not-run" // no upstream ran the call
	Unknown Outcome = "unknown" // an upstream may have run the call
)

// Reasons that this package gives; all others come from entries.
const (
	ReasonNoAddress      = "no-address"      // no entry told an address
	ReasonConnectFailed  = "connect-failed"  // no connection to an entry
	ReasonConnectionLost = "connection-lost" // the connection to the entry was lost
	ReasonDeadline       = "deadline"        // the deadline passed or the context ended
)

// Settings of a Client. Zero fields take the defaults named beside them.
type Settings struct {
	Entries []string // caller ports of entries, host:port; any of them, at least one
	Service string   // name of the service
	// Defaults of the calls.
	Customer string
	Class    string
	Host     string        // Host header; the service's host if it has one
	Deadline time.Duration // 30 s
	// AllDataCentres spreads calls over all addresses of the answer, not only over those of the nearest data centre.
	AllDataCentres bool
	MaxAttempts    int // 4
	// BufferBytes is the size up to which a response is read in full before Do returns, 64 KiB. A connection that is lost
	// within it is handled as a failure of the attempt.
	BufferBytes int
	// Transport makes the round trips; nil is one with enough idle connections for a busy caller.
	Transport http.RoundTripper
}

// Call is one call.
type Call struct {
	Method   string // GET
	Path     string // with the query
	Header   http.Header
	Body     []byte
	Customer string // the client's
	Class    string // the client's, else that of the route
	// Idempotent calls may run more than once. nil: GET, HEAD, OPTIONS, PUT and DELETE.
	Idempotent *bool
	Deadline   time.Duration // the client's
	// RequestID replaces the one that the client would choose. Only a caller that keeps IDs across restarts needs it.
	RequestID string
	// Resend says that an earlier process may have sent the call with this RequestID.
	Resend bool
}

// Result is how a call ended. Body must be closed. Up to Settings.BufferBytes it is complete; the rest is streamed, and a
// Read that fails before io.EOF means that the response is incomplete.
type Result struct {
	Outcome    Outcome
	Reason     string
	Status     int // 0 without a response
	Header     http.Header
	Body       io.ReadCloser // never nil
	RetryAfter time.Duration
	Retried    bool // an entry has retried the call
	RequestID  string
	GivenUp    []string // earlier request IDs of the call, each proved not run
	Address    string   // of the entry that answered last
	Attempts   int
	Err        error // of the last attempt without a response
}
