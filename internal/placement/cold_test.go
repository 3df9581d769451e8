package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against counting a cold start twice, in the reported pace and in addition to it: with a pace of 2 and so a slowdown of
// 4, no request was predicted to be in time on a cold upstream, even while the others were overloaded (scale-1 of
// yeux-sfax).
func TestReportedPaceOfAColdUpstreamIncludesItsColdStart(t *testing.T) {
	for _, test := range []struct {
		name     string
		pace     float64 // 0: not reported
		predicts float64
	}{{"reported", 2, 2}, {"reported while slowed down by neighbours", 8, 8}, {"not reported", 0, coldSlowdown}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(up("a"))
			f.Pool = New(rand.New(rand.NewPCG(1, 1)))
			f.Configure(f.now, f.spec)
			f.now = f.now.Add(time.Second) // the cold tokens are refilled
			f.Probe(f.now, Probe{Upstream: "a", Answered: true, Healthy: true, ColdLeft: time.Second, Load: &Load{Slots: 6, Pace: test.pace}})
			f.base["r"] = 20 * time.Millisecond
			d, id := f.ask(func(a *Ask) { a.Objective = f.now.Add(time.Second) })
			require.Len(t, d.Grants, 1)
			assert.InDelta(t, test.predicts*20, float64(f.calls[id].predicted)/float64(time.Millisecond), 0.1)
		})
	}
}

// Guards against exceeding the request rate of a cold upstream in any second, also while two leaders place requests.
func TestColdUpstreamsGetALimitedRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond, factor, slack := rapid.Float64Range(0.5, 40).Draw(t, "bears"), rapid.Float64Range(1, 3).Draw(t, "factor"), float64(rapid.IntRange(0, 10).Draw(t, "slack"))
		f := newFixture(up("a"))
		f.spec.ColdPerSecond, f.spec.ColdFactor, f.spec.ColdSlack = perSecond, factor, slack
		f.Configure(f.now, f.spec)
		var sent []time.Time
		for range rapid.IntRange(50, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "pause")) * time.Millisecond)
			f.Probe(f.now, Probe{Upstream: "a", Answered: true, Healthy: true, ColdLeft: time.Second, Load: &Load{Pace: 1}})
			d, id := f.ask(nil)
			for range d.Grants {
				sent = append(sent, f.now)
				f.finish(id, Success)
			}
		}
		for i, at := range sent {
			n := 0
			for _, other := range sent[i:] {
				if other.Sub(at) < time.Second {
					n++
				}
			}
			if 2*float64(n) > perSecond*factor+slack {
				t.Fatalf("%d requests in a second", n)
			}
		}
	})
}

// Guards against cold tokens that accumulate while other leaders use the limit of a cold upstream: an entry that may place on it
// again would send its burst in the same second as they do (spec/cold.pml, MUTATE_KEEP_GROWING).
func TestColdTokensDoNotAccumulateWhileOthersUseTheBound(t *testing.T) {
	f := newFixture(up("a"))
	cold := func() {
		f.Probe(f.now, Probe{Upstream: "a", Answered: true, Healthy: true, ColdLeft: time.Minute, Load: &Load{Pace: 1}})
	}
	open, restricted := f.spec, f.spec
	restricted.ColdPerSecond, restricted.ColdSlack = 0, 0
	f.Configure(f.now, restricted)
	cold()
	for _, next := range []Spec{restricted, open} { // the restricted configuration is applied twice, as when a batch of records arrives
		f.now = f.now.Add(5 * time.Second)
		f.Configure(f.now, next)
	}
	cold()
	d, _ := f.ask(nil)
	assert.Empty(t, d.Grants)
	f.now = f.now.Add(2 * time.Duration(float64(time.Second)/open.coldRate()))
	d = f.Tick(f.now)
	assert.Len(t, d.Grants, 1, "tokens accumulate from then on")
}
