package simulate

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPrint writes the tables of the full experiment when BORAGEHINGE_SIMULATE is set; it is the command of
// docs/measurements/dispatch.md.
func TestPrint(t *testing.T) {
	if os.Getenv("BORAGEHINGE_SIMULATE") == "" {
		t.Skip("set BORAGEHINGE_SIMULATE=1 to print the experiment")
	}
	require.NoError(t, Run(os.Stdout, Options{}))
}

// testCase returns a short case of 25 upstreams.
func testCase(slots int, load float64, fault string) Case {
	return Case{Upstreams: 25, Slots: slots, Load: load, Fault: fault, Seed: 1, Duration: 3 * time.Second}
}

// measure simulates several policies concurrently in one case.
func measure(c Case, policies ...string) map[string]*Result {
	out := map[string]*Result{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, name := range policies {
		wait.Go(func() {
			r := Measure(c, name)
			mu.Lock()
			defer mu.Unlock()
			out[name] = r
		})
	}
	wait.Wait()
	return out
}

// Guards against a tail latency of urgent calls far above that of an ideal queue, caused by queueing at the owner,
// faults or forwarding.
func TestUrgentTailIsCloseToTheIdealQueue(t *testing.T) {
	for _, fault := range []string{"none", "slow", "cold", "false-report", "failing-fast"} {
		for _, variable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/%v", fault, variable), func(t *testing.T) {
				c := testCase(3, 0.85, fault)
				c.Bursts, c.Variable = !variable, variable
				r := measure(c, "owner", "owner-3dc", "ideal")
				limit := r["ideal"].Quantile(0, 0.99) * 5 / 4
				assert.LessOrEqual(t, r["owner"].Quantile(0, 0.99), limit)
				assert.LessOrEqual(t, r["owner-3dc"].Quantile(0, 0.99), limit)
				assert.Equal(t, 3, r["owner"].MaxRunning)
			})
		}
	}
}

// Guards against a slow upstream that raises the tail latency. Only uniform service times are used: with exponential
// ones, the ideal queue itself exceeds half of two choices, because its p99 is that of the service time.
func TestUrgentTailIsHalfOfTwoChoicesWithOneSlowUpstream(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.85} {
		r := measure(testCase(3, load, "slow"), "owner", "two-choices")
		assert.LessOrEqual(t, r["owner"].Quantile(0, 0.99)*2, r["two-choices"].Quantile(0, 0.99), load)
	}
}

// Guards against calls above the limit of a cold upstream after restarts that the owner can observe.
func TestColdUpstreamsAreNotOverloaded(t *testing.T) {
	for _, slots := range []int{3, 6} {
		for _, load := range []float64{0.5, 0.85, 1.2} {
			r := measure(testCase(slots, load, "cold"), "owner", "owner-3dc", "two-choices")
			assert.Zero(t, r["owner"].ColdOverLimit)
			assert.Zero(t, r["owner-3dc"].ColdOverLimit)
			assert.Positive(t, r["two-choices"].ColdOverLimit, "the fault has an effect")
		}
	}
}

// Guards against an unannounced cold start that is not detected: only calls that arrive before the first responses may
// exceed the limit.
func TestSilentColdStartIsDetected(t *testing.T) {
	r := measure(testCase(3, 0.85, "silent-cold"), "owner", "two-choices")
	assert.LessOrEqual(t, r["owner"].ColdOverLimit, 3*3)
	assert.Greater(t, r["two-choices"].ColdOverLimit, 10*3)
}

// Guards against congestion collapse, in which goodput falls as the offered load grows, and against refusing urgent
// calls before bulk calls.
func TestGoodputHoldsUnderOverload(t *testing.T) {
	for _, slots := range []int{3, 6} {
		full := measure(testCase(slots, 1, "none"), "owner", "owner-3dc")
		over := measure(testCase(slots, 1.2, "none"), "owner", "owner-3dc")
		for name, r := range over {
			assert.GreaterOrEqual(t, r.Goodput(), 0.95*full[name].Goodput(), name)
			assert.Zero(t, r.Refused[0], "urgent calls are served")
			assert.Positive(t, r.Refused[2], "bulk calls are refused")
		}
	}
}

// Guards against a pool in a lost data centre that keeps attracting calls.
func TestCallsMoveAwayFromALostDataCentre(t *testing.T) {
	r := measure(testCase(3, 0.5, "third-lost"), "owner-3dc")["owner-3dc"]
	assert.Less(t, sum(r.Refused)*100, sum(r.Offered), "two pools at 75 % can run all calls")
}

// Guards against calls that the simulation loses, which would invalidate its other figures, and against results that
// depend on the machine.
func TestEveryCallEndsAndRunsRepeat(t *testing.T) {
	for _, name := range Policies {
		r := Measure(testCase(3, 0.95, "third-lost"), name)
		ended := sum(r.AnsweredInTime) + sum(r.AnsweredLate) + sum(r.Refused) + sum(r.Failed)
		assert.Equal(t, sum(r.Offered), ended, name)
	}
	var a, b bytes.Buffer
	o := Options{Slots: []int{3}, Loads: []float64{1.2}, Faults: []string{"third-lost"}, Duration: 2 * time.Second}
	require.NoError(t, Run(&a, o))
	require.NoError(t, Run(&b, o))
	assert.Equal(t, a.String(), b.String())
}
