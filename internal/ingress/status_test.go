package ingress_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"boragehinge.example/boragehinge/platform/standin"
)

// Guards against a caller that gets an upstream's response with an impossible status, and against repeating a request that must not run
// twice after one.
func TestResponsesWithInvalidStatusAreReplaced(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999", "+20", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			checkReplaced(t, standin.Behaviour{RawStatus: status})
		})
	}
}

// checkReplaced checks that no caller gets a response of an upstream with behaviour b: an unsafe request, which has run, gets 502, and a
// safe one the response of another upstream.
func checkReplaced(t *testing.T, b standin.Behaviour) {
	t.Helper()
	r := newTestServer(t, 2)
	r.placer.upstreams[0].Set(b)
	resp := r.send(r.request("POST", "/unsafe/x", "b"))
	assert.Equal(t, http.StatusBadGateway, resp.StatusCode)
	assert.Empty(t, resp.Header.Get(names.Stamp))
	assert.Equal(t, 1, r.runCount("id1"))
	resp = r.send(r.request("GET", "/safe/x", ""))
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.Equal(t, "u1.id2", resp.Header.Get(names.Stamp))
	assert.Equal(t, "served by u1", bodyOf(t, resp))
	assert.Equal(t, []string{"lost", "lost", "success"}, r.placer.seen())
}

// seen returns the outcomes of the attempts so far.
func (p *placer) seen() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.outcomes...)
}

// Guards against a response that ends in the middle of its header and reaches the caller as a success with an empty or short body.
func TestResponseCutInItsHeaderIsNoSuccess(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			r := newTestServer(t, 2)
			cuts := 0
			for cut := 1; ; cut += 2 {
				for _, u := range r.placer.upstreams {
					u.Set(standin.Behaviour{CutHead: cut})
				}
				resp := r.send(r.request("POST", path, "b"))
				body := bodyOf(t, resp)
				if resp.StatusCode == http.StatusOK {
					assert.Equal(t, "served by u0", body, "the header was sent whole")
					break
				}
				cuts++
				assert.Equal(t, http.StatusBadGateway, resp.StatusCode, "cut after %d bytes", cut)
				assert.Empty(t, resp.Header.Get(names.Stamp), "cut after %d bytes", cut)
			}
			assert.Greater(t, cuts, 50, "every second byte of the header")
		})
	}
}
