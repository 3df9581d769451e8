package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/headers"
	"boragehinge.example/boragehinge/internal/membudget"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/internal/traffic"
	"boragehinge.example/boragehinge/internal/transport"
)

// Placer chooses the upstream of each request.
type Placer interface {
	Place(ctx context.Context, a coordinator.Ask, objective, deadline time.Time) (*coordinator.Placed, error)
	Config() *gateway.Config
	// AwaitConfig returns the configuration. If none is known yet, it waits for one up to limit and returns nil on timeout.
	AwaitConfig(ctx context.Context, limit time.Duration) *gateway.Config
}

// Options configure a Server.
type Options struct {
	DataCentre string // data centre of this entry
	Names      headers.Names
	Placer     Placer
	Transport  *transport.Transport
	Decisions  *telemetry.DecisionLog
	Metrics    *Metrics
	Log        zerolog.Logger
	Limits     ClientLimits
	// ObjectiveFromFirstTry counts the objective of a caller's retry from its first try, as far as the deadline that the caller sends
	// shows it. Otherwise it is counted from the arrival of each try.
	ObjectiveFromFirstTry bool
	// Traffic counts the bytes of all connections. It is optional.
	Traffic *traffic.Counter
}

// Server serves the connections of callers.
type Server struct {
	opts          Options
	splits        splits
	responseSizes routeSizes
	streamedSizes routeSizes // of streamed request bodies without a declared length
	retryDetector retryDetector
	shutdown      atomic.Pointer[Shutdown] // nil while the server is not shutting down
	limits        ClientLimits
	budget        *membudget.Budget
	limitLog      rate.Sometimes
	unread        unreadConns

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server; Serve starts it.
func NewServer(opts Options) *Server {
	limits := opts.Limits.withDefaults()
	budget := membudget.New(membudget.Limits{Bytes: limits.MemoryBytes, Conns: limits.Connections, MinStall: limits.StallTimeout})
	opts.Metrics.observe(budget)
	return &Server{opts: opts, conns: map[*conn]struct{}{}, limits: limits, budget: budget, limitLog: rate.Sometimes{Interval: limitLogInterval}}
}

const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until the listener is closed or its deadline has passed, see StopAccepting.
func (s *Server) Serve(l net.Listener) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.watchUnread(ctx)
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return l.Close()
		}
		if err != nil {
			// File descriptors may be exhausted temporarily; callers wait in the listener's backlog meanwhile.
			s.opts.Log.Warn().Err(err).Msg("accept")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.opts.Metrics.connections.Inc()
		s.admit(newConn(s, nc))
	}
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int { return s.budget.Stats().Conns }

// admit starts a connection, or closes it if there is no room for it.
func (s *Server) admit(c *conn) {
	account, victims := s.budget.OpenConn(time.Now(), connBytes+s.limits.ReceiveBuffer, c)
	s.evict(victims)
	if account == nil {
		s.opts.Metrics.refusedConns.Inc()
		s.logLimits("connection")
		_ = c.nc.Close() // nothing has been read from it
		c.cancel()
		return
	}
	c.account, c.holdsKernel = account, true
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) removeConn(c *conn) {
	s.budget.Close(time.Now(), c.account)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}
