package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an automatic resend after a reused connection breaks during a call, which would run the call twice.
// http.Transport is tested for comparison, so that a change of its resend behaviour is noticed.
func TestNoResendOnReusedConnection(t *testing.T) {
	for _, tc := range []struct {
		name, method, body string
		header             http.Header
		stdResends         bool
	}{
		{"post", "POST", "work", nil, false},
		{"post with Idempotency-Key", "POST", "", http.Header{"Idempotency-Key": {"k"}}, true},
		{"post with X-Idempotency-Key", "POST", "", http.Header{"X-Idempotency-Key": {"k"}}, true},
		{"get", "GET", "", nil, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			closeSecond := func(n int, c net.Conn, _ *http.Request) bool {
				if n == 2 {
					return false
				}
				_, _ = io.WriteString(c, okResponse)
				return true
			}
			ours := newRawServer(t, closeSecond)
			tr := newTransport(t, Config{})
			_, err := call(t, tr, ours.address(), newRequest(t, "GET", "/", ""))
			require.NoError(t, err)
			r := newRequest(t, tc.method, "/", tc.body)
			for name, values := range tc.header {
				r.Header[name] = values
			}
			_, err = call(t, tr, ours.address(), r)
			e := asError(t, err)
			require.Equal(t, Unknown, e.Kind)
			require.True(t, e.Reused)
			require.True(t, e.MaybeCrash())
			requests, _ := ours.counts()
			require.Equal(t, 2, requests, "the broken call must be sent once")

			std := newRawServer(t, closeSecond)
			client := &http.Transport{}
			defer client.CloseIdleConnections()
			require.Equal(t, tc.stdResends, stdResends(t, client, std, tc.method, tc.body, tc.header))
		})
	}
}

func stdResends(t *testing.T, client *http.Transport, s *rawServer, method, body string, h http.Header) bool {
	t.Helper()
	send := func(r *http.Request) {
		r.URL.Scheme, r.URL.Host = "http", s.address()
		if resp, err := client.RoundTrip(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	send(newRequest(t, "GET", "/", ""))
	r := newRequest(t, method, "/", body)
	for name, values := range h {
		r.Header[name] = values
	}
	send(r)
	requests, _ := s.counts()
	return requests > 2
}

// Guards against a call that fails on a connection that the upstream closed while it was idle: this must be detected
// before anything is written, and another connection used.
func TestIdleConnectionClosedByUpstream(t *testing.T) {
	s := newRawServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, okResponse)
		return false
	})
	tr := newTransport(t, Config{})
	for range 20 {
		_, err := call(t, tr, s.address(), newRequest(t, "POST", "/", "x"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return idleIsClosed(tr, s.address()) }, 5*time.Second, time.Millisecond)
	}
	requests, _ := s.counts()
	require.Equal(t, 20, requests)
}

// idleIsClosed reports whether no usable idle connection is left, such as after the FIN of the upstream has arrived.
func idleIsClosed(tr *Transport, address string) bool {
	p := tr.lookup(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 || !p.idle[0].alive()
}

// Guards against a false "not run": each failure must be reported with the right kind and cause.
func TestErrorKinds(t *testing.T) {
	refused, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddress := refused.Addr().String()
	require.NoError(t, refused.Close())
	for _, tc := range []struct {
		name   string
		script func(int, net.Conn, *http.Request) bool
		kind   Kind
		cause  Cause
	}{
		{"connect refused", nil, ConnectFailed, CauseOther},
		{"closed during the run", func(int, net.Conn, *http.Request) bool { return false }, Unknown, CauseConnectionLost},
		{"reset during the run", func(_ int, c net.Conn, _ *http.Request) bool {
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, Unknown, CauseConnectionLost},
		{"upstream says not run", respond("HTTP/1.1 503 No\r\nBoragehinge-Not-Run: true\r\nRetry-After: 3\r\n" +
			"Boragehinge-Load: in-flight=3,queued=1,seq=9\r\nContent-Length: 0\r\n\r\n"), UpstreamNotRun, CauseOther},
		{"not HTTP", respond("SSH-2.0-x\r\n\r\n"), Unknown, CauseMalformed},
		{"no end", respond("HTTP/1.1 200 OK\r\n\r\nbytes"), Unknown, CauseMalformed},
		{"unasked upgrade", respond("HTTP/1.1 101 Switching Protocols\r\n\r\n"), Unknown, CauseMalformed},
		{"differing lengths", respond("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"), Unknown, CauseMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := closedAddress
			if tc.script != nil {
				address = newRawServer(t, tc.script).address()
			}
			_, err := call(t, newTransport(t, Config{}), address, newRequest(t, "POST", "/", "work"))
			e := asError(t, err)
			require.Equal(t, tc.kind, e.Kind, "%v", err)
			require.Equal(t, tc.cause, e.Cause, "%v", err)
			require.Equal(t, tc.kind != Unknown, IsNotRun(err))
			if tc.kind == UpstreamNotRun {
				require.Equal(t, 3*time.Second, e.RetryAfter)
				require.Equal(t, &LoadReport{InFlight: 3, Queued: 1, Seq: 9}, e.Load)
			}
		})
	}
}

// Guards against "not run" for a deadline that expires while the upstream is running the call, and against "unknown"
// for a context that has ended before the call.
func TestContextEnd(t *testing.T) {
	release := make(chan struct{})
	address := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-release:
		}
	})
	defer close(release)
	tr := newTransport(t, Config{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := tr.RoundTrip(ctx, address, newRequest(t, "POST", "/", "x"), false)
	e := asError(t, err)
	require.Equal(t, Unknown, e.Kind)
	require.Equal(t, CauseDeadline, e.Cause)
	_, err = tr.RoundTrip(ctx, address, newRequest(t, "POST", "/", "x"), false)
	e = asError(t, err)
	require.Equal(t, NothingWritten, e.Kind)
	require.Equal(t, CauseDeadline, e.Cause)
}
