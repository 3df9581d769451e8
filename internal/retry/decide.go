package retry

import (
	"sync"
	"time"
)

// MaxAttempts is the maximum number of attempts of a call at one ingress, each at another pool or upstream.
const MaxAttempts = 3

// Fault is the way in which an attempt failed.
type Fault int

// Faults of attempts.
const (
	NotRun           Fault = iota // provably not run: no byte was sent, or the receiver reported it
	Lost                          // bytes were sent, but no complete response was received
	FullResponse                  // a complete response with an error status
	DeadlineExceeded              // the call's deadline passed
	Cancelled                     // the caller disconnected
)

// Attempt is a failed attempt of a call.
type Attempt struct {
	Fault         Fault
	Idempotent    bool
	Retried       bool // the failure has the Boragehinge-Retried header
	AllOverloaded bool // all candidate pools refused the call because of overload
	Poisoned      bool // the request's fingerprint is blocked
	Number        int  // attempts made so far, including this one
	Remaining     time.Duration
	Expected      time.Duration // expected duration of another attempt, 0 if unknown
}

// Decision says whether to make another attempt, which is a retry or a hedge, and if not, why.
type Decision struct {
	Retry  bool
	Reason string
}

// Policy holds the retry budgets of all services at one ingress.
type Policy struct {
	mu      sync.RWMutex
	budgets map[string]*Budget
}

// NewPolicy returns a policy with full budgets.
func NewPolicy() *Policy { return &Policy{budgets: map[string]*Budget{}} }

func (p *Policy) budget(service string) *Budget {
	p.mu.RLock()
	b := p.budgets[service]
	p.mu.RUnlock()
	if b != nil {
		return b
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.budgets[service] == nil {
		p.budgets[service] = NewRetryBudget()
	}
	return p.budgets[service]
}

// Call counts a call to the service. The service must be in the configuration, so that the number of budgets is limited.
func (p *Policy) Call(now time.Time, service string) { p.budget(service).Call(now) }

// Decide decides whether a failed attempt is retried. If so, it has consumed budget. Whatever the decision, the failure that
// the caller finally receives must have the Boragehinge-Retried header.
func (p *Policy) Decide(now time.Time, service string, a Attempt) Decision {
	if reason := a.refusalReason(); reason != "" {
		return Decision{Reason: reason}
	}
	if !p.budget(service).Take(now) {
		return Decision{Reason: "the retry budget is exhausted"}
	}
	return Decision{Retry: true}
}

// refusalReason returns why the attempt must not be retried, or "".
func (a Attempt) refusalReason() string {
	switch {
	case a.Fault == FullResponse:
		return "a complete response is not retried"
	case a.Fault == DeadlineExceeded:
		return "the deadline has passed"
	case a.Fault == Cancelled:
		return "the caller has disconnected"
	case a.Fault == Lost && !a.Idempotent:
		return "the call may have run and is not idempotent"
	case a.Retried:
		return "an entry nearer to the fault has already decided on a retry"
	case a.AllOverloaded:
		return "all pools are overloaded"
	case a.Poisoned:
		return "the request crashes its upstreams"
	case a.Number >= MaxAttempts:
		return "the maximum number of attempts is reached"
	case a.Remaining <= 0 || a.Remaining < a.Expected:
		return "the remaining time is too short"
	}
	return ""
}
