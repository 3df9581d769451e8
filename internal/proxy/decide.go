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
	Class      string // class of calls without a class header
	Idempotent *bool  // nil means that the method decides
}

// Class is a request class of the active configuration.
type Class struct {
	Name     string
	Priority int
	Deadline time.Duration // for calls without a deadline header
	Hedge    bool
}

// Directory resolves requests against the active configuration. It is called from the goroutines of the calls and
// must not block.
type Directory interface {
	// Resolve finds the service and route of a request.
	Resolve(r *http.Request) (Target, bool)
	// Class finds a class by name.
	Class(name string) (Class, bool)
	// KnownCustomer reports whether calls of the customer are accepted.
	KnownCustomer(name string) bool
}

// VerdictKind says how to proceed with a call that carries a request ID.
type VerdictKind int

const (
	// VerdictRun means that the ID is new and recorded; the call runs here, and Finish must be called.
	VerdictRun VerdictKind = iota
	// VerdictWait means that an earlier attempt is running; Done is closed when Begin should be called again.
	VerdictWait
	// VerdictReplay means that the call has finished and that Answer is its result.
	VerdictReplay
	// VerdictUnknown means that nothing is known about earlier attempts: the ID's window has expired, or its registrar
	// is gone.
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

// Registrar records request IDs so that each call runs at most once. It is used only for calls that carry an ID and
// aren't idempotent. Begin must not block.
type Registrar interface {
	Begin(now time.Time, c *Call) Verdict
	Finish(now time.Time, c *Call, a Answer)
}

// Pool is a pool of upstreams that may serve a call.
type Pool struct {
	ID      string
	Version string
	Owner   string // address of the owner's peer port; empty when this entry is the owner
}

// FailedAttempt is an attempt that ended without a response.
type FailedAttempt struct {
	Pool       Pool
	Upstream   string // empty if no upstream was granted
	Outcome    Outcome
	Reason     Reason
	RetryAfter time.Duration
}

// Pools chooses the version and pool of a call.
type Pools interface {
	// Choose returns the next pool, or false if no other pool should be tried. At most MaxPools pools are tried.
	Choose(now time.Time, c *Call, tried []FailedAttempt) (Pool, bool)
	// UpdateSummary stores the pool summary that came with the response to a forward.
	UpdateSummary(now time.Time, p Pool, summary string)
}

// Grant is the permission to send one request to an upstream.
type Grant struct {
	ID       uint64
	Pool     string
	Upstream string
	Address  string
	Cold     bool
}

// Refusal is the error of Slots.Acquire if no slot is granted.
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

// Kinds of results, as in package internal/dispatch.
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
	Closing bool // the response had Connection: close, which upstreams send when they shut down
}

// Slots grants slots of the upstreams in the pools that this entry owns.
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
	// MayRetry takes one retry from the service's budget. It is called only if another attempt is safe.
	MayRetry(now time.Time, c *Call, t FailedAttempt) bool
	// HedgeAfter returns the delay of a hedge for an idempotent call, or false for no hedge.
	HedgeAfter(now time.Time, c *Call) (time.Duration, bool)
	// MayHedge takes one hedge from the budget. It is called after the delay has passed.
	MayHedge(now time.Time, c *Call) bool
	// Observe records the outcome and duration of each call.
	Observe(now time.Time, c *Call, o Outcome, total time.Duration)
}

// Poison blocks requests that crash upstreams.
type Poison interface {
	// Blocked reports whether the request is blocked. It is called before each attempt, and blocks while it is being
	// determined whether an earlier attempt crashed its upstream: a retry in that time could crash another one.
	Blocked(now time.Time, fingerprint string) bool
	// ConnectionLost reports a connection that was lost while the request may have been running. It counts as a crash if
	// the upstream refuses connections or restarts afterwards, which transport.CheckConnect tests.
	ConnectionLost(now time.Time, fingerprint, upstream string)
}

// RoundTripper makes one round trip; *transport.Transport implements it.
type RoundTripper interface {
	RoundTrip(ctx context.Context, address string, req *http.Request, idempotent bool) (*transport.Response, error)
}

// Deps holds the policies and transports that a Proxy uses. All are required.
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
