package simulate

import (
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
)

// silentCold sums the calls over the limit of upstreams that turn cold without warning, over loads and seeds.
func silentCold(fault, policy string, slots int, seeds int64) (total Result, worst int) {
	for _, load := range []float64{0.5, 0.85, 1.2} {
		for seed := range seeds {
			c := testCase(slots, load, fault)
			c.Seed = seed + 1
			r := measure(c, policy)[policy]
			total.ColdOver += r.ColdOver
			total.ColdOverAfterSign += r.ColdOverAfterSign
			total.ColdOverAfterPeers += r.ColdOverAfterPeers
			worst = max(worst, r.ColdOver)
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
				r, worst := silentCold(fault, policy, slots, 10)
				t.Logf("%s %s slots=%d runs=30: over %d, worst run %d, after a sign of the upstream %d, after signs of "+
					"two others %d", fault, policy, slots, r.ColdOver, worst, r.ColdOverAfterSign, r.ColdOverAfterPeers)
			}
		}
	}
}

// Guards against calls that go past the limit of a silently cold upstream after its first response showed it.
func TestNothingGoesOverAfterTheFirstSign(t *testing.T) {
	for _, fault := range []string{"silent-cold", FaultManySilentCold} {
		r, _ := silentCold(fault, "owner", 3, 3)
		assert.Zero(t, r.ColdOverAfterSign, fault)
	}
}
