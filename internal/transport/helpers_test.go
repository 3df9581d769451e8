package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawServer accepts connections and passes each request to script, which writes raw bytes. If script returns false, the
// connection is closed.
type rawServer struct {
	ln       net.Listener
	mu       sync.Mutex
	requests int
	accepted int
}

func newRawServer(t *testing.T, script func(n int, c net.Conn, r *http.Request) bool) *rawServer {
	t.Helper()
	s := &rawServer{}
	s.ln = listen(t, func(c net.Conn) {
		s.mu.Lock()
		s.accepted++
		s.mu.Unlock()
		s.serve(c, script)
	})
	return s
}

// listen accepts connections on a free port of the loopback interface, runs serve for each in a goroutine, and closes it afterwards.
func listen(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
	return ln
}

// newEarlyResponder returns the address of an upstream that runs respond as soon as the header of a request has arrived. The body isn't
// read, but for the few bytes that came with the header.
func newEarlyResponder(t *testing.T, respond func(c *net.TCPConn)) string {
	t.Helper()
	return listen(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			respond(c.(*net.TCPConn))
		}
	}).Addr().String()
}

func (s *rawServer) serve(c net.Conn, script func(int, net.Conn, *http.Request) bool) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.requests++
		n := s.requests
		s.mu.Unlock()
		if !script(n, c, r) {
			return
		}
	}
}

func (s *rawServer) address() string { return s.ln.Addr().String() }

func (s *rawServer) counts() (requests, accepted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.accepted
}

func newRequest(t *testing.T, method, path, body string) *http.Request {
	t.Helper()
	u, err := url.Parse(path)
	require.NoError(t, err)
	r := &http.Request{Method: method, URL: u, Host: "svc", Header: http.Header{}, Body: http.NoBody}
	if body != "" {
		r.Body = io.NopCloser(strings.NewReader(body))
		r.ContentLength = int64(len(body))
	}
	return r
}

func newTransport(t *testing.T, cfg Config) *Transport {
	t.Helper()
	tr := New(cfg)
	t.Cleanup(tr.Close)
	return tr
}

func newUpstream(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// call makes a round trip and reads the whole body.
func call(t *testing.T, tr *Transport, address string, r *http.Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := tr.RoundTrip(ctx, address, r, r.Method == http.MethodGet)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

func asError(t *testing.T, err error) *Error {
	t.Helper()
	var e *Error
	require.True(t, errors.As(err, &e), "want *Error, got %T %v", err, err)
	return e
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func respond(raw string) func(int, net.Conn, *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, raw)
		return true
	}
}
