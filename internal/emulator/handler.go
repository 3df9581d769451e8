package emulator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/transport"
)

// Headers of requests and responses.
const (
	headerRequestID = "Boragehinge-Request-Id"
	headerDeadline  = "Boragehinge-Deadline-Ms"
	// HeaderEcho repeats the request ID, so that a test can match the response to its request.
	HeaderEcho = "X-Echo-Request-Id"
	// HeaderBodyBytes is the size of the request's body.
	HeaderBodyBytes = "X-Body-Bytes"
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/faults":
		s.serveFaults(w, r)
	case "/-/executions":
		s.serveExecutions(w, r)
	case "/-/health":
		s.observe(EventProbe, r)
		s.setLoad(w)
	default:
		s.serveWork(w, r)
	}
}

func (s *Server) setLoad(w http.ResponseWriter) {
	if load := s.loadHeader(); load != "" {
		w.Header().Set(transport.HeaderLoad, load)
	}
	w.Header().Set("X-Upstream", s.cfg.Name)
}

// serveWork takes a slot, runs the request and responds.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := deadlineContext(r)
	defer cancel()
	faults := s.faults.Load()
	if faults.Draining || faults.Shed || !s.enter(ctx) {
		s.observe(EventRefused, r)
		s.refuse(w, faults)
		return
	}
	success := false
	defer func() { s.leave(success) }()
	id := r.Header.Get(headerRequestID)
	s.record.count(id, func(e *Execution) { e.Begun++ })
	s.observe(EventBegun, r)
	if faults.crashes(id, r.URL.Path) {
		s.Crash(faults.crashDown())
		panic(http.ErrAbortHandler)
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		s.record.count(id, func(e *Execution) { e.Cancelled++ })
		panic(http.ErrAbortHandler)
	}
	wait, failed, overload := s.plan(r.URL.Path, faults)
	if overload {
		s.observe(EventOverload, r)
	}
	if pause.Sleep(ctx, wait) != nil {
		s.record.count(id, func(e *Execution) { e.Cancelled++ })
		s.giveUp(w, r)
		return
	}
	s.record.count(id, func(e *Execution) { e.Completed++ })
	s.observe(EventCompleted, r)
	s.setLoad(w)
	w.Header().Set(HeaderEcho, id)
	w.Header().Set(HeaderBodyBytes, strconv.FormatInt(size, 10))
	if failed {
		http.Error(w, "emulated failure", http.StatusInternalServerError)
		return
	}
	success = true
	s.respond(w, r, id, faults)
}

func deadlineContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// giveUp ends a run that was cancelled. A deadline gets a response, since a lost connection would look like a crash.
func (s *Server) giveUp(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	s.setLoad(w)
	http.Error(w, "deadline passed", http.StatusGatewayTimeout)
}

// enter waits for a slot.
func (s *Server) enter(ctx context.Context) bool {
	s.mu.Lock()
	wait, ok := s.slots.enter()
	s.mu.Unlock()
	if !ok || wait == nil {
		return ok
	}
	select {
	case <-wait:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.slots.leaveQueue(wait)
}

func (s *Server) leave(success bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.leave(success)
}

// refuse responds to a request that didn't run.
func (s *Server) refuse(w http.ResponseWriter, faults *Faults) {
	s.countShed()
	s.setLoad(w)
	if !faults.NoNotRunProof {
		w.Header().Set(transport.HeaderNotRun, "true")
	}
	w.Header().Set("Retry-After", "1")
	if faults.Draining {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, "no capacity", http.StatusServiceUnavailable)
}

// plan draws the service time of a request and whether it fails or is above the allowance of a cold server.
func (s *Server) plan(path string, faults *Faults) (wait time.Duration, failed, overload bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.slots.overloads
	factor, ok := s.slots.begin(time.Now())
	overload = s.slots.overloads > before
	wait = time.Duration(float64(s.distribution(path).draw(s.rng)) * factor)
	if faults.SlowFactor > 0 {
		wait = time.Duration(float64(wait) * faults.SlowFactor)
	}
	failed = !ok || s.rng.Float64() < faults.failShare(path)
	failed = failed || faults.FailInFlight > 0 && s.slots.inFlight > faults.FailInFlight
	if failed && faults.FailFast {
		wait = 0
	}
	return wait, failed, overload
}

func (s *Server) distribution(path string) Distribution {
	for _, route := range s.cfg.Routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route.Time
		}
	}
	return DefaultTime
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, id string, faults *Faults) {
	body := io.Reader(strings.NewReader(fmt.Sprintf("%s %s %s\n", id, r.Method, r.URL.Path)))
	size := int64(len(id) + len(r.Method) + len(r.URL.Path) + 3)
	if rest, ok := strings.CutPrefix(r.URL.Path, "/archive/"); ok {
		n, err := strconv.ParseInt(rest, 10, 64)
		if err != nil || n < 0 {
			http.Error(w, "the path must end with a size in bytes", http.StatusNotFound)
			return
		}
		body, size = &archive{left: n}, n
	}
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if faults.truncates(r.URL.Path) {
		_, _ = io.CopyN(w, body, size/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(w, body)
}

// archive is a body of a given size. The byte at offset i is i modulo 251, so that a shift or a gap shows.
type archive struct {
	offset int64
	left   int64
}

// Read implements io.Reader.
func (a *archive) Read(p []byte) (int, error) {
	if a.left == 0 {
		return 0, io.EOF
	}
	p = p[:min(int64(len(p)), a.left)]
	for i := range p {
		p[i] = byte((a.offset + int64(i)) % archiveModulus)
	}
	a.offset += int64(len(p))
	a.left -= int64(len(p))
	return len(p), nil
}

const archiveModulus = 251

// CheckArchive reads a body of /archive/<size> and returns an error unless it is complete and correct.
func CheckArchive(r io.Reader, size int64) error {
	buf := make([]byte, 32<<10)
	var offset int64
	for {
		n, err := r.Read(buf)
		for i, b := range buf[:n] {
			if b != byte((offset+int64(i))%archiveModulus) {
				return fmt.Errorf("archive differs at byte %d", offset+int64(i))
			}
		}
		offset += int64(n)
		if err == io.EOF && offset == size {
			return nil
		}
		if err != nil || offset > size {
			return fmt.Errorf("archive ended after %d of %d bytes: %w", offset, size, err)
		}
	}
}
