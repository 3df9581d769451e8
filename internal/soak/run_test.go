package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against calls that are lost, doubled, crossed, truncated or untruthfully refused under faults, and against
// configurations that revert. Counts with a bound in time are left out, so that a slow machine changes no verdict.
func TestSoakKeepsCallsSafe(t *testing.T) {
	r, err := Run(t.Context(), Options{Duration: 15 * time.Second, Seed: 346, Kinds: Kinds(), Entries: 6, Rate: 40, Network: "127.0.62"})
	require.NoError(t, err)
	for _, v := range r.Violations {
		t.Log(v.text(r.Begin))
	}
	for _, name := range SafetyNames() {
		assert.Zero(t, r.Counts[name], name)
	}
	assert.Positive(t, r.Outcomes["done"])
	for _, kind := range []Kind{Kill, Crash, Cold, Silence, Poison, LogDown, CentreLeaves, BadVersion} {
		assert.Positive(t, r.Faults[kind], "the seed must have the fault %s", kind)
	}
}
