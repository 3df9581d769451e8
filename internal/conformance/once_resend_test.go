package conformance

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/proxy"
)

// Guards against "not run" for a call that ran: a resend whose deadline is too short for the way to its registrar
// proves nothing about the earlier attempt.
func TestResendBeyondItsDeadlineIsNotCalledNotRun(t *testing.T) {
	c := startOnceCluster(t, 1)
	home, other := c.entry(0), c.entry(1)
	id := ""
	send := func(e *runningEntry, deadline string) historyKind {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.callers+"/order", strings.NewReader("body"))
		require.NoError(t, err)
		req.Header.Set(proxy.HeaderRequestID, id)
		req.Header.Set(proxy.HeaderDeadline, deadline)
		resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		return historyKind(resp.Header.Get(proxy.HeaderOutcome))
	}
	kind := answerUnknown
	for i := 0; kind != answerDone; i++ { // until the upstream's faults let a call through
		id = home.registry.Prefix(c.now()) + "." + string(rune('a'+i))
		kind = send(home, "1000")
	}
	for range 20 {
		require.NotEqual(t, answerNotRun, send(other, "1"), "the call has run")
	}
}
