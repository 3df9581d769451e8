package placement

import (
	"math"
	"time"
)

// UpstreamSpec describes one upstream.
type UpstreamSpec struct {
	ID, Address, DataCentre, Version string
	Slots                            int
	ColdLeft                         time.Duration // remaining cold start time when Configure is called
	Born                             int64         // changes at each start of the upstream's process
	Limit                            *float64      // requests per second that the upstream names as its limit, for one that is new to the pool; nil if none
	Closed                           bool          // gets no new requests, because it or its data centre is being removed
}

// Spec is the configuration of a pool.
type Spec struct {
	Upstreams     []UpstreamSpec
	ColdPerSecond float64 // requests per second that a cold upstream can handle
	// ColdFactor and ColdSlack limit the requests to a cold upstream in any second, summed over all entries, to
	// ColdPerSecond*ColdFactor + ColdSlack.
	ColdFactor, ColdSlack float64
	RetryRatio            float64 // retries and hedges per request within RetryWindow, over all entries
	RetryBurst            float64 // retries and hedges within RetryWindow in addition to the ratio
	RetryWindow           time.Duration
	// HedgeLimit limits the hedges per request within RetryWindow, over all entries, in addition to the retry budget. 0 turns hedges
	// off. A value above 0 also turns on the hedges of calls that take longer than nearly all of their route. nil means no such limit.
	HedgeLimit *float64
	// BadShare and BadSlack limit the requests that a bad version may get during its move: BadShare of all requests, plus
	// BadSlack requests.
	BadShare, BadSlack float64
	// AllowUnprobed permits upstreams that have no probe result. It is set on an entry without a leader, which does its own
	// placement and doesn't probe.
	AllowUnprobed bool
	// TransferCost is the latency that is accepted to keep 1000 bytes within their data centre, as long as the request is in time; 0 leaves
	// the size of requests and responses out of account.
	TransferCost time.Duration
	// ObjectiveFromFirstTry counts the objective of a request that its caller sends again from its first try, and learns after how many
	// refusals callers give up, which decides what share of the retry budget an attempt may use.
	ObjectiveFromFirstTry bool
	// AvoidFailing makes requests that may not be repeated prefer upstreams on which few recent requests failed, see failureCost.
	AvoidFailing bool
	// UpstreamsUnknown says that the records of the upstreams have not been read yet. Requests wait for them rather than be refused.
	UpstreamsUnknown bool
	// MaxInFlight limits the concurrent requests to an upstream in addition to its slots; 0 means no such limit.
	MaxInFlight int
	// MaxRequestBytes limits the bytes of the concurrent requests to an upstream, see Ask.RequestBytes; 0 means no such limit. An
	// upstream without running requests accepts a request of any size.
	MaxRequestBytes int64
	// OneBody replaces MaxRequestBytes by one concurrent request with a body per upstream, because other entries may place requests too.
	// It has no effect without MaxRequestBytes.
	OneBody bool
	// HoldBodies keeps requests with a body waiting, because the requests that run on the upstreams aren't known yet. It has no effect
	// without MaxRequestBytes.
	HoldBodies bool
	// MaxTickGap is the time since the last tick above which the process of the pool was suspended; 0 if that isn't observed. Requests
	// with a body are then held for HoldAfterGap. It has no effect without MaxRequestBytes.
	MaxTickGap, HoldAfterGap time.Duration
	// LimitShare is the fraction of the limits named by upstreams that this pool uses, because other entries may use the rest; 0 means
	// the whole.
	LimitShare float64
	// ResetsWhenFull says that the upstreams reset connections when they are full, so that the causes of lost connections have to be told
	// apart, see LossEvidence.
	ResetsWhenFull bool
}

// coldRate is the token rate, in requests per second, of this pool for each cold upstream. It is ColdPerSecond, or less if the
// burst and a second leader at the same time could otherwise exceed the limit.
func (s *Spec) coldRate() float64 {
	limit := s.ColdPerSecond*s.ColdFactor + s.ColdSlack
	return max(0, min(s.ColdPerSecond, math.Floor(limit/maxConcurrentLeaders)-coldBurst-coldLateArrivals))
}

// Ask is a placement request: one attempt of a client request that needs an upstream.
type Ask struct {
	ID         uint64
	RequestID  string
	Route      string
	DataCentre string // data centre of the entry that received the request
	Large      bool   // the response is large, so a near upstream is preferred
	// TransferBytes is the expected size of the request and its response.
	TransferBytes int64
	// RequestBytes is the size of the request's body; 0 if it has none or its size isn't known.
	RequestBytes int64
	Priority     int       // 0 is the highest
	Objective    time.Time // end of the latency objective
	Deadline     time.Time
	Attempt      int // 1 for the first
	// Returns says that the caller is expected to retry after a refusal.
	Returns     bool
	Exclude     []string // IDs of upstreams that must not be used
	Fingerprint uint64   // hash of method, host, URI and body; 0 when unknown
	// Repeated says that the caller has sent the request before and isn't expected to retry again. Objective is counted from its first try,
	// so it may have passed.
	Repeated bool
	// MayHedge says that a hedge may run concurrently with this attempt, because the request may safely run twice.
	MayHedge bool
	Account  string // client account of the request; empty if it belongs to none
}

// Grant assigns an upstream to an Ask. The slot is held until Finish. If IsHedge(Grant.Ask), the grant starts a hedge for an Ask
// that is already running.
type Grant struct {
	Ask      uint64 // ID of the Ask
	Upstream string
	Born     int64 `cbor:",omitempty"` // see UpstreamSpec
	Address  string
	Cold     bool
	Pace     float64       // slowdown reported by the upstream: 1 is usual, 4 means that work takes four times as long
	PaceAge  time.Duration // age of Pace, -1 if the upstream has reported none
	Waited   time.Duration // time in the queue
	Running  int           // requests of this pool on the upstream, including this one
}

// Reason says why an Ask is refused.
type Reason string

// Reasons for refusals.
const (
	ReasonNoUpstream Reason = "no-upstream"  // no upstream of the service can be used
	ReasonOverload   Reason = "overload"     // the queue is too long for the deadline
	ReasonDeadline   Reason = "deadline"     // the remaining time is shorter than the service time
	ReasonBudget     Reason = "retry-budget" // the retry exceeds the budget
	ReasonCrashes    Reason = "crashes"      // the request crashed several upstreams
)

// Refusal ends an Ask that was not sent to any upstream.
type Refusal struct {
	Ask        uint64
	Reason     Reason
	RetryAfter time.Duration
	Queued     int // length of the queue at that time
}

// Outcome says how an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	Success       Outcome = iota
	Failure               // the upstream answered with an error of its own
	NotRun                // the upstream reported that it did not run the request
	ConnectFailed         // no connection was established, so no byte was sent
	Lost                  // the connection was lost, or the response is malformed
	TimedOut              // no response in time
	Cancelled             // the caller disconnected; not a sign of an upstream fault
	WrongInstance         // another instance answers at the upstream's address
	Superseded            // another attempt of the request answered first, so this one was abandoned
)

var outcomeNames = [...]string{"success", "failure", "not-run", "connect-failed", "lost", "silent", "cancelled", "elsewhere", "outrun"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is the load that an upstream reports.
type Load struct {
	Running int     `cbor:"1,keyasint"`
	Waiting int     `cbor:"2,keyasint"`
	Slots   int     `cbor:"3,keyasint"`
	Pace    float64 `cbor:"4,keyasint"` // slowdown, 1 is usual; 0 if the report has none
}

// Report is what an upstream tells about itself in a response.
type Report struct {
	Load  *Load    // nil if it tells none
	Limit *float64 // requests per second that it takes from all entries together; nil if it names no limit
	// Leaving says that it shuts down and takes no new requests soon.
	Leaving bool
	// RetryAfter is the time for which it wants no requests from the entry that it has refused one of; 0 if it names none.
	RetryAfter time.Duration
	// Loss tells how the connection was lost, if it was, instead of a complete response.
	Loss *Loss
}

// End is the result of a granted attempt.
type End struct {
	Ask     uint64 // ID of the Ask
	Outcome Outcome
	Latency time.Duration // from the grant to the end of the response
	Load    *Load
	Limit   *float64 // see Report
	Loss    *Loss    // for Lost; nil if nothing is known about it
}

// Probe is the result of a health probe.
type Probe struct {
	Upstream      string
	Answered      bool // false if there was no connection or no response
	Healthy       bool
	WrongInstance bool // another instance answers at the upstream's address
	ColdLeft      time.Duration
	Load          *Load
	Limit         *float64 // see Report
	Leaving       bool     // see Report
	// Took is the time from sending the probe to its answer, ConnAge the age of its connection.
	Took, ConnAge time.Duration
	// ConnReset says that the upstream accepted a new connection and reset it instead of answering.
	ConnReset bool
	// Age is the time since the result, 0 for one that is recorded at once. A follower's probe is recorded when its report arrives.
	Age time.Duration
}

// Decisions are the results of one method call on a Pool. They are valid until the next call.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
	// CrashesChanged says that Crashes returns something that the next leader must know.
	CrashesChanged bool
	// ProbeSoon is the upstream that is to be probed as soon as possible, to find the cause of a lost connection; empty if there is none.
	ProbeSoon string
}
