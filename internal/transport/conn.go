package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one connection to an upstream. At most one call uses it at a time.
type conn struct {
	connPool *connPool
	nc       net.Conn
	br       *bufio.Reader
	bw       *bufio.Writer
	used     bool // has carried an earlier request; owned by the current call
	// identifies is set once a response named its request; owned by the current call.
	identifies bool

	// Guarded by connPool.mu.
	lastResponse time.Time // time of the dial until the first response arrives
	retired      bool      // to be closed after the current call
	discarded    bool

	// Nanoseconds since the epoch. readSince and writeSince are the start of the system call in progress, or 0.
	readSince  atomic.Int64
	writeSince atomic.Int64
	lastWrite  atomic.Int64
	sent       atomic.Bool // the request was written in full
	silent     atomic.Bool // closed by sweep for silence

	written         atomic.Int64 // bytes of the current request
	received        atomic.Bool  // bytes arrived since the current request began
	readErr         error        // error of the last read, owned by the reader of the response
	readReset       bool         // a read has reported a reset, which later ones report as EOF; owned as readErr
	writeMu         sync.Mutex   // held during a write
	writeErr        error        // error of the last write, guarded by writeMu
	headerBytesLeft int64        // bytes that may still be read for the response header; negative means no limit
}

func newConn(p *connPool, nc net.Conn) *conn {
	c := &conn{connPool: p, nc: nc, lastResponse: time.Now(), headerBytesLeft: -1}
	c.br = bufio.NewReaderSize((*connReader)(c), readBufferSize)
	c.bw = bufio.NewWriterSize((*connWriter)(c), 4<<10)
	return c
}

// connReader and connWriter read and write a connection and record its progress, by which silent connections are
// detected.
type (
	connReader conn
	connWriter conn
)

var errHeaderTooLarge = errors.New("response header is too large")

// Read implements io.Reader.
func (r *connReader) Read(b []byte) (int, error) {
	c := (*conn)(r)
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerBytesLeft > 0 && int64(len(b)) > c.headerBytesLeft {
		b = b[:c.headerBytesLeft]
	}
	c.readSince.Store(time.Now().UnixNano())
	n, err := c.nc.Read(b)
	c.connPool.cfg.Traffic.Received(n)
	c.readErr = err
	c.readReset = c.readReset || IsReset(err)
	c.readSince.Store(0)
	if n > 0 {
		c.received.Store(true)
		c.connPool.recordProgress(c, time.Now())
	}
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= int64(n)
	}
	return n, err
}

// Write implements io.Writer.
func (w *connWriter) Write(b []byte) (int, error) {
	c := (*conn)(w)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// Counted before the system call: the upstream may respond, and the reader may load the count, before Write returns.
	c.written.Add(int64(len(b)))
	c.writeSince.Store(time.Now().UnixNano())
	n, err := c.nc.Write(b)
	c.connPool.cfg.Traffic.Sent(int64(n))
	c.writeSince.Store(0)
	c.lastWrite.Store(time.Now().UnixNano())
	c.written.Add(int64(n - len(b)))
	c.writeErr = err
	return n, err
}

// blockedSince returns the time since which the call has been waiting for the upstream. A call that waits for its own
// caller, to supply the request body or to read the response body, isn't blocked.
func (c *conn) blockedSince() (time.Time, bool) {
	if at := c.writeSince.Load(); at != 0 {
		return time.Unix(0, at), true
	}
	at := c.readSince.Load()
	if at == 0 || !c.sent.Load() {
		return time.Time{}, false
	}
	return time.Unix(0, max(at, c.lastWrite.Load())), true
}

// exchange sends one request and reads the header of its response.
func (c *conn) exchange(ctx context.Context, req *http.Request) (*Response, error) {
	x := &exchange{c: c, ctx: ctx, req: req, reused: c.used}
	c.used = true
	c.written.Store(0)
	c.received.Store(false)
	c.sent.Store(false)
	x.detachContext = context.AfterFunc(ctx, c.abort)
	x.start = time.Now()
	x.wrapBody()
	if x.canWriteInline() {
		x.write()
		if x.writeErr != nil && !x.mayHaveResponse() {
			return nil, x.fail(x.writeErr)
		}
	} else {
		x.writeDone = make(chan struct{})
		go x.writeInBackground()
	}
	return x.readResponse()
}

// abort fails the reads and writes in progress. The call itself removes the connection from the pool.
func (c *conn) abort() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

// exchange is the state of one call on a connection.
type exchange struct {
	c             *conn
	ctx           context.Context
	req           *http.Request
	detachContext func() bool // stops the context from aborting the connection
	start         time.Time
	reused        bool
	writeErr      error         // valid after writeDone
	writeDone     chan struct{} // nil when the request was written inline
	body          *trackedBody  // nil without a request body
	written       int64         // set by finish
	finished      bool
	readLimited   bool // reads of the connection have a deadline
}

// maxInlineBody is the largest request body that is written before the response is read. Larger ones are written by a
// goroutine, since an upstream may respond, and stop reading, before the body ends.
const maxInlineBody = 16 << 10

// MemoryBody marks request bodies whose reads never block. Small ones are written without a goroutine.
type MemoryBody interface {
	io.ReadCloser
	InMemory()
}

func (x *exchange) canWriteInline() bool {
	if x.body == nil {
		return true
	}
	_, memory := x.body.ReadCloser.(MemoryBody)
	return memory && x.req.ContentLength >= 0 && x.req.ContentLength <= maxInlineBody
}

func (x *exchange) wrapBody() {
	if x.req.Body == nil || x.req.Body == http.NoBody {
		return
	}
	x.body = &trackedBody{ReadCloser: x.req.Body}
	tracked := *x.req
	tracked.Body = x.body
	x.req = &tracked
}

// plainWriter hides the type of a bufio.Writer from http.Request.Write, which would flush the header before the body.
// A small body in memory is then sent in the same packet as the header.
type plainWriter struct{ *bufio.Writer }

func (x *exchange) write() {
	var w io.Writer = x.c.bw
	if x.writeDone == nil {
		w = plainWriter{x.c.bw}
	}
	err := x.req.Write(w)
	if err == nil {
		err = x.c.bw.Flush()
	}
	x.writeErr = err
	if err == nil {
		x.c.sent.Store(true)
	}
}

func (x *exchange) writeInBackground() {
	x.write()
	bodyFailed := x.writeErr != nil && x.body.err != nil
	// Closed before the abort: the response reader checks the body's error only after the write has ended.
	close(x.writeDone)
	if bodyFailed {
		// The request can't be completed, so the wait for its response must end.
		x.c.abort()
	}
}

// mayHaveResponse reports whether the upstream may have responded although the write of the request failed.
func (x *exchange) mayHaveResponse() bool {
	return x.c.written.Load() > 0 && !x.requestBodyFailed() && x.ctx.Err() == nil
}

// trackedBody records read errors of the request body, to distinguish them from connection errors.
type trackedBody struct {
	io.ReadCloser
	err error // owned by the goroutine that writes the request
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}
