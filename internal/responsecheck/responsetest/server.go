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
	"time"
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

// StartEndlessHeaderServer starts a server that answers each request with header lines until the connection is closed. It returns its
// address and the number of bytes that were passed to the kernel.
func StartEndlessHeaderServer(t *testing.T) (address string, sent *atomic.Int64) {
	t.Helper()
	sent = &atomic.Int64{}
	lines := strings.Repeat("X-Padding: 1\r\n", 1000)
	address = startServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		WriteWithoutEnd(c, lines, 0, sent)
	})
	return address, sent
}

// WriteWithoutEnd writes a piece of a response again and again, with a pause, until the connection is closed, and counts the bytes.
func WriteWithoutEnd(c net.Conn, piece string, pause time.Duration, sent *atomic.Int64) {
	for {
		n, err := io.WriteString(c, piece)
		sent.Add(int64(n))
		if err != nil {
			return
		}
		time.Sleep(pause)
	}
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

// MaxBuffered is more bytes than the buffers of the kernel on both sides hold, beside a header that is read to its limit.
const MaxBuffered = 8 << 20
