package emulator

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/transport"
)

// Server is a sample upstream.
type Server struct {
	cfg    Config
	faults atomic.Pointer[Faults]
	frozen atomic.Pointer[transport.LoadReport]
	seq    atomic.Uint64
	conns  *conns
	record record

	mu      sync.Mutex
	rng     *rand.Rand
	slots   slots
	http    *http.Server
	address string
	closed  bool
	restart *time.Timer
	crashes int
}

// New returns a Server that doesn't listen yet. It can be used as an http.Handler without listening; crashes and silent
// connections need Start.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		conns: &conns{open: map[*conn]struct{}{}},
	}
	s.faults.Store(&Faults{})
	s.record.byID = map[string]Execution{}
	s.slots = newSlots(cfg)
	return s
}

// Start listens on address, for example 127.0.0.1:0, and serves until Close.
func (s *Server) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listen(address)
}

// listen begins to serve. The caller holds the lock.
func (s *Server) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	s.address = ln.Addr().String()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go func(srv *http.Server) { _ = srv.Serve(&listener{ln, s.conns}) }(s.http)
	return nil
}

// Address returns the address that the server listens on, also while it is crashed.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Close ends the server and its connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.restart != nil {
		s.restart.Stop()
	}
	srv := s.http
	s.http = nil
	s.mu.Unlock()
	if srv != nil {
		_ = srv.Close()
	}
	s.conns.reset()
}

// Crash closes the listener and resets all connections. The server listens on the same address again after down, cold.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	srv := s.http
	s.http = nil
	if srv == nil || s.closed {
		s.mu.Unlock()
		return
	}
	s.crashes++
	s.slots.becomeCold()
	s.restart = time.AfterFunc(down, s.comeBack)
	s.mu.Unlock()
	_ = srv.Close()
	s.conns.reset()
}

// comeBackRetry is the pause before another try to listen when the port is still taken.
const comeBackRetry = 20 * time.Millisecond

func (s *Server) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	if err := s.listen(s.address); err != nil {
		s.restart = time.AfterFunc(comeBackRetry, s.comeBack)
	}
}

// Crashes returns the number of crashes so far.
func (s *Server) Crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int64 { return s.conns.accepted.Load() }

// OpenConnections returns the number of open connections, silent ones included.
func (s *Server) OpenConnections() int { return len(s.conns.all()) }

// MakeCold puts the server into its cold state.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.becomeCold()
}

// State is a truthful view of a Server.
type State struct {
	InFlight    int
	Queued      int
	MaxInFlight int // largest number of requests run at a time
	Cold        bool
	Allowance   int // concurrent requests handled without harm
	Overloads   int // requests begun above the allowance while cold
	Collapses   int
}

// State returns the state.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.state()
}

func (s *Server) trueReport() transport.LoadReport {
	st := s.State()
	return transport.LoadReport{InFlight: st.InFlight, Queued: st.Queued, Cold: st.Cold, Draining: s.Faults().Draining,
		Seq: s.seq.Add(1)}
}

// loadHeader returns the Boragehinge-Load header, or an empty string for none.
func (s *Server) loadHeader() string {
	switch s.faults.Load().Report {
	case ReportNone:
		return ""
	case ReportFrozen:
		return s.frozen.Load().String()
	case ReportIdle:
		return transport.LoadReport{Seq: s.seq.Add(1)}.String()
	}
	return s.trueReport().String()
}
