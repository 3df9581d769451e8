package ingress_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/ingress"
	"boragehinge.example/boragehinge/platform/standin"
)

// leave starts a shutdown that accepts all requests for a time and ends after another one.
func (r *testServer) leave(acceptAll, end time.Duration) {
	now := time.Now()
	r.server.Leave(ingress.Shutdown{AcceptAllUntil: now.Add(acceptAll), End: now.Add(end)})
}

// Guards against a planned stop that cuts requests: Drain waits until the requests already read have been answered.
func TestDrainAnswersRequestsAlreadyRead(t *testing.T) {
	r := newTestServer(t, 1)
	r.placer.upstreams[0].Set(standin.Behaviour{Work: 200 * time.Millisecond})
	c, br := r.dial()
	_, err := io.WriteString(c, r.request("GET", "/safe/x", ""))
	require.NoError(t, err)
	_, idleReader := r.dial()
	require.Eventually(t, func() bool { return r.runCount("id1") == 1 }, 2*time.Second, 5*time.Millisecond)
	r.leave(5*time.Second, 5*time.Second)
	done := make(chan error, 1)
	go func() { done <- r.server.Drain() }()
	resp := r.read(br)
	assert.Equal(t, http.StatusOK, resp.StatusCode)
	assert.True(t, resp.Close)
	bodyOf(t, resp)
	require.NoError(t, c.Close())
	require.NoError(t, <-done)
	_, err = idleReader.ReadByte()
	assert.True(t, errors.Is(err, io.EOF), "idle connections are closed")
}

// Guards against requests that are accepted late in a shutdown and cut when the process ends while an upstream runs them.
func TestRequestsThatMayOutlastAShutdownAreRefused(t *testing.T) {
	tests := []struct {
		name           string
		acceptAll, end time.Duration
		path           string
		status         int
	}{
		{"early", time.Second, 1100 * time.Millisecond, "/unsafe/x", http.StatusOK},
		{"late, with a deadline beyond the end", 0, 1100 * time.Millisecond, "/unsafe/x", http.StatusServiceUnavailable},
		{"late and idempotent", 0, 1100 * time.Millisecond, "/safe/x", http.StatusServiceUnavailable},
		{"late, with a deadline before the end", 0, 5 * time.Second, "/unsafe/x", http.StatusOK},
		{"late, on a route with a short timeout", 0, 1100 * time.Millisecond, "/short/x", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestServer(t, 1)
			r.leave(test.acceptAll, test.end)
			resp := r.send(r.request(http.MethodPost, test.path, "b"))
			assert.Equal(t, test.status, resp.StatusCode)
			assert.True(t, resp.Close)
			if test.status == http.StatusServiceUnavailable {
				assert.Zero(t, r.runCount("id1"), "refused, so it must not run")
				assert.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against a reply of the entry that closes its connection while a pipelined request behind it is at an upstream.
func TestLocalReplyDoesNotCutPipelinedRequests(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*testServer)
		request func(*testServer) string
		status  int
	}{
		{"refused during a shutdown", func(r *testServer) { r.leave(0, time.Second) },
			func(r *testServer) string { return r.request(http.MethodGet, "/safe/x", "") }, http.StatusServiceUnavailable},
		{"malformed", func(*testServer) {},
			func(*testServer) string { return "GET /short/x HTTP/1.1\r\nHost: h.example\r\n\r\n" }, http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestServer(t, 1)
			r.placer.upstreams[0].Set(standin.Behaviour{Work: 50 * time.Millisecond})
			test.prepare(r)
			c, br := r.dial()
			// The reply waits for the response to the first request. Meanwhile the request behind it is read.
			_, err := io.WriteString(c, r.request(http.MethodGet, "/short/x", "")+test.request(r)+r.request(http.MethodGet, "/short/x", ""))
			require.NoError(t, err)
			for _, want := range []struct {
				status int
				closes bool
			}{{http.StatusOK, false}, {test.status, false}, {http.StatusOK, true}} {
				resp := r.read(br)
				assert.Equal(t, want.status, resp.StatusCode)
				assert.Equal(t, want.closes, resp.Close, "status %d", resp.StatusCode)
				bodyOf(t, resp)
			}
		})
	}
}

// Guards against connections that close without a response because the process ends: a queued request is reported as not run, and
// one at an upstream as timed out.
func TestRequestsAreAnsweredAtTheEndOfAShutdown(t *testing.T) {
	tests := []struct {
		name   string
		queued bool
		status int
	}{{"queued", true, http.StatusServiceUnavailable}, {"running", false, http.StatusGatewayTimeout}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newTestServer(t, 1)
			r.placer.queueing = test.queued
			r.placer.upstreams[0].Set(standin.Behaviour{Work: 10 * time.Second})
			r.leave(time.Second, time.Second)
			c, br := r.dial()
			_, err := io.WriteString(c, r.request(http.MethodPost, "/unsafe/x", "b"))
			require.NoError(t, err)
			accepted := func() bool { return r.placer.queued.Load() == 1 || r.runCount("id1") == 1 }
			require.Eventually(t, accepted, 2*time.Second, time.Millisecond)
			done := make(chan error, 1)
			go func() { done <- r.server.Drain() }()
			resp := r.read(br)
			assert.Equal(t, test.status, resp.StatusCode)
			assert.True(t, resp.Close)
			require.NoError(t, c.Close())
			assert.NoError(t, <-done, "no connection is left when the process ends")
		})
	}
}

// Guards against a response that is cut by a reset, because its connection is closed with bytes that were not read: the caller sent the
// next request before it knew that the connection closes.
func TestRequestsBehindAClosingResponseDoNotCutIt(t *testing.T) {
	const size = 2 << 20
	r := newTestServer(t, 1)
	r.placer.upstreams[0].Set(standin.Behaviour{BodySize: size})
	r.leave(5*time.Second, 5*time.Second)
	c, br := r.dial()
	_, err := io.WriteString(c, r.request(http.MethodGet, "/download/x", ""))
	require.NoError(t, err)
	resp := r.read(br)
	assert.True(t, resp.Close)
	_, err = io.WriteString(c, r.request(http.MethodPost, "/unsafe/x", strings.Repeat("b", 64<<10)))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.Len(t, bodyOf(t, resp), size)
	assert.Zero(t, r.runCount("id2"), "requests behind the response are not read")
}
