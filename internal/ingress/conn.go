package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// maxPipelined bounds the requests of one connection that run at the same time.
	maxPipelined = 16
	// bufferedBody is the largest request body that is kept in memory, so that it can be sent again.
	bufferedBody = 256 << 10
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10
	// firstLimits hold until a configuration is known.
	firstHeaderBytes = 16 << 10
	firstBodyBytes   = 64 << 20
	firstTimeout     = 3 * time.Second
	firstIdle        = 15 * time.Second
)

// conn is one connection of a caller. Its goroutine reads requests; each request runs in a goroutine of its own.
type conn struct {
	s  *Server
	nc net.Conn
	in *limitedReader
	br *bufio.Reader
	// caller is the caller's IP address; its port changes with each connection.
	caller string
	ctx    context.Context
	// cancel ends all requests of the connection, when the caller has left.
	cancel context.CancelFunc

	mu      sync.Mutex
	read    int // requests that were read
	written int // responses that were written
	closing bool
	slots   chan struct{}
	lastEnd chan struct{} // closed when the last request that was read is answered
}

// limitedReader bounds the bytes of a header.
type limitedReader struct {
	nc   net.Conn
	left int64 // negative: no limit
}

var errHeaderTooLarge = errors.New("the header is too large")

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.nc.Read(p)
	}
	if l.left == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.nc.Read(p)
	l.left -= int64(n)
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{s: s, nc: nc, in: &limitedReader{nc: nc, left: -1}, slots: make(chan struct{}, maxPipelined), lastEnd: make(chan struct{})}
	close(c.lastEnd)
	c.caller, _, _ = net.SplitHostPort(nc.RemoteAddr().String())
	c.br = bufio.NewReaderSize(c.in, readBuffer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

func (c *conn) limits() gateway.Limits {
	if cfg := c.s.o.Placer.Config(); cfg != nil {
		return cfg.Limits
	}
	return gateway.Limits{HeaderBytes: firstHeaderBytes, BodyBytes: firstBodyBytes, HeaderTimeout: firstTimeout, IdleTimeout: firstIdle}
}

// serve reads requests until the connection ends.
func (c *conn) serve() {
	defer c.s.forget(c)
	for c.readOne() {
	}
	<-c.lastEnd
	c.cancel()
	_ = c.nc.Close() // nothing is left to be sent
}

// readOne reads one request and starts it. It reports whether another one may follow.
func (c *conn) readOne() bool {
	c.slots <- struct{}{}
	limits := c.limits()
	if !c.waitForBytes(limits.IdleTimeout) {
		return false
	}
	arrived := time.Now()
	_ = c.nc.SetReadDeadline(arrived.Add(limits.HeaderTimeout)) // fails only on a closed connection, which Read reports
	c.in.left = max(0, limits.HeaderBytes-int64(c.br.Buffered()))
	req, err := http.ReadRequest(c.br)
	if err != nil && c.in.left == 0 {
		err = errHeaderTooLarge // the parser reports a malformed line instead
	}
	c.in.left = -1
	if err != nil {
		c.rejectUnreadable(err)
		return false
	}
	x := c.begin(req, arrived)
	if x == nil {
		return false
	}
	more := c.takeBody(x, limits)
	go x.run()
	if x.streamed != nil {
		<-x.streamed.done
		more = more && x.streamed.complete()
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return more
}

// waitForBytes waits for the first byte of a request. While requests run, it notices that the caller leaves.
func (c *conn) waitForBytes(idle time.Duration) bool {
	for {
		if !c.armIdle(idle) {
			return false
		}
		_, err := c.br.Peek(1)
		if err == nil {
			return true
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && c.busy() {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel() // the caller has closed the connection
		}
		return false
	}
}

// armIdle sets the idle timeout, unless the connection is closing.
func (c *conn) armIdle(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		_ = c.nc.SetReadDeadline(time.Now().Add(idle)) // fails only on a closed connection, which Peek reports
	}
	return !c.closing
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read > c.written && !c.closing
}

// begin numbers a request. It returns nil when the connection is closing, so that the request counts as not read.
func (c *conn) begin(req *http.Request, arrived time.Time) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	c.read++
	x := &exchange{conn: c, s: c.s, req: req, arrived: arrived, turn: c.lastEnd, ended: make(chan struct{}), number: c.read}
	c.lastEnd = x.ended
	return x
}

// takeBody reads a small body into memory, and leaves a large one to be streamed.
func (c *conn) takeBody(x *exchange, limits gateway.Limits) (more bool) {
	req := x.req
	if req.ContentLength > limits.BodyBytes {
		x.reject = http.StatusRequestEntityTooLarge
		return false
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		req.Header.Del("Expect")
		x.writeContinue()
	}
	if req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		return !req.Close
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	data, err := io.ReadAll(io.LimitReader(req.Body, bufferedBody+1))
	switch {
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
		x.reject = http.StatusRequestTimeout
		return false
	case err != nil:
		x.reject = http.StatusBadRequest
		return false
	case len(data) <= bufferedBody:
		x.body = data
		return !req.Close
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	x.streamed = newStreamedBody(data, req.Body, limits.BodyBytes)
	return !req.Close
}

// rejectUnreadable answers what is no request.
func (c *conn) rejectUnreadable(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), isReset(err):
		c.cancel()
		return
	}
	x := c.begin(&http.Request{Method: http.MethodGet, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true}, time.Now())
	if x != nil {
		x.reject = status
		x.run()
	}
}

func isReset(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr) && !netErr.Timeout()
}

// closeIfIdle closes the connection when no request of it is unanswered.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read == c.written && c.br.Buffered() == 0 {
		c.closing = true
		_ = c.nc.Close()
	}
}

// finishes reports whether the response to request number should close the connection, and stops reading if so.
func (c *conn) finishes(number int, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted || (c.s.leaving.Load() && c.read == number) {
		c.closing = true
	}
	return c.closing
}

func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written++
	if c.closing {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
	}
}
