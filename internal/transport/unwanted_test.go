package transport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/responsecheck/responsetest"
)

const idHeader = "X-Id"

// identifyingConfig recognises responses by the request ID that upstreams echo.
func identifyingConfig() Config {
	return Config{
		Identifies: func(r *http.Response) bool { return r.Header.Get(idHeader) != "" },
		MatchesRequest: func(resp *http.Response, req *http.Request) bool {
			id := resp.Header.Get(idHeader)
			return id == "" || id == req.Header.Get(idHeader)
		},
	}
}

func requestWithID(t *testing.T, id string) *http.Request {
	r := newRequest(t, http.MethodGet, "/", "")
	r.Header.Set(idHeader, id)
	return r
}

// Guards against the second copy of a response, late on a reused connection, that the next caller gets as its own: with the ID of
// the earlier request, and without any.
func TestLateCopiesAreNotTakenForTheResponse(t *testing.T) {
	response := func(id, body string) string {
		head := "HTTP/1.1 200 OK\r\n"
		if id != "" {
			head += idHeader + ": " + id + "\r\n"
		}
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for name, copied := range map[string]string{
		"same ID": response("1", "first"), "no ID": response("", "first"),
		"failure without ID": "HTTP/1.1 503 Service Unavailable\r\nBoragehinge-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(n int, c net.Conn, r *http.Request) bool {
				if n == 2 {
					_, _ = io.WriteString(c, copied)
				}
				_, _ = io.WriteString(c, response(r.Header.Get(idHeader), "answer "+r.Header.Get(idHeader)))
				return true
			})
			tr := newTransport(t, identifyingConfig())
			for _, id := range []string{"1", "2", "3"} {
				body, err := call(t, tr, s.address(), requestWithID(t, id))
				require.NoError(t, err)
				assert.Equal(t, "answer "+id, body)
			}
			_, accepted := s.counts()
			assert.Equal(t, 1, accepted, "all on one connection")
		})
	}
}

// Guards against bytes without end that are no response: they must cost neither unbounded memory nor the time until the caller's
// deadline, and end with an error and a closed connection.
func TestBytesWithoutEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	kilobyte := strings.Repeat("x", 1<<10)
	notRun := "HTTP/1.1 503 Service Unavailable\r\nBoragehinge-Not-Run: true\r\n"
	for name, script := range map[string]struct {
		start, piece string
		pause        time.Duration
		kind         Kind
	}{
		"no line end":             {"", kilobyte, 0, Unknown},
		"head":                    {head, "X-A: " + kilobyte + "\r\n", 0, Unknown},
		"informational responses": {"", "HTTP/1.1 102 Processing\r\n\r\n", 0, Unknown},
		"chunk extension":         {head + "Transfer-Encoding: chunked\r\n\r\n1;", kilobyte, 0, Unknown},
		"trailer":                 {head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-A: " + kilobyte + "\r\n", 0, Unknown},
		"body of a refusal":       {notRun + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", 0, UpstreamNotRun},
		"slow body of a refusal":  {notRun + "Content-Length: 100\r\n\r\n", "x", 10 * time.Millisecond, UpstreamNotRun},
		"body of another request": {head + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", 0, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			closed := make(chan struct{})
			s := newRawServer(t, func(_ int, c net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(c, script.start)
				responsetest.WriteWithoutEnd(c, script.piece, script.pause, &sent)
				close(closed)
				return false
			})
			tr := newTransport(t, identifyingConfig())
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			done := make(chan error, 1)
			go func() {
				resp, err := tr.RoundTrip(ctx, s.address(), requestWithID(t, "1"), true)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				done <- err
			}()
			select {
			case err := <-done:
				require.Error(t, err)
				assert.Equal(t, script.kind, asError(t, err).Kind)
			case <-time.After(10 * time.Second):
				t.Fatal("still reading, a minute before the deadline")
			}
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				t.Fatal("the connection is still open")
			}
			assert.Less(t, sent.Load(), int64(16<<20), "bytes that the upstream could send, those in buffers of the kernel included")
		})
	}
}

// Guards against a deadline for the body of a refusal that stays on the connection and fails a later call.
func TestConnectionIsReusedAfterARefusal(t *testing.T) {
	for name, rest := range map[string]string{"with a body": "Content-Length: 4\r\n\r\nfull", "without a body": "Content-Length: 0\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(n int, c net.Conn, _ *http.Request) bool {
				if n == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nBoragehinge-Not-Run: true\r\n"+rest)
					return true
				}
				time.Sleep(3 * notRunBodyTimeout)
				_, _ = io.WriteString(c, okResponse)
				return true
			})
			tr := newTransport(t, Config{})
			_, err := call(t, tr, s.address(), newRequest(t, http.MethodGet, "/", ""))
			require.Equal(t, UpstreamNotRun, asError(t, err).Kind)
			body, err := call(t, tr, s.address(), newRequest(t, http.MethodGet, "/", ""))
			require.NoError(t, err)
			assert.Equal(t, "ok", body)
			_, accepted := s.counts()
			assert.Equal(t, 1, accepted)
		})
	}
}

// Guards against an earlier refusal that an upstream writes once more on a kept connection, after it has begun to run the next request:
// its caller was told that the request didn't run.
func TestCopyOfARefusalIsNotBelieved(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nBoragehinge-Not-Run: true\r\n"
	for name, refusal := range map[string]string{
		"with the ID of the earlier request": notRun + idHeader + ": 1\r\nContent-Length: 0\r\n\r\n",
		"without an ID":                      notRun + "Content-Length: 0\r\n\r\n",
		"in chunks, without an ID":           notRun + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var refused sync.Map // connections on which a request was refused
			s := newRawServer(t, func(n int, c net.Conn, r *http.Request) bool {
				if _, again := refused.Load(c); again || n == 1 {
					_, _ = io.WriteString(c, refusal)
				}
				if n == 1 {
					refused.Store(c, true)
					return true
				}
				time.Sleep(20 * time.Millisecond) // the request runs
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 3\r\n\r\nran", idHeader, r.Header.Get(idHeader))
				return true
			})
			tr := newTransport(t, identifyingConfig())
			_, err := call(t, tr, s.address(), requestWithID(t, "1"))
			require.Equal(t, UpstreamNotRun, asError(t, err).Kind, "the first refusal is true")
			body, err := call(t, tr, s.address(), requestWithID(t, "2"))
			if err != nil {
				assert.Equal(t, Unknown, asError(t, err).Kind, "the request may have run")
				return
			}
			assert.Equal(t, "ran", body)
		})
	}
}

// invalidStatuses are status codes that HTTP doesn't define.
var invalidStatuses = []string{"000", "007", "099", "600", "999", "+20", "-20", "20", "2000", "2x0"}

// Guards against a response with an impossible status that the caller gets, and against a body that is read as the response behind it.
func TestInvalidStatusesAreNoResponses(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			s := newRawServer(t, func(n int, c net.Conn, r *http.Request) bool {
				forged := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 6\r\n\r\nforged", idHeader, r.Header.Get(idHeader))
				if n == 2 {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(forged), forged)
				} else {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", idHeader, r.Header.Get(idHeader))
				}
				return true
			})
			tr := newTransport(t, identifyingConfig())
			body, err := call(t, tr, s.address(), requestWithID(t, "1"))
			require.NoError(t, err)
			assert.Equal(t, "ok", body)
			body, err = call(t, tr, s.address(), requestWithID(t, "2"))
			var te *Error
			require.ErrorAs(t, err, &te, "the caller would get %q", body)
			assert.Equal(t, Unknown, te.Kind, "the request may have run")
			assert.Equal(t, CauseMalformed, te.Cause)
			body, err = call(t, tr, s.address(), requestWithID(t, "3"))
			require.NoError(t, err)
			assert.Equal(t, "ok", body)
			_, accepted := s.counts()
			assert.Equal(t, 2, accepted, "the connection is closed")
		})
	}
}
