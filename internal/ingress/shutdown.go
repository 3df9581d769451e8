package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// stoppingRetryAfter is the Retry-After time of requests that are refused during a shutdown. Other entries can take them at once.
	stoppingRetryAfter = 5 * time.Millisecond
	// drainInterval is the pause between two looks at the connections that are still open.
	drainInterval = 20 * time.Millisecond
	// finalReplyTimeout bounds the time to write the local replies at the end of a shutdown.
	finalReplyTimeout = 150 * time.Millisecond
	// lingerTimeout bounds the wait for the caller to close its side of a connection.
	lingerTimeout = 500 * time.Millisecond
	// lastLook is the time for which an idle connection is read once more before it is closed, since a request may have arrived while
	// the process was short of CPU.
	lastLook = 5 * time.Millisecond
)

// Shutdown is the schedule of a graceful shutdown.
type Shutdown struct {
	// AcceptAllUntil is the time until which every request is accepted. Later ones are refused unless their deadline is before End,
	// because the process could end while an upstream runs them.
	AcceptAllUntil time.Time
	// End is the time at which the requests that are still running get a local reply.
	End time.Time
}

// refuses reports whether a request that was read at now has to be refused. A nil Shutdown refuses none.
func (s *Shutdown) refuses(now, deadline time.Time) bool {
	return s != nil && now.After(s.AcceptAllUntil) && deadline.After(s.End)
}

// Leave starts a graceful shutdown: each further response closes its connection, unless another request was already read from it.
func (s *Server) Leave(plan Shutdown) { s.shutdown.Store(&plan) }

// acceptTail is the time in which connections that callers have already opened are accepted before the listener is closed.
const acceptTail = 20 * time.Millisecond

// StopAccepting closes the listener of Serve when the connections in its backlog have been accepted.
func StopAccepting(l net.Listener) error {
	limited, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return l.Close()
	}
	return limited.SetDeadline(time.Now().Add(acceptTail))
}

// Drain closes idle connections and waits until the others have closed. At the end of the shutdown that Leave has started, it replies to
// the requests that are still running. The error tells that connections are open nevertheless.
func (s *Server) Drain() error {
	end := s.shutdown.Load().End
	for !s.closeIdle() {
		if !time.Now().Before(end) {
			return s.endWork()
		}
		time.Sleep(drainInterval)
	}
	return nil
}

// closeIdle makes idle connections close, and reports whether none is open.
func (s *Server) closeIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.drain()
	}
	return len(s.conns) == 0
}

// endWork ends the attempts of all requests, and waits until their callers have local replies.
func (s *Server) endWork() error {
	s.mu.Lock()
	for c := range s.conns {
		c.endWork()
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), finalReplyTimeout)
	defer cancel()
	for !s.closeIdle() {
		if ctx.Err() != nil {
			return fmt.Errorf("connections are still open: %w", ctx.Err())
		}
		time.Sleep(drainInterval)
	}
	return nil
}

// linger closes the sending side of the connection, and discards what the caller still sends until it closes its side. Closing a
// connection with unread bytes would reset it, and the reset could overtake the last response.
func (c *conn) linger() {
	nc, ok := c.nc.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil || nc.CloseWrite() != nil {
		return
	}
	timeout := lingerTimeout
	if c.evicted.Load() {
		timeout = evictedLinger
	}
	_ = c.nc.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection, which Copy reports
	_, _ = io.Copy(io.Discard, c.nc)                  // the connection is closed in any case
}
