package placement

import (
	"math"
	"time"
)

// UpstreamSpec describes one upstream.
type UpstreamSpec struct {
	ID, Address, DataCentre, Version string
	Slots                            int
	ColdLeft                         time.Duration // remaining cold start at the time of Configure
	Born                             int64         // changes with each start of the process
	Closed                           bool          // gets no new request: it leaves, or its data centre is taken out
}

// Spec is the configuration of a pool.
type Spec struct {
	Upstreams     []UpstreamSpec
	ColdPerSecond float64 // requests per second that a cold upstream bears
	// ColdFactor and ColdSlack bound the requests of a cold upstream in any second: ColdPerSecond*ColdFactor + ColdSlack, over
	// all entries.
	ColdFactor, ColdSlack float64
	RetryRatio            float64 // new attempts per request within RetryWindow, over all entries
	RetryBurst            float64
	RetryWindow           time.Duration
	// BadShare and BadSlack bound the requests that a bad version may get during its move, as a share of all and beside it.
	BadShare, BadSlack float64
	// AllowUnprobed allows upstreams that were not probed yet. An entry that places by itself has no probes.
	AllowUnprobed bool
	// MaxInFlight bounds the requests of an upstream below its slots; 0 means no further bound.
	MaxInFlight int
}

// coldRate is the rate of requests to a cold upstream: what it bears, or less where the burst and another entry that places
// at the same time would exceed the bound.
func (s *Spec) coldRate() float64 {
	bound := s.ColdPerSecond*s.ColdFactor + s.ColdSlack
	return max(0, min(s.ColdPerSecond, math.Floor(bound/coldLeaders)-coldBurst-coldLate))
}

// Ask is one attempt of a request that wants an upstream.
type Ask struct {
	ID         uint64
	RequestID  string
	Route      string
	DataCentre string // data centre of the entry that holds the request
	Large      bool   // the response is large, so a near upstream is preferred
	Priority   int    // 0 is the highest
	Objective  time.Time
	Deadline   time.Time
	Attempt    int // 1 for the first
	// Returns says that the caller is expected to come back after a refusal. Callers do so once.
	Returns     bool
	Exclude     []string
	Fingerprint uint64 // of method, path and body; 0 when unknown
	// MayHedge says that a second attempt may run beside this one, because the request may run twice.
	MayHedge bool
}

// Grant sends an ask to an upstream. The slot is held until Finish. A grant whose number is a hedge's starts a second attempt of
// an ask that runs already.
type Grant struct {
	Ask      uint64
	Upstream string
	Address  string
	Cold     bool
	Pace     float64       // 1 is the usual pace, 4 means that work takes four times as long
	PaceAge  time.Duration // age of Pace
	Waited   time.Duration
	Running  int // requests of this pool on the upstream, with this one
}

// Reason says why an ask is refused.
type Reason string

// Reasons of refusals.
const (
	ReasonNoUpstream Reason = "no-upstream"  // no upstream of the service may be used
	ReasonOverload   Reason = "overload"     // the queue is too long for the deadline
	ReasonDeadline   Reason = "deadline"     // the remaining time is shorter than the service time
	ReasonBudget     Reason = "retry-budget" // a new attempt beyond the budget
	ReasonCrashes    Reason = "crashes"      // the request crashed several upstreams
)

// Refusal ends an ask that no upstream has seen.
type Refusal struct {
	Ask        uint64
	Reason     Reason
	RetryAfter time.Duration
	Queued     int // asks that waited at the time
}

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	Success       Outcome = iota
	Failure               // the upstream answered with an error of its own
	NotRun                // the upstream says that it did not run the request
	ConnectFailed         // no connection, no byte was sent
	Lost                  // the connection was lost, or the response can't be read
	TimedOut              // no response in time
	Cancelled             // the caller left; says nothing about the upstream
	WrongInstance         // another process has the address now
	Superseded            // another attempt of the request answered first, and this one was given up
)

var outcomeNames = [...]string{"success", "failure", "not-run", "connect-failed", "lost", "silent", "cancelled", "elsewhere", "outrun"}

// String returns the outcome in words.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is an upstream's report about itself.
type Load struct {
	Running int     `cbor:"1,keyasint"`
	Waiting int     `cbor:"2,keyasint"`
	Slots   int     `cbor:"3,keyasint"`
	Pace    float64 `cbor:"4,keyasint"` // 1 is the usual pace; 0 when the report has none
}

// End is the end of a granted attempt.
type End struct {
	Ask     uint64
	Outcome Outcome
	Latency time.Duration // from the grant to the end of the response
	Load    *Load
}

// Probe is the result of a health probe.
type Probe struct {
	Upstream      string
	Answered      bool // false: no connection or no response
	Healthy       bool
	WrongInstance bool // another process has the address
	ColdLeft      time.Duration
	Load          *Load
}

// Decisions are the decisions of one call on a Pool, valid until the next call.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}
