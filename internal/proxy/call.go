package proxy

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Outcome is what a caller may conclude about its call.
type Outcome string

// Outcomes, as in the Boragehinge-Outcome header.
const (
	Done    Outcome = "done"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason is the value of the Boragehinge-Reason header. Implementations of the interfaces in Deps may add reasons of
// their own.
type Reason string

// Reasons given by this package.
const (
	ReasonInvalid         Reason = "invalid-request"
	ReasonNoService       Reason = "no-service"
	ReasonNoPool          Reason = "no-pool"
	ReasonDeadline        Reason = "deadline"
	ReasonCancelled       Reason = "cancelled"
	ReasonConnectFailed   Reason = "connect-failed"
	ReasonConnectionLost  Reason = "connection-lost"
	ReasonSilent          Reason = "connection-silent"
	ReasonMalformed       Reason = "malformed-response"
	ReasonUpstreamRefused Reason = "upstream-refused"
	ReasonRequestBody     Reason = "request-body"
	ReasonPoison          Reason = "poison"
	ReasonRegistrarGone   Reason = "registrar-gone"
	ReasonResultGone      Reason = "result-gone"
	ReasonStopping        Reason = "stopping"
	ReasonPanic           Reason = "internal-error"
	ReasonCustomerLimit   Reason = "customer-limit" // answered with 429
	ReasonWrongOwner      Reason = "wrong-owner"
	ReasonInterrupted     Reason = "interrupted"
)

// Call is one validated call with defaults applied. It is owned by the goroutine that serves it; implementations of the
// interfaces in Deps may read it during a method call and must not retain it.
type Call struct {
	RequestID    string
	Customer     string
	Class        string
	Priority     int
	Service      string
	Route        string
	Version      string // chosen with the pool
	Deadline     time.Time
	Received     time.Time
	Idempotent   bool
	FirstAttempt bool
	Hedgeable    bool     // the class allows hedges
	Hedge        bool     // this attempt is a hedge
	Attempt      int      // number of the attempt, from 1
	Retried      bool     // an attempt before this one was dispatched
	Depth        int      // number of calls above this one in the call chain
	Exclude      []string // upstreams that the next attempt should avoid
	Method       string
	Path         string

	onGrant    func(upstream string)
	bodyPrefix []byte // the part of the body that was read before the first attempt
}

// registered reports whether the call's request ID is registered, so that the call runs at most once.
func (c *Call) registered() bool { return c.RequestID != "" && !c.Idempotent }

// fingerprintBodyBytes is the length of the body prefix that a fingerprint includes.
const fingerprintBodyBytes = 1 << 10

// Fingerprint identifies the request when requests that crash upstreams are blocked: the request ID or, without one, a
// hash of the method, the path and the beginning of the body.
func (c *Call) Fingerprint() string {
	if c.RequestID != "" {
		return c.RequestID
	}
	h := xxhash.New()
	_, _ = h.WriteString(c.Method)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(c.Path)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(c.bodyPrefix[:min(len(c.bodyPrefix), fingerprintBodyBytes)])
	return "h" + strconv.FormatUint(h.Sum64(), 16)
}

// Answer is the recorded result of a registered call, replayed to resends.
type Answer struct {
	Outcome    Outcome
	Reason     Reason
	Status     int
	RetryAfter time.Duration
	Header     http.Header // end-to-end headers, nil unless Kept
	Body       []byte
	Kept       bool // Header and Body hold the complete response; otherwise only the outcome is recorded
}
