package proxy

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/transport"
)

// parseHeaders parses lines of the form "name: value".
func parseHeaders(text string) http.Header {
	h := http.Header{}
	for line := range strings.SplitSeq(text, "\n") {
		if name, value, ok := strings.Cut(line, ":"); ok {
			h.Add(name, strings.TrimSpace(value))
		}
	}
	return h
}

func requireBounded(t *testing.T, c *Call, now time.Time) {
	for _, s := range []string{c.RequestID, c.Customer, c.Class, c.Service, c.Route, c.Version} {
		require.LessOrEqual(t, len(s), maxNameLength)
		require.False(t, strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }), "%q", s)
	}
	require.LessOrEqual(t, c.Deadline.Sub(now), maxDeadline)
	require.LessOrEqual(t, c.Depth, maxDepth)
	require.Positive(t, c.Attempt)
}

// Guards against headers of callers and of other entries that crash an entry, or exceed its limits in the call, the
// request to the upstream and the log.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("POST", "/order", "Boragehinge-Request-Id: a1\nBoragehinge-Deadline-Ms: 100\nBoragehinge-Class: urgent")
	f.Add("GET", "/x", "Boragehinge-Depth: 17\nBoragehinge-Idempotent: maybe\nConnection: Boragehinge-Class, close")
	f.Add("POST", "/x", "Boragehinge-Forward: run\nBoragehinge-Pool: p\nBoragehinge-Attempt: 2\nBoragehinge-Exclude: a,,b\nBoragehinge-Deadline-Ms: 1")
	p := New(Config{}, Deps{Directory: newFakePolicy()})
	f.Fuzz(func(t *testing.T, method, path, headers string) {
		r := &http.Request{Method: method, URL: &url.URL{Path: path}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Header: parseHeaders(headers), Body: http.NoBody}
		now := time.Unix(1, 0)
		c, findings := p.newCall(r, now)
		require.Equal(t, c == nil, len(findings) > 0)
		if c != nil {
			requireBounded(t, c, now)
			require.True(t, c.Deadline.After(now))
			out := upstreamRequest(r, c, &attemptBody{}, time.Second)
			for name, values := range out.Header {
				if strings.HasPrefix(name, headerPrefix) {
					require.Len(t, values, 1, name)
				}
			}
		}
		forwarded, mode, findings := p.forwardedCall(r, now)
		if len(findings) == 0 {
			requireBounded(t, forwarded, now)
			require.Contains(t, []string{forwardRun, forwardRegister}, mode)
			require.True(t, forwarded.Deadline.After(now))
		}
	})
}

// Guards against a response of another entry that is read as "done" or "not run" without that outcome header.
func FuzzForwardedResponse(f *testing.F) {
	f.Add("Boragehinge-Outcome: not-run\nBoragehinge-Reason: overload\nRetry-After: 2", "")
	f.Add("Boragehinge-Outcome: Done\nBoragehinge-Pool-Summary: slots=3", "body")
	f.Add("Retry-After: 99999", "x")
	f.Fuzz(func(t *testing.T, headers, body string) {
		p := New(Config{}, Deps{Pools: newFakePolicy()})
		h := parseHeaders(headers)
		a := &attempt{call: &Call{}, pool: Pool{ID: "p"}}
		p.readForwarded(a, &transport.Response{Response: &http.Response{Header: h, Body: io.NopCloser(strings.NewReader(body))}})
		outcome := Outcome(h.Get(HeaderOutcome))
		require.Equal(t, outcome == Done, a.resp != nil)
		if a.resp == nil {
			require.Equal(t, outcome == NotRun, a.tried.Outcome == NotRun)
			require.NotEmpty(t, a.tried.Reason)
			require.GreaterOrEqual(t, a.tried.RetryAfter, time.Duration(0))
		}
	})
}
