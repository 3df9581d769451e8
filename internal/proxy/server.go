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
	ReadHeaderTimeout time.Duration // time allowed to read a request header, 5 s
	IdleTimeout       time.Duration // idle connections are closed after this time, 2 min
	MaxHeaderBytes    int           // limit of a request header, 32 KiB
	MaxStreams        int           // concurrent HTTP/2 streams per connection, 250
	HTTP2             bool          // accept HTTP/2 without TLS (prior knowledge) as well as HTTP/1.1
	QuietPeriod       time.Duration // time without a new request after which Stop closes connections, 250 ms
}

// maxResponseTime is the longest time of any response. Setting it as the write timeout also makes net/http reset the
// write deadline at the start of each request; the responder extends the deadline while it writes.
const maxResponseTime = time.Hour

func (c ServerConfig) withDefaults() ServerConfig {
	setDefault(&c.ReadHeaderTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, 2*time.Minute)
	setDefault(&c.MaxHeaderBytes, 32<<10)
	setDefault(&c.MaxStreams, 250)
	setDefault(&c.QuietPeriod, 250*time.Millisecond)
	return c
}

// Server serves a port and shuts down gracefully.
type Server struct {
	cfg         ServerConfig
	http        *http.Server
	handler     http.Handler
	stopping    atomic.Bool
	running     atomic.Int64
	lastRequest atomic.Int64 // start of the latest request, nanoseconds since the epoch
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

// Serve accepts connections until Stop or Close is called, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	if err := s.http.Serve(ln); err != http.ErrServerClosed {
		return fmt.Errorf("serve %s: %w", ln.Addr(), err)
	}
	return nil
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.lastRequest.Store(time.Now().UnixNano())
	s.running.Add(1)
	defer s.running.Add(-1)
	if s.stopping.Load() {
		// Tells the caller to use another connection; on HTTP/2, net/http sends GOAWAY.
		w.Header()["Connection"] = []string{"close"}
	}
	s.handler.ServeHTTP(w, r)
}

// Running returns the number of requests in progress.
func (s *Server) Running() int { return int(s.running.Load()) }

// ErrStopTimeout is returned by Stop if requests are still running when its context ends.
var ErrStopTimeout = errors.New("requests were still running at the end of the stop")

// maxQuietWait bounds the wait for QuietPeriod, in case new requests never stop. Closing the listener and the idle
// connections then still aborts no running request.
const maxQuietWait = 2 * time.Second

// Stop shuts the server down gracefully. During the grace period, in which callers still use the address, it accepts
// connections and serves requests with Connection: close. Then it waits for QuietPeriod without new requests, closes idle
// connections and waits for the running requests, including those on hijacked connections. If ctx ends before that, it
// returns an error and leaves the running requests to Close.
func (s *Server) Stop(ctx context.Context, grace time.Duration) error {
	s.stopping.Store(true)
	if err := sleep(ctx, grace); err != nil {
		return fmt.Errorf("%w: %w", ErrStopTimeout, err)
	}
	for end := time.Now().Add(maxQuietWait); time.Now().Before(end); {
		quiet := time.Since(time.Unix(0, s.lastRequest.Load()))
		if quiet >= s.cfg.QuietPeriod {
			break
		}
		if err := sleep(ctx, s.cfg.QuietPeriod-quiet); err != nil {
			return fmt.Errorf("%w: %w", ErrStopTimeout, err)
		}
	}
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("%w: %d running: %w", ErrStopTimeout, s.Running(), err)
	}
	return s.waitForHandlers(ctx)
}

// handlerPoll is the interval at which the number of running handlers is polled.
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

// Close stops the server immediately and aborts running requests.
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
