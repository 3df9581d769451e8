package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against truncated response bodies that are read as complete.
func TestTruncatedBody(t *testing.T) {
	for name, raw := range map[string]string{
		"length":                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
		"chunk":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsho",
		"missing final chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"incomplete last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n0\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, raw)
				return false
			})
			tr := newTransport(t, Config{})
			_, err := call(t, tr, s.address(), newRequest(t, "GET", "/", ""))
			e := asError(t, err)
			require.Equal(t, Unknown, e.Kind)
			require.Equal(t, CauseConnectionLost, e.Cause)
			require.Zero(t, tr.Stats(s.address()).Open)
		})
	}
}

// Guards against mismatched responses: bytes after a response must not be read as the response to the next request.
func TestSurplusResponseIsNotReused(t *testing.T) {
	s := newRawServer(t, func(_ int, c net.Conn, r *http.Request) bool {
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.URL.Path), r.URL.Path)
		_, _ = io.WriteString(c, own)
		if r.URL.Path == "/late" {
			time.Sleep(5 * time.Millisecond)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
		return true
	})
	tr := newTransport(t, Config{NewConnsBurst: 1000})
	for i, path := range []string{"/a", "/late", "/b", "/late", "/c"} {
		body, err := call(t, tr, s.address(), newRequest(t, "GET", path, ""))
		require.NoError(t, err)
		require.Equal(t, path, body, "call %d", i)
		require.Eventually(t, func() bool { return idleIsClosed(tr, s.address()) }, 5*time.Second, time.Millisecond)
	}
}

// Guards against responses that reach the wrong call, under concurrency and with cancellations. Run with -race.
func TestConcurrentResponses(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, b)
	})
	tr := newTransport(t, Config{NewConnsPerSecond: 1e6, NewConnsBurst: 1e6, MaxConns: 16})
	var wg sync.WaitGroup
	for g := range 32 {
		wg.Go(func() {
			for i := range 40 {
				ctx, cancel := context.WithCancel(t.Context())
				path, body := fmt.Sprintf("/%d/%d", g, i), strings.Repeat("x", i*997)
				if i%7 == 3 {
					go cancel()
				}
				resp, err := tr.RoundTrip(ctx, address, newRequest(t, "POST", path, body), false)
				if err == nil {
					var got []byte
					got, err = io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					if err == nil && string(got) != path+" "+body {
						t.Errorf("wrong response for %s: %.40q", path, got)
					}
				}
				if err != nil && ctx.Err() == nil {
					t.Errorf("%s: %v", path, err)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, tr.Stats(address).Open, 16)
}

// Guards against a failed upload that is reported as a failure of the upstream, or that the upstream reads as complete.
func TestRequestBodyError(t *testing.T) {
	complete := make(chan error, 1)
	address := newUpstream(t, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		complete <- err
	})
	r := newRequest(t, "POST", "/", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 100<<10)), errReader{}))
	r.ContentLength = -1
	_, err := call(t, newTransport(t, Config{}), address, r)
	e := asError(t, err)
	require.Equal(t, Unknown, e.Kind)
	require.Equal(t, CauseRequestBody, e.Cause)
	require.Error(t, <-complete)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errors.New("caller went away") }

// Guards against waiting for the whole upload after the upstream has already responded.
func TestEarlyResponse(t *testing.T) {
	s := newEarlyResponder(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig")
		_, _ = io.Copy(io.Discard, c)
	})
	r := newRequest(t, "POST", "/", "")
	pr, pw := io.Pipe()
	defer func() { _ = pw.Close() }()
	go func() { _, _ = pw.Write(make([]byte, 32<<10)) }()
	r.Body, r.ContentLength = pr, 1<<20
	tr := newTransport(t, Config{})
	body, err := call(t, tr, s, r)
	require.NoError(t, err)
	require.Equal(t, "big", body)
	require.Zero(t, tr.Stats(s).Idle, "a connection with an unfinished request must not be reused")
}

// Guards against malformed load reports that are accepted and then used for load balancing.
func TestParseLoad(t *testing.T) {
	for value, want := range map[string]*LoadReport{
		"in-flight=2,queued=0,cold=false,draining=false,seq=17": {InFlight: 2, Seq: 17},
		"in-flight=2, queued=1, cold=true, draining=true,seq=1": {2, 1, true, true, 1},
		"in-flight=2,seq=17,new=field":                          {InFlight: 2, Seq: 17},
		"":                                                      nil,
		"in-flight=2":                                           nil,
		"in-flight=-1,seq=1":                                    nil,
		"in-flight=+1,seq=1":                                    nil,
		"in-flight=1,seq=1,cold=yes":                            nil,
		"in-flight=1,in-flight=2,seq=1":                         nil,
		"in-flight=1,seq=1,":                                    {InFlight: 1, Seq: 1},
		"in-flight=1,,seq=1":                                    nil,
		"in-flight=99999999999,seq=1":                           nil,
		"in-flight=1,seq=1," + strings.Repeat("x", 300) + "=1": nil,
	} {
		got, err := ParseLoad(value)
		if want == nil {
			require.Error(t, err, value)
			continue
		}
		require.NoError(t, err, value)
		require.Equal(t, *want, got, value)
		again, err := ParseLoad(got.String())
		require.NoError(t, err)
		require.Equal(t, got, again)
	}
}
