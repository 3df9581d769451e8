package proxy

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/transport"
)

// Target is the service and route that a request belongs to.
type Target struct {
	Service    string
	Route      string
	Class      string // class of calls whose caller names none
	Idempotent *bool  // nil means by method
}

// Class is a request class of the configuration in force.
type Class struct {
	Name     string
	Priority int
	Deadline time.Duration // of calls whose caller gives none
	Hedge    bool
}

// Directory resolves requests against the configuration in force. It is called from the goroutines of the calls and
// must not block.
type Directory interface {
	// Resolve finds the service and route of a request.
	Resolve(r *http.Request) (Target, bool)
	// Class finds a class by name.
	Class(name string) (Class, bool)
	// KnownCustomer reports whether calls of the customer are accepted.
	KnownCustomer(name string) bool
}

// VerdictKind says what a registrar allows.
type VerdictKind int

const (
	// VerdictRun means that the ID is new and recorded; the call runs here, and Finish must be called.
	VerdictRun VerdictKind = iota
	// VerdictWait means that the first attempt is running; Done is closed when Begin should be asked again.
	VerdictWait
	// VerdictReplay means that the call has finished with Answer.
	VerdictReplay
	// VerdictUnknown means that the ID's window has expired, or its registrar is gone.
	VerdictUnknown
	// VerdictForward means that the entry at Peer registers the ID.
	VerdictForward
)

// Verdict is a registrar's decision about a request ID.
type Verdict struct {
	Kind   VerdictKind
	Done   <-chan struct{}
	Answer *Answer
	Peer   string // address of the peer port
}

// Registrar keeps the at-most-once record. It is asked only for calls that carry an ID and aren't idempotent. Begin
// must not block.
type Registrar interface {
	Begin(now time.Time, c *Call) Verdict
	Finish(now time.Time, c *Call, a Answer)
}

// Pool is one candidate for a call.
type Pool struct {
	ID      string
	Version string
	Owner   string // address of the owner's peer port; empty when this entry is the owner
}

// FailedAttempt is an attempt that ended without a response.
type FailedAttempt struct {
	Pool       Pool
	Upstream   string // empty when the pool refused
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

// Pools chooses the version and pool of a call.
type Pools interface {
	// Choose returns the next pool, or false when no other pool is worth trying. At most MaxPools pools are tried.
	Choose(now time.Time, c *Call, tried []FailedAttempt) (Pool, bool)
	// UpdateSummary takes the summary that came with a forwarded response.
	UpdateSummary(now time.Time, p Pool, summary string)
}

// Grant is the right to send one request to an upstream.
type Grant struct {
	ID       uint64
	Pool     string
	Upstream string
	Address  string
	Cold     bool
}

// Refusal is the error of Slots.Acquire for a call that gets no slot.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no slot: %s (retry after %s)", r.Reason, r.RetryAfter)
}

// ResultKind is how a granted request ended.
type ResultKind int

// Kinds of results, as in the interface of internal/dispatch.
const (
	ResultSuccess ResultKind = iota
	ResultFailure
	ResultNotRun
	ResultConnectFailed
	ResultCrashed
	ResultTimedOut
	ResultCancelled
)

// Result reports a granted request's end.
type Result struct {
	Kind    ResultKind
	Status  int           // 0 without a response
	Latency time.Duration // until the response's header
	Total   time.Duration // until the response's end
	Report  *transport.LoadReport
	Closing bool // the response had Connection: close, as from an upstream that is leaving
}

// Slots grants upstreams of the pools that this entry owns.
type Slots interface {
	// Acquire blocks until an upstream is granted. The error is a *Refusal or ctx.Err().
	Acquire(ctx context.Context, pool string, c *Call) (Grant, error)
	// Finish is called exactly once per grant.
	Finish(g Grant, c *Call, r Result)
	// Summary returns the pool's summary for the response to a forward.
	Summary(pool string) string
}

// Retries decides on attempts beyond the first.
type Retries interface {
	// MayRetry takes one retry from the service's budget. It is asked only when another attempt would be safe.
	MayRetry(now time.Time, c *Call, t FailedAttempt) bool
	// HedgeAfter returns the delay of a hedge for an idempotent call, or false for no hedge.
	HedgeAfter(now time.Time, c *Call) (time.Duration, bool)
	// MayHedge takes one hedge from the budget, when the delay has passed.
	MayHedge(now time.Time, c *Call) bool
	// Observe is told about each call's end.
	Observe(now time.Time, c *Call, o Outcome, total time.Duration)
}

// Poison blocks requests that crash upstreams.
type Poison interface {
	// Blocked reports whether the request is blocked. It is asked before each attempt, and waits while it is being found
	// out whether an earlier attempt crashed its upstream: a retry in that time would crash the next one.
	Blocked(now time.Time, fingerprint string) bool
	// ConnectionLost is told when a connection was lost during a request's run. It counts as a crash if the upstream
	// refuses connections or restarts afterwards; transport.CheckConnect gives that evidence.
	ConnectionLost(now time.Time, fingerprint, upstream string)
}

// RoundTripper makes one round trip; *transport.Transport implements it.
type RoundTripper interface {
	RoundTrip(ctx context.Context, address string, req *http.Request, idempotent bool) (*transport.Response, error)
}

// Deps are the decisions and connections that a Proxy uses. All are required.
type Deps struct {
	Directory Directory
	Registrar Registrar
	Pools     Pools
	Slots     Slots
	Retries   Retries
	Poison    Poison
	Upstreams RoundTripper // to upstreams of own pools
	Peers     RoundTripper // to the peer ports of other entries
}
