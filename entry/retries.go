package entry

import (
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/retry"
)

// retries implements proxy.Retries with the retry budgets and the hedgers.
type retries struct {
	e       *Entry
	policy  *retry.Policy
	hedgers sync.Map // hedgerKey to *retry.Hedger
}

type hedgerKey struct{ service, class string }

func newRetries(e *Entry) *retries { return &retries{e: e, policy: retry.NewPolicy()} }

// overloadReasons are the reasons for which pools refuse calls for lack of capacity.
var overloadReasons = map[proxy.Reason]bool{"overload": true, "cold": true, "no-upstream": true}

// MayRetry implements proxy.Retries.
func (r *retries) MayRetry(now time.Time, c *proxy.Call, t proxy.FailedAttempt) bool {
	fault := retry.Lost
	if t.Outcome == proxy.NotRun {
		fault = retry.NotRun
	}
	d := r.policy.Decide(now, c.Service, retry.Attempt{
		Fault: fault, Idempotent: c.Idempotent, Retried: c.Retried && c.Attempt == 1, AllOverloaded: overloadReasons[t.Reason],
		Number: c.Attempt, Remaining: c.Deadline.Sub(now),
	})
	if d.Retry {
		r.e.metrics.Retry(c.Service, string(t.Reason))
	}
	return d.Retry
}

func (r *retries) hedger(c *proxy.Call) *retry.Hedger {
	key := hedgerKey{c.Service, c.Class}
	if h, ok := r.hedgers.Load(key); ok {
		return h.(*retry.Hedger)
	}
	h, _ := r.hedgers.LoadOrStore(key, retry.NewHedger())
	return h.(*retry.Hedger)
}

// HedgeAfter implements proxy.Retries.
func (r *retries) HedgeAfter(now time.Time, c *proxy.Call) (time.Duration, bool) {
	if !c.Hedgeable || !c.Idempotent {
		return 0, false
	}
	h := r.hedger(c)
	h.Call(now)
	return h.Delay(now)
}

// MayHedge implements proxy.Retries.
func (r *retries) MayHedge(now time.Time, c *proxy.Call) bool {
	d := r.hedger(c).Decide(now, retry.Hedge{
		Idempotent: c.Idempotent, ClassAllowsHedging: c.Hedgeable, Attempts: c.Attempt, Remaining: c.Deadline.Sub(now),
	})
	if d.Retry {
		r.e.metrics.Hedge(c.Service)
	}
	return d.Retry
}

// Observe implements proxy.Retries.
func (r *retries) Observe(now time.Time, c *proxy.Call, o proxy.Outcome, total time.Duration) {
	r.policy.Call(now, c.Service)
	r.e.metrics.Request(c.Service, c.Class, string(o), total.Seconds())
	if o == proxy.Done && c.Hedgeable && !c.Retried {
		r.hedger(c).Observe(now, total)
	}
}
