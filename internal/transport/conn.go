package transport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is one connection. At any time at most one call uses it.
type conn struct {
	path *path
	nc   net.Conn
	br   *bufio.Reader
	bw   *bufio.Writer
	used bool // carried a request before; owned by the call

	// Guarded by path.mu.
	lastResponse time.Time // time of dialling until the first response
	route        *route    // of the current call
	retired      bool      // to be closed after the current call
	discarded    bool

	// Nanoseconds since the epoch; 0 while no system call of that direction is in progress.
	readSince  atomic.Int64
	writeSince atomic.Int64
	lastWrite  atomic.Int64
	sent       atomic.Bool // the request is written in full
	silent     atomic.Bool // closed by sweep

	written   atomic.Int64 // bytes of the current request
	readErr   error        // error of the last read, owned by the reader of the response
	headerMax int64        // bytes that may still be read for a response's header; <0 means no limit
}

func newConn(p *path, nc net.Conn) *conn {
	c := &conn{path: p, nc: nc, lastResponse: time.Now(), headerMax: -1}
	c.br = bufio.NewReaderSize((*connReader)(c), 4<<10)
	c.bw = bufio.NewWriterSize((*connWriter)(c), 4<<10)
	return c
}

// connReader and connWriter record the progress of a connection for the detection of silence.
type (
	connReader conn
	connWriter conn
)

var errHeaderTooLarge = errors.New("response header is too large")

// Read implements io.Reader.
func (r *connReader) Read(b []byte) (int, error) {
	c := (*conn)(r)
	if c.headerMax == 0 {
		return 0, errHeaderTooLarge
	}
	if c.headerMax > 0 && int64(len(b)) > c.headerMax {
		b = b[:c.headerMax]
	}
	c.readSince.Store(time.Now().UnixNano())
	n, err := c.nc.Read(b)
	c.readErr = err
	c.readSince.Store(0)
	if n > 0 {
		c.path.progressed(c, time.Now())
	}
	if c.headerMax > 0 {
		c.headerMax -= int64(n)
	}
	return n, err
}

// Write implements io.Writer.
func (w *connWriter) Write(b []byte) (int, error) {
	c := (*conn)(w)
	// Counted before the call: the upstream may respond, and the reader look at the count, before Write returns.
	c.written.Add(int64(len(b)))
	c.writeSince.Store(time.Now().UnixNano())
	n, err := c.nc.Write(b)
	c.writeSince.Store(0)
	c.lastWrite.Store(time.Now().UnixNano())
	c.written.Add(int64(n - len(b)))
	return n, err
}

// blockedSince returns since when the call has waited for the upstream alone. A call that waits for its own caller, to
// supply the request's body or to take the response's, isn't blocked.
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
	c.sent.Store(false)
	x.stop = context.AfterFunc(ctx, c.abort)
	c.path.begin(c, routeOf(ctx))
	x.start = time.Now()
	x.trackBody()
	if x.writesInline() {
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

// abort fails the reads and writes in progress. It doesn't free the connection's place; the call does.
func (c *conn) abort() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

// exchange is the state of one call on a connection.
type exchange struct {
	c         *conn
	ctx       context.Context
	req       *http.Request
	stop      func() bool // detaches the context
	start     time.Time
	reused    bool
	writeErr  error         // valid after writeDone
	writeDone chan struct{} // nil when the request was written inline
	body      *trackedBody  // nil without a request body
	written   int64         // valid after end
	ended     bool
}

// inlineBody is the largest request body that is written before the response is read. Larger ones are written by a
// goroutine, since an upstream may respond, and stop reading, before the body ends.
const inlineBody = 16 << 10

// MemoryBody marks request bodies whose reads never block. Small ones are written without a goroutine.
type MemoryBody interface {
	io.ReadCloser
	InMemory()
}

func (x *exchange) writesInline() bool {
	if x.body == nil {
		return true
	}
	_, memory := x.body.ReadCloser.(MemoryBody)
	return memory && x.req.ContentLength >= 0 && x.req.ContentLength <= inlineBody
}

func (x *exchange) trackBody() {
	if x.req.Body == nil || x.req.Body == http.NoBody {
		return
	}
	x.body = &trackedBody{ReadCloser: x.req.Body}
	tracked := *x.req
	tracked.Body = x.body
	x.req = &tracked
}

// oneWrite hides the type of a bufio.Writer from http.Request.Write, which would flush the header before the body. A
// small body that is at hand then leaves in the same packet as the header.
type oneWrite struct{ *bufio.Writer }

func (x *exchange) write() {
	var w io.Writer = x.c.bw
	if x.writeDone == nil {
		w = oneWrite{x.c.bw}
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
	// The reader of the response looks at the body's error when abort wakes it, which needs the end of the write.
	close(x.writeDone)
	if bodyFailed {
		// The request can't be completed, so the wait for its response must end.
		x.c.abort()
	}
}

// mayHaveResponse reports whether an upstream that stopped reading may have responded before.
func (x *exchange) mayHaveResponse() bool {
	return x.c.written.Load() > 0 && !x.requestBodyFailed() && x.ctx.Err() == nil
}

// trackedBody notes errors of the request's body, to tell them from errors of the connection.
type trackedBody struct {
	io.ReadCloser
	err error // owned by the writer of the request
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return n, err
}
