package retry

import (
	"sync"
	"time"
)

// MaxAttempts is the largest number of attempts of a call at one ingress, each at another pool or upstream.
const MaxAttempts = 3

// Fault is how an attempt failed.
type Fault int

// The faults of an attempt.
const (
	NotRun        Fault = iota // proved not run: no byte was sent, or the receiver says so
	Lost                       // bytes were sent and no full response came
	FullResponse               // a full response with a failure status
	DeadlineSpent              // the call's deadline passed
	Cancelled                  // the caller went away
)

// Attempt is a failed attempt of a call.
type Attempt struct {
	Fault         Fault
	Idempotent    bool
	Retried       bool // the failure carries Boragehinge-Retried
	AllOverloaded bool // all candidate pools refused for overload
	Poisoned      bool // the request's fingerprint is blocked
	Number        int  // attempts made so far, this one included
	Remaining     time.Duration
	Expected      time.Duration // time that another attempt takes, 0 when unknown
}

// Decision says whether to try again, and why not.
type Decision struct {
	Retry  bool
	Reason string
}

// Policy holds the retry budgets of all services of one ingress.
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

// Call counts a call to the service. The service must be one of the configuration, so that the budgets are bounded.
func (p *Policy) Call(now time.Time, service string) { p.budget(service).Call(now) }

// Decide judges a failed attempt. A positive decision has used the budget. Whatever it says, the failure that the
// caller receives in the end is marked as Boragehinge-Retried.
func (p *Policy) Decide(now time.Time, service string, a Attempt) Decision {
	if reason := a.forbidden(); reason != "" {
		return Decision{Reason: reason}
	}
	if !p.budget(service).Take(now) {
		return Decision{Reason: "the retry budget is spent"}
	}
	return Decision{Retry: true}
}

// forbidden returns why the attempt must not be repeated, or "".
func (a Attempt) forbidden() string {
	switch {
	case a.Fault == FullResponse:
		return "a full response is not retried"
	case a.Fault == DeadlineSpent:
		return "the deadline has passed"
	case a.Fault == Cancelled:
		return "the caller has gone"
	case a.Fault == Lost && !a.Idempotent:
		return "the call may have run and is not idempotent"
	case a.Retried:
		return "an entry nearer to the fault has judged it"
	case a.AllOverloaded:
		return "all pools are overloaded"
	case a.Poisoned:
		return "the request crashes its upstreams"
	case a.Number >= MaxAttempts:
		return "the attempts are used up"
	case a.Remaining <= 0 || a.Remaining < a.Expected:
		return "the remaining time is too short"
	}
	return ""
}
