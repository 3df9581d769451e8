package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// canarySpec has one upstream of a version beside four of another.
func canarySpec() Spec {
	spec := testSpec(5, 3)
	spec.Upstreams[0].Version = "v2"
	return spec
}

// Guards against the only upstream of a version that stays in use while it fails or is slow, though others could run
// its calls; the backoff grows while it stays so, and it returns when it is well.
func TestSingleUpstreamIsJudgedAgainstItsPast(t *testing.T) {
	for name, how := range map[string]answer{
		"failing": only("u000", Failure, 0),
		"slow":    only("u000", Success, 60*time.Millisecond),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, canarySpec())
			f.play(2*time.Second, normal)
			f.play(time.Second, how)
			s := f.status("u000")
			require.Equal(t, Ejected, s.Health)
			require.Equal(t, name, s.Reason)
			f.play(8*time.Second, how)
			assert.Greater(t, f.status("u000").Ejections, 1)
			f.play(2*time.Minute, normal)
			assert.Equal(t, Healthy, f.status("u000").Health)
		})
	}
}

// Guards against the ejection of a version's only upstream when nothing else can take its calls, or when all versions
// show the same trouble.
func TestSingleUpstreamIsKept(t *testing.T) {
	slow := func(string, string) (OutcomeKind, time.Duration) { return Success, 60 * time.Millisecond }
	fail := func(string, string) (OutcomeKind, time.Duration) { return Failure, 10 * time.Millisecond }
	t.Run("alone in the pool", func(t *testing.T) {
		f := newFixture(t, testSpec(1, 6))
		f.play(time.Second, normal)
		f.play(time.Second, slow)
		f.play(time.Second, fail)
		assert.Zero(t, f.status("u000").Ejections)
	})
	t.Run("shared trouble", func(t *testing.T) {
		f := newFixture(t, canarySpec())
		f.play(2*time.Second, normal)
		f.play(2*time.Second, slow)
		assert.Zero(t, f.status("u000").Ejections)
	})
	t.Run("calls bound to the version", func(t *testing.T) {
		f := newFixture(t, canarySpec())
		for range 50 {
			require.Len(t, f.submit(Request{Class: "ordinary", Version: "v2"}).Grants, 1)
			f.p.Finish(f.now, f.id, Outcome{Kind: Failure})
		}
		assert.Zero(t, f.status("u000").Ejections)
	})
}
