package retry

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against bursts of retries, for example after an idle time: in any window, retries stay within 10 % of the calls plus 3.
func TestBudgetHoldsInEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget()
		now := start
		calls, taken := map[int64]int{}, map[int64]int{}
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			index := now.UnixNano() / int64(100*time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			case 1:
				for range rapid.IntRange(1, 50).Draw(t, "calls") {
					b.Call(now)
					calls[index]++
				}
			default:
				if b.Take(now) {
					taken[index]++
				}
			}
		}
		for last := range taken {
			c, r := 0, 0
			for i := last - 9; i <= last; i++ {
				c += calls[i]
				r += taken[i]
			}
			if float64(r) > RetryRatio*float64(c)+RetryPerSecond {
				t.Fatalf("%d retries for %d calls in one window", r, c)
			}
		}
	})
}

// Guards against retries that stop counting before they have left the window: a burst at the end of a bucket was granted again 0.91 s
// later.
func TestRetriesCountForTheWholeWindow(t *testing.T) {
	b := NewRetryBudget()
	endOfBucket := start.Truncate(100 * time.Millisecond).Add(99 * time.Millisecond)
	for b.Take(endOfBucket) {
	}
	assert.False(t, b.Take(endOfBucket.Add(910*time.Millisecond)))
	assert.True(t, b.Take(endOfBucket.Add(1010*time.Millisecond)))
}

// Guards against a budget that permits no retries for a service with few calls.
func TestBudgetServesFewCalls(t *testing.T) {
	b := NewRetryBudget()
	for i := range 3 {
		assert.True(t, b.Take(start), i)
	}
	assert.False(t, b.Take(start))
	assert.True(t, b.Take(start.Add(time.Hour)))
}

// Guards against retrying a call that may have run and is not idempotent, and against retries that add to an overload.
func TestDecide(t *testing.T) {
	good := Attempt{Fault: NotRun, Number: 1, Remaining: time.Second}
	with := func(change func(*Attempt)) Attempt {
		a := good
		change(&a)
		return a
	}
	cases := map[string]struct {
		attempt Attempt
		retry   bool
	}{
		"not run":                            {good, true},
		"lost, idempotent":                   {with(func(a *Attempt) { a.Fault, a.Idempotent = Lost, true }), true},
		"lost, not idempotent":               {with(func(a *Attempt) { a.Fault = Lost }), false},
		"full response":                      {with(func(a *Attempt) { a.Fault, a.Idempotent = FullResponse, true }), false},
		"deadline":                           {with(func(a *Attempt) { a.Fault, a.Idempotent = DeadlineExceeded, true }), false},
		"cancelled":                          {with(func(a *Attempt) { a.Fault, a.Idempotent = Cancelled, true }), false},
		"decided by a nearer entry":          {with(func(a *Attempt) { a.Retried = true }), false},
		"all pools overloaded":               {with(func(a *Attempt) { a.AllOverloaded = true }), false},
		"poison":                             {with(func(a *Attempt) { a.Poisoned = true }), false},
		"third attempt":                      {with(func(a *Attempt) { a.Number = MaxAttempts }), false},
		"remaining time shorter than a call": {with(func(a *Attempt) { a.Expected = 2 * time.Second }), false},
		"deadline passed just before":        {with(func(a *Attempt) { a.Remaining = 0 }), false},
	}
	for name, c := range cases {
		got := NewPolicy().Decide(start, "s", c.attempt)
		assert.Equal(t, c.retry, got.Retry, name)
		assert.Equal(t, c.retry, got.Reason == "", name)
	}
}

// Guards against retrying a call that may have run and is not idempotent, for any combination of the other fields.
func TestNoRetryOfACallThatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempt{
			Fault:         Fault(rapid.IntRange(0, 4).Draw(t, "fault")),
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			Retried:       rapid.Bool().Draw(t, "retried"),
			AllOverloaded: rapid.Bool().Draw(t, "overload"),
			Number:        rapid.IntRange(1, 4).Draw(t, "number"),
			Remaining:     time.Duration(rapid.IntRange(-1, 10).Draw(t, "remaining")) * time.Second,
		}
		if !NewPolicy().Decide(start, "s", a).Retry {
			return
		}
		safe := a.Fault == NotRun || a.Fault == Lost && a.Idempotent
		if !safe || a.Retried || a.AllOverloaded {
			t.Fatalf("retried %+v", a)
		}
	})
}

// callChain simulates calls through a chain of services whose last one loses each connection, and counts the attempts there.
// Each level is an ingress with its own budgets. applyRule enables Policy.Decide; without it each level makes MaxAttempts
// attempts. If forwardHeader is set, the services in between forward the failure with Boragehinge-Retried; otherwise they
// send a complete response of their own.
type callChain struct {
	depth         int
	applyRule     bool
	forwardHeader bool
	levels        []*Policy
	attempts      int
}

func (c *callChain) call(now time.Time, level int) (failure Attempt) {
	c.levels[level].Call(now, "s")
	for number := 1; ; number++ {
		failure = Attempt{Fault: Lost}
		if level == c.depth-1 {
			c.attempts++
		} else {
			failure = c.call(now, level+1)
			if !c.forwardHeader {
				failure = Attempt{Fault: FullResponse}
			}
		}
		failure.Idempotent, failure.Number, failure.Remaining = true, number, time.Minute
		if !c.applyRule {
			if number >= MaxAttempts {
				return failure
			}
			continue
		}
		if !c.levels[level].Decide(now, "s", failure).Retry {
			failure.Retried = true
			return failure
		}
	}
}

// amplification returns the number of attempts at the last service per call.
func amplification(depth, calls int, applyRule, forwardHeader bool) float64 {
	c := &callChain{depth: depth, applyRule: applyRule, forwardHeader: forwardHeader}
	for range depth {
		c.levels = append(c.levels, NewPolicy())
	}
	for i := range calls {
		c.call(start.Add(time.Duration(i)*time.Millisecond), 0)
	}
	return float64(c.attempts) / float64(calls)
}

// Guards against retries that multiply along a call chain and overload the failing service at its end.
func TestRetryAmplificationInACallChain(t *testing.T) {
	const depth, calls = 6, 1000
	without := amplification(depth, calls, false, true)
	marked := amplification(depth, calls, true, true)
	unmarked := amplification(depth, calls, true, false)
	t.Logf("attempts at the last service per call, %d levels: %.2f without the rule, %.2f with it, %.2f when services drop the header", depth, without, marked, unmarked)
	assert.Equal(t, math.Pow(MaxAttempts, depth), without)
	assert.LessOrEqual(t, marked, 1+RetryRatio+RetryPerSecond/1000*2)
	assert.LessOrEqual(t, unmarked, 1+RetryRatio+RetryPerSecond/1000*2)
}

func hedgerWithSamples() *Hedger {
	h := NewHedger()
	for i := range 1000 {
		h.Call(start)
		h.Observe(start, time.Duration(1+i%100)*time.Millisecond)
	}
	return h
}

// Guards against hedging at the wrong time: the estimate is within one step of 19 % of the 95th percentile.
func TestHedgeDelayIsThe95thPercentile(t *testing.T) {
	h := hedgerWithSamples()
	delay, ok := h.Delay(start)
	require.True(t, ok)
	assert.InEpsilon(t, 95*time.Millisecond, delay, 0.19)
	_, ok = h.Delay(start.Add(time.Minute))
	assert.False(t, ok, "old latencies have expired")
	_, ok = NewHedger().Delay(start)
	assert.False(t, ok)
}

// Guards against hedging more than 2 % of the calls, during an overload, or calls that must not run twice.
func TestHedgesAreBounded(t *testing.T) {
	good := Hedge{Idempotent: true, ClassAllowsHedging: true, Attempts: 1, Remaining: time.Second}
	for name, change := range map[string]func(*Hedge){
		"not idempotent":    func(c *Hedge) { c.Idempotent = false },
		"class not hedged":  func(c *Hedge) { c.ClassAllowsHedging = false },
		"overloaded":        func(c *Hedge) { c.Overloaded = true },
		"already retried":   func(c *Hedge) { c.Attempts = 2 },
		"no time remaining": func(c *Hedge) { c.Remaining = time.Millisecond },
	} {
		c := good
		change(&c)
		assert.False(t, hedgerWithSamples().Decide(start, c).Retry, name)
	}
	h, hedges := hedgerWithSamples(), 0
	for range 1000 {
		if h.Decide(start, good).Retry {
			hedges++
		}
	}
	assert.Equal(t, 20, hedges)
}
