package simulate

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sumSilentCold sums, over several loads and seeds, the calls above the limit of upstreams that become cold without
// warning. It also returns the highest number in a single run.
func sumSilentCold(fault, policy string, slots int, seeds int64) (total Result, worst int) {
	for _, load := range []float64{0.5, 0.85, 1.2} {
		for seed := range seeds {
			c := testCase(slots, load, fault)
			c.Seed = seed + 1
			r := measure(c, policy)[policy]
			total.ColdOverLimit += r.ColdOverLimit
			total.ColdOverLimitAfterResponse += r.ColdOverLimitAfterResponse
			total.ColdOverLimitAfterPeers += r.ColdOverLimitAfterPeers
			worst = max(worst, r.ColdOverLimit)
		}
	}
	return total, worst
}

// TestPrintSilentCold writes the figures of docs/measurements/dispatch.md on silent cold starts.
func TestPrintSilentCold(t *testing.T) {
	if os.Getenv("BORAGEHINGE_SIMULATE") == "" {
		t.Skip("set BORAGEHINGE_SIMULATE=1 to print the figures")
	}
	for _, fault := range []string{"silent-cold", FaultManySilentCold} {
		for _, policy := range []string{"owner", "owner-3dc"} {
			for _, slots := range []int{3, 6} {
				r, worst := sumSilentCold(fault, policy, slots, 10)
				t.Logf("%s %s slots=%d runs=30: over the limit %d, worst run %d, after a response of the upstream %d, "+
					"after responses of two others %d", fault, policy, slots, r.ColdOverLimit, worst, r.ColdOverLimitAfterResponse,
					r.ColdOverLimitAfterPeers)
			}
		}
	}
}

// Guards against calls above the limit of a silently cold upstream after its first response has shown the cold start.
func TestNoCallExceedsTheColdLimitAfterTheFirstResponse(t *testing.T) {
	for _, fault := range []string{"silent-cold", FaultManySilentCold} {
		r, _ := sumSilentCold(fault, "owner", 3, 3)
		assert.Zero(t, r.ColdOverLimitAfterResponse, fault)
	}
}
