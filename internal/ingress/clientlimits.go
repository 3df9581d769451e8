package ingress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"boragehinge.example/boragehinge/internal/membudget"
)

// ClientLimits bound what callers that keep to no pace may use. Zero fields take the defaults named beside them.
type ClientLimits struct {
	MemoryBytes   int64         // connections, requests and responses together, 128 MB
	Connections   int           // open connections, 2,500
	BodyRate      int64         // slowest average rate of a body in bytes per second, 16 KB
	StallTimeout  time.Duration // a response without progress for this time may be ended when the memory is used up, 300 ms
	ReceiveBuffer int64         // bytes that the kernel may hold unread for a connection, 64 KB
}

// What the parts of a request and a connection hold in bytes, rounded up. They include goroutines and the kernel's socket.
const (
	connBytes    = 16 << 10
	requestBytes = 10 << 10
	// headerLineBytes is what a parsed header line holds beside its text: entries of the header's map, and of the copy for the upstream.
	headerLineBytes = 256
	// headCopies is how often the text of a header is held: in the parsed request and in what is sent to the upstream.
	headCopies = 2
	// firstBodyBytes is the size of the first buffer for a body. It is reserved together with the header.
	firstBodyBytes = 4 << 10
	// bodyGrowth is the factor by which a full buffer for a body grows.
	bodyGrowth = 4
	// memoryRetryAfter is the Retry-After time of requests that are refused for memory.
	memoryRetryAfter = 500 * time.Millisecond
	// evictedLinger replaces lingerTimeout on a connection that was evicted, since others wait for its place.
	evictedLinger = 50 * time.Millisecond
	reasonMemory  = "memory"
	// limitLogInterval is the least time between two log lines about these limits.
	limitLogInterval = time.Second
)

var errNoMemory = errors.New("the memory for callers is used up")

func (l ClientLimits) withDefaults() ClientLimits {
	l.MemoryBytes = cmp.Or(l.MemoryBytes, 128_000_000)
	l.Connections = cmp.Or(l.Connections, 2500)
	l.BodyRate = cmp.Or(l.BodyRate, 16<<10)
	l.StallTimeout = cmp.Or(l.StallTimeout, 300*time.Millisecond) // above unreadInterval, in which progress is seen
	l.ReceiveBuffer = cmp.Or(l.ReceiveBuffer, 64<<10)
	return l
}

// Listen opens the callers' listener. Its connections inherit the sizes of the kernel's buffers, so that these don't grow with what callers
// send or leave unread. The backlog is limited, because what the kernel holds of connections that wait to be accepted is not counted.
func (l ClientLimits) Listen(ctx context.Context, address string) (net.Listener, error) {
	l = l.withDefaults()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error {
			// The kernel doubles both sizes.
			return errors.Join(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, int(l.ReceiveBuffer/2)),
				syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer/2))
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return listener, nil
	}
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = control(raw, func(fd int) error { return syscall.Listen(fd, l.backlog()) })
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("set the backlog: %w", err), listener.Close())
	}
	return listener, nil
}

func control(raw syscall.RawConn, f func(fd int) error) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = f(int(fd)) })
	return errors.Join(err, failed)
}

// backlog returns how many connections may wait to be accepted. The kernel takes more by itself.
func (l ClientLimits) backlog() int {
	return int(min(maxBacklog, max(minBacklog, l.MemoryBytes/backlogShare/l.ReceiveBuffer)))
}

const (
	// sendBuffer is the size in bytes of the kernel's send buffer of a caller's connection. A response that is read in full fits in.
	sendBuffer = 128 << 10
	// The connections that wait to be accepted may hold 1/backlogShare of the memory with full receive buffers, but minBacklog of them
	// may always wait, and never more than maxBacklog.
	backlogShare = 4
	minBacklog   = 64
	maxBacklog   = 4096
)

// grow reserves memory and ends the connections and requests that lose theirs for it.
func (s *Server) grow(a *membudget.Account, n int64) bool {
	ok, victims := s.budget.Grow(time.Now(), a, n)
	s.evict(victims)
	if !ok {
		s.logLimits("memory")
	}
	return ok
}

// evict ends what the budget has evicted.
func (s *Server) evict(victims []*membudget.Account) {
	for _, v := range victims {
		from := v.EvictedFrom()
		s.opts.Metrics.evictions.WithLabelValues(from.String()).Inc()
		c, _ := v.Owner.(*conn)
		switch from {
		case membudget.Receiving:
			c.interruptRequest()
		case membudget.Sending, membudget.Unread:
			if tcp, ok := c.nc.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // the kernel would keep what is unread after the close; fails only on a closed connection
			}
			c.abort()
		default:
			c.drain()
		}
	}
	if len(victims) > 0 {
		s.logLimits("eviction")
	}
}

// logLimits writes a line about the limits, at most one per limitLogInterval.
func (s *Server) logLimits(cause string) {
	s.limitLog.Do(func() {
		st := s.budget.Stats()
		s.opts.Log.Warn().Str("event", "client-limits").Str("cause", cause).Int64("bytes", st.Bytes).Int64("limit_bytes", s.limits.MemoryBytes).
			Int("connections", st.Conns).Int("limit_connections", s.limits.Connections).Int("requests", st.Requests).
			Uint64("evicted_requests", st.EvictedByState[membudget.Receiving]).Uint64("evicted_responses", st.EvictedByState[membudget.Sending]+st.EvictedByState[membudget.Unread]).
			Uint64("evicted_connections", st.EvictedByState[membudget.Fresh]+st.EvictedByState[membudget.Idle]).
			Uint64("refused_connections", st.Refused).Msg("callers use all that they may")
	})
}

// interruptRequest ends the request that is being received, or that waits for an upstream while a part of its body is unread. Its
// connection closes after the reply.
func (c *conn) interruptRequest() {
	c.evicted.Store(true)
	c.mu.Lock()
	x := c.streaming
	c.mu.Unlock()
	if x != nil {
		x.stop()
	}
	// Readers set their deadline before they look at c.evicted, so either they see it or this interrupts them.
	_ = c.nc.SetReadDeadline(time.Unix(1, 0))
}

// holdKernel reserves what the kernel may hold of a body that is under way. The account of a new connection has it from the start, since
// bytes arrive before the connection is read for the first time.
func (c *conn) holdKernel() bool {
	if !c.holdsKernel {
		c.holdsKernel = c.s.grow(c.account, c.s.limits.ReceiveBuffer)
	}
	return c.holdsKernel
}

// releaseKernel returns what holdKernel has reserved. It is called when a request has been read to its end.
func (c *conn) releaseKernel() {
	if c.holdsKernel {
		c.s.budget.Shrink(c.account, c.s.limits.ReceiveBuffer)
		c.holdsKernel = false
	}
}

// setReceiveDeadline sets the deadline of reads that receive a request. It fails when the request has been evicted.
func (c *conn) setReceiveDeadline(at time.Time) error {
	_ = c.nc.SetReadDeadline(at) // fails only on a closed connection, which Read reports
	if c.evicted.Load() {
		return errNoMemory
	}
	return nil
}

// refuseForMemory makes the reply to the request a refusal.
func (x *exchange) refuseForMemory() {
	x.rejectStatus, x.rejectReason, x.rejectRetry = http.StatusServiceUnavailable, reasonMemory, memoryRetryAfter
	x.s.opts.Metrics.refusals.WithLabelValues(reasonMemory).Inc()
}

// hold reserves memory for a request, and returns false if the request has to do without.
func (x *exchange) hold(n int64) bool { return x.s.grow(x.memory, n) }

// complete marks the request as complete, so that it isn't evicted from now on. It returns false if it has been evicted before.
func (x *exchange) complete() bool {
	return x.s.budget.SetState(time.Now(), x.memory, membudget.Running)
}

// beforeWrite records that the next part of the response is written, as far as the caller reads.
func (x *exchange) beforeWrite() {
	now := time.Now()
	_ = x.conn.nc.SetWriteDeadline(now.Add(writeTimeout))
	if x.memory != nil {
		x.s.budget.SetState(now, x.memory, membudget.Sending)
	}
}

// attemptContext returns the parent of the contexts of attempts.
func (x *exchange) attemptContext() context.Context {
	if x.streamCtx != nil {
		return x.streamCtx
	}
	return x.conn.work
}

// evictedUnsent reports whether the request was evicted while it waited for an upstream.
func (x *exchange) evictedUnsent() bool {
	return x.streamed != nil && x.conn.evicted.Load() && x.mayHaveRunErr == nil
}
