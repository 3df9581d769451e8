package client

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a call that counts as done, or as certainly not run, because of a response with an impossible status or a malformed
// header: it says nothing.
func TestMalformedResponsesSayNothing(t *testing.T) {
	for name, answer := range map[string]func() *http.Response{
		"status 000":                 func() *http.Response { return response(0, "done", "ok") },
		"status 099":                 func() *http.Response { return response(99, "not-run", "") },
		"status 600":                 func() *http.Response { return response(600, "done", "ok") },
		"unasked change of protocol": func() *http.Response { return response(101, "done", "ok") },
		"blank in a name": func() *http.Response {
			resp := response(200, "done", "ok")
			resp.Header["X-Cache Hit"] = []string{"1"}
			return resp
		},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork("a1:1", "a2:1")
			malformed := func(int, *http.Request) (*http.Response, error) { return answer(), nil }
			n.entries["a1:1"].answer, n.entries["a2:1"].answer = malformed, malformed
			c := n.client(t, func(s *Settings) { s.MaxAttempts = 2 })
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				r := do(t, c, Call{Method: method, Path: "/x"})
				assert.Equal(t, Unknown, r.Outcome, method)
				assert.Equal(t, ReasonConnectionLost, r.Reason, method)
				assert.Zero(t, r.Status, method)
			}
			n.entries["a2:1"].answer = done
			assert.Equal(t, Done, do(t, c, Call{Path: "/x"}).Outcome, "repeated at another entry")
		})
	}
}
