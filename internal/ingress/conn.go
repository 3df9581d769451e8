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
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/membudget"
	"boragehinge.example/boragehinge/internal/traffic"
)

const (
	// maxPipelined bounds the requests of one connection that run concurrently.
	maxPipelined = 16
	// maxBufferedBody is the largest request body in bytes that can be sent again on a retry.
	maxBufferedBody = gateway.MaxBufferedBody
	writeTimeout    = 10 * time.Second
	readBufferSize  = 4 << 10
	// The default limits apply until a configuration is known.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
)

// conn is a connection of a caller. Its goroutine reads the requests; each request runs in a goroutine of its own.
type conn struct {
	s       *Server
	nc      net.Conn
	limited *limitedReader
	br      *bufio.Reader
	ctx     context.Context
	// cancel cancels all requests of the connection when the caller has disconnected.
	cancel context.CancelFunc
	// work is the context of the attempts at upstreams. It ends with ctx, and at the end of a shutdown, when requests that still run
	// get a local reply.
	work    context.Context
	endWork context.CancelFunc
	// account is what the connection holds; the others are owned by its goroutine or guarded by mu.
	account   *membudget.Account
	receiving *membudget.Account // of the request that is being read; owned by the goroutine that reads
	// holdsKernel is set while account includes what the kernel may hold unread; owned by the goroutine that reads.
	holdsKernel bool
	evicted     atomic.Bool // the request that is being read has lost its memory, and the connection closes

	mu            sync.Mutex
	streaming     *exchange // the request whose body is being streamed, or nil
	requestsRead  int
	requestsDone  int
	awaiting      bool          // waiting for the first byte of a request
	draining      bool          // closes when idle
	closing       bool          // no further request is read, because a response has announced the close
	lingering     bool          // the caller may still send requests that are not read
	pipelineSlots chan struct{} // semaphore of the concurrent requests
	lastDone      chan struct{} // closed when the most recently read request has been answered
	lastPassed    chan struct{} // closed when a request behind the most recently read one may be passed on
}

// limitedReader limits the number of bytes read for a request header.
type limitedReader struct {
	nc        net.Conn
	traffic   *traffic.Counter
	remaining int64 // bytes left; negative means no limit
}

var errHeaderTooLarge = errors.New("the header is too large")

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.read(p)
	}
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.read(p)
	l.remaining -= int64(n)
	return n, err
}

func (l *limitedReader) read(p []byte) (int, error) {
	n, err := l.nc.Read(p)
	l.traffic.Received(n)
	return n, err
}

func newConn(s *Server, nc net.Conn) *conn {
	c := &conn{
		s: s, nc: nc, limited: &limitedReader{nc: nc, traffic: s.opts.Traffic, remaining: -1}, pipelineSlots: make(chan struct{}, maxPipelined),
		lastDone: make(chan struct{}), lastPassed: make(chan struct{}),
	}
	close(c.lastDone)
	close(c.lastPassed)
	c.br = bufio.NewReaderSize(c.limited, readBufferSize)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.work, c.endWork = context.WithCancel(c.ctx)
	return c
}

func (c *conn) limits() gateway.Limits {
	if cfg := c.s.opts.Placer.Config(); cfg != nil {
		return cfg.Limits
	}
	return gateway.Limits{HeaderBytes: defaultHeaderBytes, BodyBytes: defaultBodyBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// serve reads requests until no more can be read, and closes the connection when all of them have been answered.
func (c *conn) serve() {
	defer c.s.removeConn(c)
	for c.readOne() {
	}
	<-c.lastDone
	if c.isLingering() {
		c.linger()
	}
	c.cancel()
	_ = c.nc.Close() // all responses have been written
}

// readOne reads one request and starts it. It reports whether another one may follow.
func (c *conn) readOne() bool {
	c.pipelineSlots <- struct{}{}
	limits := c.limits()
	if !c.awaitRequest(limits.IdleTimeout) {
		return false
	}
	arrived := time.Now()
	c.receiving = c.s.budget.OpenRequest(arrived, c.account, c)
	req, err := c.readHead(limits, arrived)
	if err != nil {
		c.rejectMalformed(err)
		return false
	}
	x := c.beginExchange(req, arrived)
	if x == nil {
		return false
	}
	more := c.readBody(x, limits)
	if x.streamed == nil && x.rejectStatus == 0 && !x.complete() {
		x.refuseForMemory()
		more = false
	}
	if x.streamed == nil && more {
		c.releaseKernel()
	}
	go x.run()
	if x.streamed != nil {
		<-x.streamed.done
		more = more && x.streamed.complete()
		c.setStreaming(nil)
		c.releaseKernel()
	}
	if more { // otherwise a failed attempt may still read the body
		c.restoreBuffer()
	}
	_ = c.nc.SetReadDeadline(time.Time{})
	return more
}

// awaitRequest waits for the first byte of a request. It cancels the running requests when the caller disconnects.
func (c *conn) awaitRequest(idle time.Duration) bool {
	for {
		if !c.setIdleDeadline(idle) {
			return c.lookOnceMore()
		}
		_, err := c.br.Peek(1)
		c.setAwaiting(false)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel() // the caller has closed the connection
			return false
		}
		if !c.busy() {
			return c.lookOnceMore()
		}
	}
}

// lookOnceMore reports whether a request has arrived on a connection that is about to be closed because it is idle.
func (c *conn) lookOnceMore() bool {
	c.mu.Lock()
	idle := !c.closing
	c.mu.Unlock()
	if !idle {
		return false
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(lastLook)) // fails only on a closed connection, which Peek reports
	_, err := c.br.Peek(1)
	return err == nil
}

// setIdleDeadline sets the read deadline to the idle timeout, and marks the connection as awaiting a request. It returns false when
// the connection is closing, or draining and idle.
func (c *conn) setIdleDeadline(idle time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.draining && c.requestsRead == c.requestsDone && c.br.Buffered() == 0 {
		return false
	}
	c.awaiting = true
	_ = c.nc.SetReadDeadline(time.Now().Add(idle)) // fails only on a closed connection, which Peek reports
	return true
}

func (c *conn) setAwaiting(awaiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting = awaiting
}

func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestsRead > c.requestsDone && !c.closing
}

// beginExchange registers a request that was read. It returns nil when the connection is closing; the request is dropped
// then.
func (c *conn) beginExchange(req *http.Request, arrived time.Time) *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		c.s.budget.Close(arrived, c.receiving)
		return nil
	}
	c.requestsRead++
	x := &exchange{
		conn: c, s: c.s, req: req, arrived: arrived, previousDone: c.lastDone, previousPassed: c.lastPassed, done: make(chan struct{}),
		passed: make(chan struct{}), number: c.requestsRead, memory: c.receiving,
	}
	c.lastDone, c.lastPassed = x.done, x.passed
	return x
}

// readBody buffers a small body and prepares a large one for streaming. It reports whether another request may follow.
func (c *conn) readBody(x *exchange, limits gateway.Limits) (more bool) {
	req := x.req
	if req.ContentLength > limits.BodyBytes {
		x.rejectStatus = http.StatusRequestEntityTooLarge
		return false
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") {
		req.Header.Del("Expect")
		x.writeContinue()
	}
	if req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		return !req.Close
	}
	data, err := c.readBuffered(x, limits)
	switch {
	case errors.Is(err, errNoMemory):
		x.refuseForMemory()
		return false
	case err != nil && errors.Is(err, os.ErrDeadlineExceeded):
		x.rejectStatus = http.StatusRequestTimeout
		return false
	case err != nil:
		x.rejectStatus = http.StatusBadRequest
		return false
	case len(data) <= maxBufferedBody:
		x.body = data
		return !req.Close
	}
	x.streamed = newStreamedBody(data, req.Body, limits.BodyBytes)
	x.streamed.beforeRead = func() error { return c.setReceiveDeadline(time.Now().Add(limits.HeaderTimeout)) }
	x.streamed.atEnd = func() {
		x.complete()
		x.observeStreamed(limits.BodyBytes - x.streamed.remaining)
	}
	x.streamCtx, x.stop = context.WithCancel(c.work)
	c.setStreaming(x)
	if c.evicted.Load() {
		x.stop() // evicted before it was streaming
	}
	return !req.Close
}

func (c *conn) setStreaming(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streaming = x
}

// rejectMalformed replies to a request whose header can't be read. It sends no reply when the connection is lost.
func (c *conn) rejectMalformed(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errNoMemory), c.evicted.Load():
		status = http.StatusServiceUnavailable
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), isConnectionError(err):
		c.s.budget.Close(time.Now(), c.receiving)
		c.cancel()
		return
	}
	x := c.beginExchange(&http.Request{Method: http.MethodGet, Header: http.Header{}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true}, time.Now())
	if x != nil {
		x.rejectStatus = status
		if status == http.StatusServiceUnavailable {
			x.refuseForMemory()
		}
		x.run()
	}
}

// isConnectionError reports whether a network operation has failed for another reason than a timeout.
func isConnectionError(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr) && !netErr.Timeout()
}

// drain makes the connection close as soon as all of its requests have been answered. Only the goroutine that reads requests closes
// it, so that a request that was just read is not dropped.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.awaiting && c.requestsRead == c.requestsDone {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // interrupts the blocked read
	}
}

// decideClose stops reading further requests if the caller has requested the close of the connection, the request number can't be
// read to its end, or the server is shutting down. It reports whether the connection closes after the response to the request number,
// which is not so while requests behind it were read already.
func (c *conn) decideClose(number int, requested, unread bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopping := c.s.shutdown.Load() != nil && c.requestsRead == number
	if requested || unread || stopping {
		c.closing = true
		c.lingering = unread || !requested
	}
	return c.closing && c.requestsRead == number
}

func (c *conn) isLingering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lingering
}

// abort cancels all requests of the connection and closes it, after a response that could not be written in full. The close before the
// announced length or the last chunk shows the caller that the response is truncated, and nothing can follow in its place.
func (c *conn) abort() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.cancel()
	_ = c.nc.Close() // the response is incomplete in any case
}

func (c *conn) requestDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestsDone++
	if c.closing {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // interrupts a blocked read
	}
}
