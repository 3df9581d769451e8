package transport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a response whose header HTTP/1.1 doesn't allow, and which the caller gets with a line or a body that the upstream didn't
// mean. Its connection must not be used again.
func TestMalformedHeadersAreNoResponses(t *testing.T) {
	const body = "Content-Length: 2\r\n\r\nok"
	for name, raw := range map[string]string{
		"blank in a name":                 "HTTP/1.1 200 OK\r\nX A: 1\r\n" + body,
		"blank behind a name":             "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n" + body,
		"blank behind the only length":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nok",
		"blank behind the coding":         "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"tab in a name":                   "HTTP/1.1 200 OK\r\nX\tA: 1\r\n" + body,
		"control byte in a name":          "HTTP/1.1 200 OK\r\nX\x01A: 1\r\n" + body,
		"NUL behind a name":               "HTTP/1.1 200 OK\r\nX-A\x00: 1\r\n" + body,
		"carriage return in a name":       "HTTP/1.1 200 OK\r\nX\rA: 1\r\n" + body,
		"carriage return in a value":      "HTTP/1.1 200 OK\r\nX-A: 1\rX-B: 2\r\n" + body,
		"folded line":                     "HTTP/1.1 200 OK\r\nX-A: 1\r\n X-B: 1\r\n" + body,
		"length in a folded line":         "HTTP/1.1 200 OK\r\nX-A: 1\r\n Content-Length: 2\r\n\r\nok",
		"informational response":          "HTTP/1.1 102 Processing\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
		"behind an informational one":     "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX A: 1\r\n" + body,
		"transfer coding in HTTP/1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"other protocol version":          "HTTP/2.0 200 OK\r\n" + body,
		"refusal with a blank in a name":  "HTTP/1.1 503 Service Unavailable\r\nX A: 1\r\nBoragehinge-Not-Run: true\r\n" + body,
		"not HTTP, and then silence":      "garbage\r\n",
		"malformed line and then silence": "HTTP/1.1 200 OK\r\nno field\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(n int, c net.Conn, _ *http.Request) bool {
				if n > 1 {
					return respond(okResponse)(n, c, nil)
				}
				_, _ = io.WriteString(c, raw)
				return !strings.Contains(raw, "Connection: close") && !strings.HasPrefix(raw, "HTTP/1.0")
			})
			tr := newTransport(t, Config{AcceptUndelimited: true})
			body, err := call(t, tr, s.address(), newRequest(t, http.MethodPost, "/", ""))
			require.Error(t, err, "the caller would get %q", body)
			e := asError(t, err)
			assert.Equal(t, Unknown, e.Kind, "the request may have run")
			assert.Equal(t, CauseMalformed, e.Cause)
			body, err = call(t, tr, s.address(), newRequest(t, http.MethodGet, "/", ""))
			require.NoError(t, err)
			assert.Equal(t, "ok", body)
			_, accepted := s.counts()
			assert.Equal(t, 2, accepted, "the connection is closed")
		})
	}
}

// Guards against a valid response that is lost, or gets mixed up with the next one of the connection, because its header is larger than
// the read buffer or arrives in pieces.
func TestLargeHeadersAndPieces(t *testing.T) {
	for name, piece := range map[string]int{"whole": 1 << 20, "in pieces": 1500} {
		t.Run(name, func(t *testing.T) {
			s := newRawServer(t, func(n int, c net.Conn, r *http.Request) bool {
				padding := strings.Repeat("X-Padding: "+strings.Repeat("p", 500)+"\r\n", 20*(n%4))
				raw := fmt.Sprintf("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n%sX-Path: %s\r\nContent-Length: %d\r\n\r\n%s",
					padding, r.URL.Path, len(r.URL.Path), r.URL.Path)
				for len(raw) > 0 {
					sent := min(piece, len(raw))
					_, _ = io.WriteString(c, raw[:sent])
					raw = raw[sent:]
					time.Sleep(time.Millisecond)
				}
				return true
			})
			tr := newTransport(t, Config{})
			for i := range 9 {
				path := fmt.Sprintf("/%d", i)
				body, err := call(t, tr, s.address(), newRequest(t, http.MethodGet, path, ""))
				require.NoError(t, err)
				assert.Equal(t, path, body)
			}
			_, accepted := s.counts()
			assert.Equal(t, 1, accepted, "all on one connection")
			assert.Equal(t, []int{readBufferSize}, idleBufferSizes(tr, s.address()), "the memory of a large header is released")
		})
	}
}

// idleBufferSizes returns the sizes of the read buffers of idle connections.
func idleBufferSizes(tr *Transport, address string) []int {
	p := tr.lookup(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	var sizes []int
	for _, c := range p.idle {
		sizes = append(sizes, c.br.Size())
	}
	return sizes
}

// Guards against a limit of headers that the growing read buffer goes round.
func TestHeaderThatIsTooLargeIsNoResponse(t *testing.T) {
	s := newRawServer(t, respond("HTTP/1.1 200 OK\r\n"+strings.Repeat("X-A: 1\r\n", 100)+"Content-Length: 2\r\n\r\nok"))
	tr := newTransport(t, Config{MaxHeaderBytes: 500})
	_, err := call(t, tr, s.address(), newRequest(t, http.MethodGet, "/", ""))
	require.ErrorIs(t, err, errHeaderTooLarge)
	assert.Equal(t, CauseMalformed, asError(t, err).Cause)
}
