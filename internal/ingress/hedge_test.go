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

// hedgeOn grants each request that allows it a second attempt at the second upstream after a time.
func (p *placer) hedgeOn(after time.Duration) {
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

func (p *placer) seen() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.outcomes)
}

const quickly = 10 * time.Millisecond

// Guards against callers that wait for the slower of two attempts, responses of the wrong one, a first attempt that goes on at
// its upstream, and an answer other than that of an upstream where one has answered.
func TestTheFirstUsableOfTwoAttemptsAnswers(t *testing.T) {
	slow, quick := standin.Behaviour{Work: time.Second}, standin.Behaviour{Work: quickly}
	tests := []struct {
		name          string
		first, second standin.Behaviour
		status        int
		stamp         string // upstream that answered
		outcomes      []string
	}{
		{"the second is faster", slow, quick, http.StatusOK, "u1", []string{"outrun", "success"}},
		{"the first is faster", standin.Behaviour{Work: 100 * time.Millisecond}, slow, http.StatusOK, "u0", []string{"outrun", "success"}},
		{"the first is lost", standin.Behaviour{Work: 60 * time.Millisecond, Reset: true}, standin.Behaviour{Work: 200 * time.Millisecond}, http.StatusOK, "u1", []string{"lost", "success"}},
		{"the second fails", standin.Behaviour{Work: 200 * time.Millisecond}, standin.Behaviour{Work: quickly, Status: 500}, http.StatusOK, "u0", []string{"failure", "success"}},
		{"both are lost", standin.Behaviour{Work: 60 * time.Millisecond, Reset: true}, standin.Behaviour{Work: quickly, Reset: true}, http.StatusBadGateway, "", []string{"lost", "lost"}},
		{"one fails and one is lost", standin.Behaviour{Work: 60 * time.Millisecond, Status: 500}, standin.Behaviour{Work: quickly, Reset: true}, 500, "u0", []string{"failure", "lost"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRig(t, 2)
			r.placer.upstreams[0].Set(test.first)
			r.placer.upstreams[1].Set(test.second)
			r.placer.hedgeOn(30 * time.Millisecond)
			began := time.Now()
			resp := r.send(r.request(http.MethodGet, "/safe/x", ""))
			assert.Equal(t, test.status, resp.StatusCode)
			assert.Less(t, time.Since(began), slow.Work, "the slow attempt is not waited for")
			stamp := ""
			if test.stamp != "" {
				stamp = test.stamp + ".id1"
			}
			assert.Equal(t, stamp, resp.Header.Get(names.Stamp))
			require.Eventually(t, func() bool { return len(r.placer.seen()) == 2 }, 10*time.Second, 5*time.Millisecond)
			got := r.placer.seen()
			slices.Sort(got)
			assert.Equal(t, test.outcomes, got)
		})
	}
}

// Guards against a second attempt of a request that must not run twice, and beyond the attempts that its route allows.
func TestOnlyRepeatableRequestsAllowASecondAttempt(t *testing.T) {
	r := newRig(t, 2)
	for _, path := range []string{"/unsafe/x", "/safe/x", "/download/x"} {
		r.send(r.request(http.MethodGet, path, ""))
	}
	r.placer.upstreams[0].Set(standin.Behaviour{Work: quickly, Reset: true})
	r.send(r.request(http.MethodGet, "/safe/y", ""))
	assert.Equal(t, []bool{false, true, true, true, false}, r.placer.mayHedge)
}
