package ingress_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/platform/standin"
)

// enableHedging makes the placer grant a hedge at the second upstream after the given time, to each request that allows it.
func (p *placer) enableHedging(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hedgeAfter = after
}

func (p *placer) withHedge(placed *coordinator.Placed) *coordinator.Placed {
	grants := make(chan placement.Grant, 1)
	u := p.upstreams[1]
	time.AfterFunc(p.hedgeAfter, func() { grants <- placement.Grant{Ask: placement.HedgeOf(1), Upstream: u.ID, Address: u.Address()} })
	return placed.WithHedge(grants, func(g placement.Grant) *coordinator.Placed { return coordinator.NewPlaced(g, p.finish) })
}

func (p *placer) recordedOutcomes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.outcomes)
}

const quickWork = 10 * time.Millisecond

// Guards against a caller that waits for the slower of two hedged attempts, the response of the wrong attempt, a losing
// attempt that isn't cancelled, and a local reply although an upstream has responded.
func TestFirstUsableHedgedResponseIsReturned(t *testing.T) {
	slow, quick := standin.Behaviour{Work: time.Second}, standin.Behaviour{Work: quickWork}
	tests := []struct {
		name          string
		first, second standin.Behaviour
		status        int
		stamp         string // upstream whose response the caller gets
		outcomes      []string
	}{
		{"the second is faster", slow, quick, http.StatusOK, "u1", []string{"outrun", "success"}},
		{"the first is faster", standin.Behaviour{Work: 100 * time.Millisecond}, slow, http.StatusOK, "u0", []string{"outrun", "success"}},
		{"the first is lost", standin.Behaviour{Work: 60 * time.Millisecond, Reset: true}, standin.Behaviour{Work: 200 * time.Millisecond}, http.StatusOK, "u1", []string{"lost", "success"}},
		{"the second fails", standin.Behaviour{Work: 200 * time.Millisecond}, standin.Behaviour{Work: quickWork, Status: 500}, http.StatusOK, "u0", []string{"failure", "success"}},
		{"both are lost", standin.Behaviour{Work: 60 * time.Millisecond, Reset: true}, standin.Behaviour{Work: quickWork, Reset: true}, http.StatusBadGateway, "", []string{"lost", "lost"}},
		{"one fails and one is lost", standin.Behaviour{Work: 60 * time.Millisecond, Status: 500}, standin.Behaviour{Work: quickWork, Reset: true}, 500, "u0", []string{"failure", "lost"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestServer(t, 2)
			r.placer.upstreams[0].Set(test.first)
			r.placer.upstreams[1].Set(test.second)
			r.placer.enableHedging(30 * time.Millisecond)
			start := time.Now()
			resp := r.send(r.request(http.MethodGet, "/safe/x", ""))
			assert.Equal(t, test.status, resp.StatusCode)
			assert.Less(t, time.Since(start), slow.Work, "the slow attempt is not waited for")
			stamp := ""
			if test.stamp != "" {
				stamp = test.stamp + ".id1"
			}
			assert.Equal(t, stamp, resp.Header.Get(names.Stamp))
			require.Eventually(t, func() bool { return len(r.placer.recordedOutcomes()) == 2 }, 10*time.Second, 5*time.Millisecond)
			got := r.placer.recordedOutcomes()
			slices.Sort(got)
			assert.Equal(t, test.outcomes, got)
		})
	}
}

// Guards against hedging a request that is not idempotent, and against more attempts than the route allows.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	r := newTestServer(t, 2)
	for _, path := range []string{"/unsafe/x", "/safe/x", "/download/x"} {
		r.send(r.request(http.MethodGet, path, ""))
	}
	r.placer.upstreams[0].Set(standin.Behaviour{Work: quickWork, Reset: true})
	r.send(r.request(http.MethodGet, "/safe/y", ""))
	assert.Equal(t, []bool{false, true, true, true, false}, r.placer.mayHedge)
}
