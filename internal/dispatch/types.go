package dispatch

import "time"

// Reason says why a call was refused. It is sent in the Boragehinge-Reason header. A refusal guarantees that this pool
// sent no byte of the call to an upstream.
type Reason string

// Reasons for a refusal.
const (
	ReasonDeadline    Reason = "deadline"     // the estimated service time exceeds the time left before the deadline
	ReasonOverload    Reason = "overload"     // the expected wait is too long, or the queue is full and this call gave way
	ReasonLimit       Reason = "limit"        // a hard rate limit of the customer or class is exhausted
	ReasonClosed      Reason = "closed"       // the pool is closed: its data centre is leaving
	ReasonNoUpstream  Reason = "no-upstream"  // no available upstream has the version and is not excluded
	ReasonCold        Reason = "cold"         // only cold upstreams are left, and the owner's view is not confirmed
	ReasonDuplicateID Reason = "duplicate-id" // a call with the same ID is queued or running
)

// Request is one attempt of a call. The ID is unique among the attempts that the pool holds.
type Request struct {
	ID         uint64
	Customer   string
	Class      string
	Route      string
	Version    string // empty: any version
	Priority   int    // selects a class when Class is not in the Spec; 0 is the highest
	Deadline   time.Time
	Idempotent bool
	Hedge      bool     // refused instead of queued when no slot is free
	Exclude    []string // upstreams that earlier attempts used; not copied, so the caller must not modify it
}

// Grant tells the caller to send a request to an upstream. The request occupies a slot until Finish or Cancel.
type Grant struct {
	RequestID uint64
	Upstream  string
	Address   string
	Cold      bool          // the upstream is in cold start
	Waited    time.Duration // time in the queue
}

// Refusal ends a request that was not sent to any upstream.
type Refusal struct {
	RequestID  uint64
	Reason     Reason
	RetryAfter time.Duration
}

// OutcomeKind classifies how an attempt ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	Success       OutcomeKind = iota
	Failure                   // the upstream answered with a server error
	NotRun                    // the upstream refused the call and states that it did not run it
	ConnectFailed             // no connection could be opened, so no byte was sent
	Crashed                   // the connection was lost while the call ran
	TimedOut                  // the deadline passed without a full response
	Cancelled                 // the caller cancelled the call; does not indicate a fault of the upstream
)

// Outcome describes how a granted attempt ended.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration // from the grant to the end of the response
	Report  *LoadReport   // from the upstream's load header; nil when absent
}

// LoadReport is the Boragehinge-Load header of an upstream's response.
type LoadReport struct {
	InFlight int
	Queued   int
	Cold     bool
	Draining bool
	Seq      uint64 // increases with each report; a lower value indicates a restart
}

// Events holds the decisions made by one call on the Pool. The slices are valid until the next call on the same Pool.
type Events struct {
	Grants   []Grant
	Refusals []Refusal
}

// UpstreamSpec describes one upstream of the pool.
type UpstreamSpec struct {
	Name    string
	Address string
	Version string
	Slots   int
	Leaving bool // draining: gets no new calls; running calls finish
	Cold    bool // in cold start when it first appears or when the pool is taken over
}

// ClassSpec describes one request class.
type ClassSpec struct {
	Name     string
	Priority int     // 0 is the highest
	MinShare float64 // share of the grants, 0 to 1, that higher priorities cannot take
}

// CustomerSpec describes one customer's weight within each class.
type CustomerSpec struct {
	Name          string
	Weight        float64 // zero means 1
	PriorityBoost int     // number of classes by which the customer's calls move up
}

// LimitSpec configures a token bucket. Rate and Burst are this pool's share of a global limit.
type LimitSpec struct {
	Customer string  // empty: one bucket for all customers; "*": one bucket per customer
	Class    string  // empty: any class
	Rate     float64 // calls per second
	Burst    float64 // calls; zero means one second of Rate, at least 1
	Soft     bool    // counts calls over the limit but never refuses
}

// Spec is the pool's configuration. The Pool keeps no reference to its slices.
type Spec struct {
	Upstreams []UpstreamSpec
	Classes   []ClassSpec
	Customers []CustomerSpec
	Limits    []LimitSpec
	// Closed stops all grants; queued calls are refused and running ones finish.
	Closed bool
	// MaxQueued bounds the number of queued calls and so the memory of the queue; zero means 4096.
	MaxQueued int
	// ServiceTime is the initial estimate, used until a call has finished; zero means 10 ms.
	ServiceTime time.Duration
}

// Health is an upstream's state as operators see it.
type Health string

// States of an upstream.
const (
	Healthy Health = "healthy"
	Cold    Health = "cold"
	Ejected Health = "ejected"
	Leaving Health = "leaving"
)

// UpstreamStatus describes one upstream for the status and explain commands.
type UpstreamStatus struct {
	Name, Address, Version string
	Health                 Health
	Reason                 string // why it is ejected, cold or leaving; empty when healthy
	Slots                  int    // from the Spec
	Allowance              int    // slots usable now; below Slots in cold start
	InFlight               int
	EjectedUntil           time.Time // zero unless ejected
	Ejections              int       // consecutive; determines the backoff
	Latency                time.Duration
	FailureRate            float64 // exponential moving average, 0 to 1
	ReportTrusted          bool    // false: its load reports contradict the outcomes of calls
	SlowRoutes             []string
	Grants                 uint64
}

// VersionSummary is the part of a Summary that describes one version.
type VersionSummary struct {
	Version         string
	Slots, InFlight int
}

// WaitSummary is the expected queueing delay of a new call of one class.
type WaitSummary struct {
	Class    string
	Priority int
	Queued   int
	Wait     time.Duration
}

// LimitStatus holds the counters of one limit.
type LimitStatus struct {
	Limit           LimitSpec
	Passed, Refused uint64
	Over            uint64 // calls beyond a soft limit
}

// Summary describes the capacity and load of a pool. Entries use it to choose the pool of a call.
type Summary struct {
	Closed      bool
	Slots       int // usable now
	InFlight    int
	Queued      int
	ServiceTime time.Duration
	Waits       []WaitSummary // ordered by priority
	Versions    []VersionSummary
}
