package dispatch

import "time"

// Reason says why a call was refused. Its text appears in the Boragehinge-Reason header. Every refusal is truthful:
// no byte of a refused call was handed to an upstream by this pool.
type Reason string

// Reasons of refusals.
const (
	ReasonDeadline    Reason = "deadline"     // cannot be answered before its deadline at the measured service time
	ReasonOverload    Reason = "overload"     // too late by the expected wait, or displaced from a full queue
	ReasonLimit       Reason = "limit"        // a hard limit of the customer or class
	ReasonClosed      Reason = "closed"       // the pool is closed: its data centre is leaving
	ReasonNoUpstream  Reason = "no-upstream"  // no usable upstream of the version outside the exclusion list
	ReasonCold        Reason = "cold"         // only cold upstreams are left, and they are at their allowance or unconfirmed
	ReasonDuplicateID Reason = "duplicate-id" // a call with the same ID is queued or running
)

// Request is one attempt of a call. The ID is unique among the attempts that the pool holds.
type Request struct {
	ID         uint64
	Customer   string
	Class      string
	Route      string
	Version    string // empty: any version
	Priority   int    // used only when Class is not in the Spec; 0 is the highest
	Deadline   time.Time
	Idempotent bool
	Hedge      bool     // the call is refused instead of queued when no slot is free
	Exclude    []string // upstreams that earlier attempts of the call used; not copied, must not change
}

// Grant tells the caller to send a request to an upstream. The slot is held until Finish or Cancel.
type Grant struct {
	RequestID uint64
	Upstream  string
	Address   string
	Cold      bool          // the upstream is in cold start
	Waited    time.Duration // time in the queue
}

// Refusal ends a request that no upstream has seen.
type Refusal struct {
	RequestID  uint64
	Reason     Reason
	RetryAfter time.Duration
}

// OutcomeKind classifies how an attempt ended.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	Success       OutcomeKind = iota
	Failure                   // the upstream answered with a server error
	NotRun                    // the upstream refused and says that it did not run the call
	ConnectFailed             // no connection, no byte was sent
	Crashed                   // the connection was lost during the run
	TimedOut                  // the deadline passed without a full response
	Cancelled                 // the caller gave up; says nothing about the upstream
)

// Outcome is the end of a granted attempt.
type Outcome struct {
	Kind    OutcomeKind
	Latency time.Duration // from the grant to the end of the response
	Report  *LoadReport   // the upstream's load header, nil when absent
}

// LoadReport is the Boragehinge-Load header of an upstream's response.
type LoadReport struct {
	InFlight int
	Queued   int
	Cold     bool
	Draining bool
	Seq      uint64 // rises with each report; a lower value shows a restart
}

// Events are the decisions of one call on the Pool. The slices are valid until the next call on the same Pool.
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
	Leaving bool // no new work; running calls finish
	Cold    bool // known to be in cold start when it first appears or the pool is taken over
}

// ClassSpec describes one request class.
type ClassSpec struct {
	Name     string
	Priority int     // 0 is the highest
	MinShare float64 // share of grants kept while higher priorities would take all, 0 to 1
}

// CustomerSpec describes one customer's weight inside each class.
type CustomerSpec struct {
	Name          string
	Weight        float64 // zero means 1
	PriorityBoost int     // classes that the customer's calls move up in the queue
}

// LimitSpec is a token bucket. Rate and Burst are this pool's share of a global limit.
type LimitSpec struct {
	Customer string  // empty: all customers together; "*": each customer separately
	Class    string  // empty: any class
	Rate     float64 // calls per second
	Burst    float64 // calls; zero means one second of Rate, at least 1
	Soft     bool    // metered, never refuses
}

// Spec is the pool's configuration. The Pool keeps no reference to its slices.
type Spec struct {
	Upstreams []UpstreamSpec
	Classes   []ClassSpec
	Customers []CustomerSpec
	Limits    []LimitSpec
	// Closed stops all grants; queued calls are refused and running ones finish.
	Closed bool
	// MaxQueued bounds the memory of the queue; zero means 4096.
	MaxQueued int
	// ServiceTime is the estimate before any call was measured; zero means 10 ms.
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

// UpstreamStatus describes one upstream for status and explain.
type UpstreamStatus struct {
	Name, Address, Version string
	Health                 Health
	Reason                 string // why it is ejected, cold or leaving; empty when healthy
	Slots                  int    // from the Spec
	Allowance              int    // slots usable now; below Slots in cold start
	InFlight               int
	EjectedUntil           time.Time // zero unless ejected
	Ejections              int       // in a row; sets the backoff
	Latency                time.Duration
	FailureRate            float64 // moving average, 0 to 1
	ReportTrusted          bool    // false: its load report contradicts what calls show
	SlowRoutes             []string
	Grants                 uint64
}

// VersionSummary is the part of a Summary for one version.
type VersionSummary struct {
	Version         string
	Slots, InFlight int
}

// WaitSummary is the expected queueing time of a new call of one class.
type WaitSummary struct {
	Class    string
	Priority int
	Queued   int
	Wait     time.Duration
}

// LimitStatus is the meter of one limit.
type LimitStatus struct {
	Limit           LimitSpec
	Passed, Refused uint64
	Over            uint64 // calls past a soft limit
}

// Summary is what the choice among pools needs.
type Summary struct {
	Closed      bool
	Slots       int // usable now
	InFlight    int
	Queued      int
	ServiceTime time.Duration
	Waits       []WaitSummary // ordered by priority
	Versions    []VersionSummary
}
