package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a second call on a cold upstream that still runs a cancelled one. The upstream notices the
// cancellation later than the owner, so both calls would run there concurrently.
func TestCancelledCallKeepsItsColdSlot(t *testing.T) {
	for name, kind := range map[string]OutcomeKind{"cancelled": Cancelled, "timed out": TimedOut} {
		t.Run(name, func(t *testing.T) {
			spec := testSpec(1, 6)
			spec.Upstreams[0].Cold = true
			f := newFixture(t, spec)
			require.Len(t, f.submit(Request{Class: "urgent"}).Grants, 1)
			first := f.id
			require.Empty(t, f.submit(Request{Class: "urgent"}).Grants, "the allowance is 1")
			assert.Empty(t, f.record(f.pool.Finish(f.now, first, Outcome{Kind: kind})).Grants)
			f.advance(time.Second)
			assert.Equal(t, 2, f.grants["u000"], "the slot is free again")
		})
	}
}
