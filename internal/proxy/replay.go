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

// replay is the body of a caller's request, for one or more attempts. Bodies up to ReplayLimit are held in memory and can
// be sent any number of times. Longer ones are streamed, and can be sent again only if no attempt has read from the
// streamed part.
type replay struct {
	prefix []byte
	length int64         // -1 when unknown
	rest   io.ReadCloser // nil when prefix is the whole body

	mu       sync.Mutex // guards the state below; not held during reads
	restRead bool
}

var errStreamStopped = errors.New("request body is no longer available to this attempt")

// openBody reads up to ReplayLimit bytes from the caller before a slot is acquired, so that a slow caller holds none.
func (p *Proxy) openBody(out *responder, r *http.Request, call *Call) (*replay, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &replay{}, nil
	}
	upload := &callerBody{raw: r.Body, rc: http.MaxBytesReader(out.w, r.Body, p.cfg.MaxBody), out: out, callDeadline: call.Deadline}
	if r.ContentLength > p.cfg.ReplayLimit {
		out.startUpload(upload)
		return &replay{length: r.ContentLength, rest: upload}, nil
	}
	prefix, err := readPrefix(upload, r.ContentLength, p.cfg.ReplayLimit)
	call.bodyPrefix = prefix
	switch {
	case errors.Is(err, io.EOF):
		_ = upload.Close()
		return &replay{prefix: prefix, length: int64(len(prefix))}, nil
	case err != nil:
		_ = upload.Close()
		out.w.Header()["Connection"] = []string{"close"}
		return nil, err
	}
	out.startUpload(upload)
	return &replay{prefix: prefix, length: -1, rest: upload}, nil
}

// startUpload prepares for a body that is read while the response is written. Without full duplex, net/http would
// discard the rest of the body before the first byte of the response.
func (o *responder) startUpload(body *callerBody) {
	o.upload = body
	_ = o.control.EnableFullDuplex()
}

// readPrefix reads until it has more than limit bytes and returns a nil error, or until the end and returns io.EOF. A
// negative length is unknown.
func readPrefix(r io.Reader, length, limit int64) ([]byte, error) {
	size := length
	if length < 0 {
		size = min(limit, 4<<10)
	}
	// One byte more than expected, so that the read that returns io.EOF needs no larger buffer.
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

// inMemory reports whether the whole body is in memory.
func (b *replay) inMemory() bool { return b.rest == nil }

func (b *replay) close() {
	if b.rest != nil {
		_ = b.rest.Close()
	}
}

// open returns the body for one attempt.
func (b *replay) open() *attemptBody {
	s := &attemptBody{b: b, length: b.length}
	s.memory.Reset(b.prefix)
	return s
}

// attemptBody is the body of one attempt. It implements transport.MemoryBody although reads of the streamed part may
// block: the transport relies on it only for bodies of a known small length, which are always in memory.
type attemptBody struct {
	b       *replay
	length  int64
	memory  bytes.Reader
	stopped bool // guarded by b.mu
}

// InMemory implements transport.MemoryBody.
func (s *attemptBody) InMemory() {}

// Read implements io.Reader.
func (s *attemptBody) Read(p []byte) (int, error) {
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
func (s *attemptBody) Close() error { return nil }

// stop ends the attempt's access to the streamed part, so that a transport goroutine that is still writing can't consume
// bytes of the next attempt.
func (s *attemptBody) stop() {
	s.b.mu.Lock()
	s.stopped = true
	s.b.mu.Unlock()
}

// callerBody reads a caller's body with a read deadline that is extended on progress. Read is called by one goroutine at
// a time; Close may be called during a Read.
type callerBody struct {
	rc           io.ReadCloser // raw with the limit MaxBody
	raw          io.ReadCloser // body of net/http, safe for concurrent use
	out          *responder
	callDeadline time.Time
	lastExtended time.Time // last extension of the read deadline
	ended        atomic.Bool
	closed       atomic.Bool
}

// minExtendInterval is the shortest time between two extensions of a deadline, to save system calls on fast bodies.
const minExtendInterval = time.Second

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	if now := time.Now(); now.Sub(b.lastExtended) >= minExtendInterval {
		b.lastExtended = now
		_ = b.out.control.SetReadDeadline(earlier(now.Add(b.out.p.cfg.BodyStall), b.callDeadline))
	}
	n, err := b.rc.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
		b.clearDeadline()
	}
	return n, err
}

// uploadLinger bounds the wait for the rest of an unfinished body. A caller that is still sending when its connection is
// closed would get a TCP reset instead of the response.
const uploadLinger = 500 * time.Millisecond

// maxLingerBytes bounds the bytes that are discarded during uploadLinger.
const maxLingerBytes = 8 << 20

// Close implements io.Closer. A read in progress holds the lock of the net/http body, so a read deadline is set first.
// The connection isn't reused if the body is unfinished.
func (b *callerBody) Close() error {
	if b.closed.Swap(true) {
		return nil
	}
	if !b.ended.Load() {
		if b.out.started {
			_ = b.out.control.Flush()
		}
		_ = b.out.control.SetReadDeadline(time.Now().Add(uploadLinger))
		// Reads raw because rc isn't safe for concurrent reads. Close alone would discard nothing if the connection is to be
		// closed.
		_, _ = io.CopyN(io.Discard, b.raw, maxLingerBytes)
	}
	return b.rc.Close()
}

// clearDeadline removes the read deadline. net/http keeps reading in the background to detect that the caller
// disconnected, and would take an expired deadline for that.
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
