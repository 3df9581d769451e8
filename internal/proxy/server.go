package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// ServerConfig holds the limits of a Server. Zero fields take the defaults named beside them.
type ServerConfig struct {
	ReadHeaderTimeout time.Duration // longest time for a request's header, 5 s
	IdleTimeout       time.Duration // idle connections are closed after this time, 2 min
	MaxHeaderBytes    int           // 32 KiB
	MaxStreams        int           // concurrent HTTP/2 streams of a connection, 250
	HTTP2             bool          // accept HTTP/2 without TLS (prior knowledge) beside HTTP/1.1
	Quiet             time.Duration // time without a new request before connections are closed in Stop, 250 ms
}

// maxResponseTime is the longest response of any kind. It also renews the write deadline at each request's start, which
// net/http does only for a server with a write timeout; the responder moves the deadline while it writes.
const maxResponseTime = time.Hour

func (c ServerConfig) withDefaults() ServerConfig {
	setDefault(&c.ReadHeaderTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, 2*time.Minute)
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxStreams, 250)
	setDefault(&c.Quiet, 250*time.Millisecond)
	return c
}

// Server serves a port and stops without cutting requests.
type Server struct {
	cfg      ServerConfig
	http     *http.Server
	handler  http.Handler
	stopping atomic.Bool
	running  atomic.Int64
	last     atomic.Int64 // start of the latest request, nanoseconds since the epoch
}

// NewServer returns a Server for a handler.
func NewServer(h http.Handler, cfg ServerConfig) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, handler: h}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(cfg.HTTP2)
	protocols.SetUnencryptedHTTP2(cfg.HTTP2)
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: cfg.ReadHeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		WriteTimeout:      maxResponseTime,
		MaxHeaderBytes:    cfg.MaxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: cfg.MaxStreams},
	}
	return s
}

// Serve accepts connections until Stop or Close. It returns nil after those.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.last.Store(time.Now().UnixNano())
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.stopping.Load() {
		// Tells the caller to use another connection; an HTTP/2 connection receives GOAWAY.
		w.Header()["Connection"] = []string{"close"}
	}
	s.handler.ServeHTTP(w, r)
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// ErrStopTimeout is returned by Stop when requests were still running at the end of its context.
var ErrStopTimeout = errors.New("requests were still running at the end of the stop")

// maxQuietWait bounds the wait for a moment without new requests, for callers that never pause. Closing the listener and
// idle connections then still cuts no running request.
const maxQuietWait = 2 * time.Second

// Stop ends the server without cutting a request. For the time of grace, in which callers still know the address, it
// accepts connections and serves late requests on kept-alive ones, with Connection: close. Then it waits for a moment
// without new requests, closes idle connections and waits for the running requests, those on hijacked connections included. If ctx ends before, it returns an
// error and leaves the running requests to Close.
func (s *Server) Stop(ctx context.Context, grace time.Duration) error {
	s.stopping.Store(true)
	if err := sleep(ctx, grace); err != nil {
		return fmt.Errorf("%w: %w", ErrStopTimeout, err)
	}
	for end := time.Now().Add(maxQuietWait); time.Now().Before(end); {
		quiet := time.Since(time.Unix(0, s.last.Load()))
		if quiet >= s.cfg.Quiet {
			break
		}
		if err := sleep(ctx, s.cfg.Quiet-quiet); err != nil {
			return fmt.Errorf("%w: %w", ErrStopTimeout, err)
		}
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("%w: %d running: %w", ErrStopTimeout, s.Running(), err)
	}
	return s.waitForHandlers(ctx)
}

// handlerPoll is the pause between two looks at the number of running handlers.
const handlerPoll = 5 * time.Millisecond

// waitForHandlers waits for handlers that have hijacked their connection, which Shutdown doesn't count.
func (s *Server) waitForHandlers(ctx context.Context) error {
	for s.Running() > 0 {
		if err := sleep(ctx, handlerPoll); err != nil {
			return fmt.Errorf("%w: %d running: %w", ErrStopTimeout, s.Running(), err)
		}
	}
	return nil
}

// Close ends the server at once and cuts the running requests.
func (s *Server) Close() error {
	s.stopping.Store(true)
	return s.http.Close()
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
