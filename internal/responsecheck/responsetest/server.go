// Package responsetest has malformed responses, and a server that sends them, for the tests of all readers of responses.
package responsetest

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// MalformedFields are header lines, without their line ends, that HTTP/1.1 doesn't allow behind another header line.
var MalformedFields = []string{
	"X-Cache Hit: 1", "Content-Length : 5", "Content-Length\t: 5", "Transfer-Encoding : chunked", " Content-Length: 5", "\tX-Cache: 1",
	"X-\x01Cache: 1", "X-Cache\x00: 1", "X-\x7fCache: 1", "X-\rCache: 1", "\x1fX-Cache: 1", ": 1", "X-Cache",
}

// StartServer starts a server that answers each request with raw bytes and closes the connection. It returns its address.
func StartServer(t *testing.T, raw string) string {
	t.Helper()
	return startServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, raw) // the client may have closed the connection
	})
}

// StartEndlessServer starts a server that answers each request with start, and then with repeated until the connection is closed. It returns
// its address and the number of bytes that were passed to the kernel.
func StartEndlessServer(t *testing.T, start, repeated string) (address string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	address = startServer(t, func(c net.Conn) {
		var err error
		for piece := start; err == nil; piece = repeated {
			var n int
			n, err = io.WriteString(c, piece)
			sent.Add(int64(n))
		}
	})
	return address, sent
}

// startServer starts a server that answers each request by respond and closes the connection.
func startServer(t *testing.T, respond func(net.Conn)) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		respond(c)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// StatusLine and HeaderLines are the start of a response whose header has no end, and what is repeated behind it.
var (
	StatusLine  = "HTTP/1.1 200 OK\r\n"
	HeaderLines = strings.Repeat("X-Padding: 1\r\n", 1000)
)

// MaxBuffered is more bytes than the buffers of the kernel on both sides hold, beside a header that is read to its limit.
const MaxBuffered = 8 << 20
