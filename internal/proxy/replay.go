package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replay is a request's body. Bodies up to the replay limit are held in memory and may be sent any number of times.
// Longer ones are streamed, and may be sent again only while no byte of the streamed part was asked for.
type replay struct {
	prefix []byte
	length int64         // -1 when unknown
	rest   io.ReadCloser // nil when prefix is the whole body

	mu       sync.Mutex // held while the state below changes, not during reads
	restRead bool
}

var errStreamStopped = errors.New("request body is no longer available to this attempt")

// openBody reads up to the replay limit from the caller, before a slot is taken, so that a slow caller holds none.
func (p *Proxy) openBody(out *responder, r *http.Request, call *Call) (*replay, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &replay{}, nil
	}
	guarded := &callerBody{raw: r.Body, rc: http.MaxBytesReader(out.w, r.Body, p.cfg.MaxBody), out: out, until: call.Deadline}
	if r.ContentLength > p.cfg.ReplayLimit {
		out.stream(guarded)
		return &replay{length: r.ContentLength, rest: guarded}, nil
	}
	prefix, err := readPrefix(guarded, r.ContentLength, p.cfg.ReplayLimit)
	call.bodyPrefix = prefix
	switch {
	case errors.Is(err, io.EOF):
		_ = guarded.Close()
		return &replay{prefix: prefix, length: int64(len(prefix))}, nil
	case err != nil:
		_ = guarded.Close()
		out.w.Header()["Connection"] = []string{"close"}
		return nil, err
	}
	out.stream(guarded)
	return &replay{prefix: prefix, length: -1, rest: guarded}, nil
}

// stream prepares for a body that is still being read while the response is written. Without full duplex, net/http
// would discard the rest of the body before the first byte of the response.
func (o *responder) stream(body *callerBody) {
	o.upload = body
	_ = o.control.EnableFullDuplex()
}

// readPrefix reads until more than limit bytes are there, where it returns nil, or until the end, where it returns
// io.EOF. A length below zero is unknown.
func readPrefix(r io.Reader, length, limit int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(limit, 4<<10)
	}
	// One byte more than expected, so that the read that finds the end needs no growth.
	buf := make([]byte, 0, size+1)
	for int64(len(buf)) <= limit {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := r.Read(buf[len(buf):min(int64(cap(buf)), limit+1)])
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// replayable reports whether another attempt may send the body.
func (b *replay) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil || !b.restRead
}

// inMemory reports whether the whole body is held.
func (b *replay) inMemory() bool { return b.rest == nil }

func (b *replay) close() {
	if b.rest != nil {
		_ = b.rest.Close()
	}
}

// open returns the body for one attempt.
func (b *replay) open() *stream {
	s := &stream{b: b, length: b.length}
	s.memory.Reset(b.prefix)
	return s
}

// stream is the body of one attempt. It implements transport.MemoryBody only in name: reads of a body in memory never
// block, and the transport writes inline only bodies of a known small length, which are always in memory.
type stream struct {
	b       *replay
	length  int64
	memory  bytes.Reader
	stopped bool // guarded by b.mu
}

// InMemory marks the body for the transport.
func (s *stream) InMemory() {}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if s.memory.Len() > 0 {
		return s.memory.Read(p)
	}
	if s.b.rest == nil {
		return 0, io.EOF
	}
	s.b.mu.Lock()
	if s.stopped {
		s.b.mu.Unlock()
		return 0, errStreamStopped
	}
	s.b.restRead = true
	s.b.mu.Unlock()
	return s.b.rest.Read(p)
}

// Close implements io.Closer. The body itself stays open for other attempts.
func (s *stream) Close() error { return nil }

// stop ends an attempt's access to the streamed part, so that a writer that is still running can't take bytes of it.
func (s *stream) stop() {
	s.b.mu.Lock()
	s.stopped = true
	s.b.mu.Unlock()
}

// callerBody reads a caller's body under a deadline that moves with its progress. Read is called by one goroutine at a
// time; Close may be called during a Read.
type callerBody struct {
	rc     io.ReadCloser // raw, limited
	raw    io.ReadCloser // of net/http, safe for concurrent use
	out    *responder
	until  time.Time
	set    time.Time // last move of the deadline
	ended  atomic.Bool
	closed atomic.Bool
}

// deadlineStep is the least time between two moves of a deadline, to save system work on fast bodies.
const deadlineStep = time.Second

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if now := time.Now(); now.Sub(b.set) >= deadlineStep {
		b.set = now
		_ = b.out.control.SetReadDeadline(earlier(now.Add(b.out.p.cfg.BodyStall), b.until))
	}
	n, err := b.rc.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
		b.clearDeadline()
	}
	return n, err
}

// uploadLinger bounds the wait for the rest of an unfinished body. A caller that is still sending when its connection is
// closed would get a reset instead of the response.
const uploadLinger = 500 * time.Millisecond

// maxLingerBytes bounds the bytes that are discarded during uploadLinger.
const maxLingerBytes = 8 << 20

// Close implements io.Closer. A read in progress holds a lock of the body, so it is bounded first; the connection isn't
// used for another request then.
func (b *callerBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.ended.Load() {
		if b.out.started {
			_ = b.out.control.Flush()
		}
		_ = b.out.control.SetReadDeadline(time.Now().Add(uploadLinger))
		// Not through rc, which isn't safe for a concurrent read. Close alone discards nothing on a connection that is to
		// be closed.
		_, _ = io.CopyN(io.Discard, b.raw, maxLingerBytes)
	}
	return b.rc.Close()
}

// clearDeadline removes the deadline: net/http keeps reading in the background to notice that the caller has left, and
// an expired deadline would look like that.
func (b *callerBody) clearDeadline() {
	if !b.closed.Load() {
		_ = b.out.control.SetReadDeadline(time.Time{})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
