// Package responsetest has malformed responses, and a server that sends them, for the tests of all readers of responses.
package responsetest

import (
	"io"
	"net/http"
	"net/http/httptest"
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
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, raw) // the client may have closed the connection
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}
