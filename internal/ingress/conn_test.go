package ingress

import (
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// pendingConn has received a request that is read only with a deadline in the future, as a socket whose reader was interrupted.
type pendingConn struct {
	net.Conn
	pending  string
	deadline time.Time
}

func (p *pendingConn) SetReadDeadline(t time.Time) error {
	p.deadline = t
	return nil
}

func (p *pendingConn) Read(b []byte) (int, error) {
	if time.Now().After(p.deadline) || p.pending == "" {
		return 0, os.ErrDeadlineExceeded
	}
	n := copy(b, p.pending)
	p.pending = p.pending[n:]
	return n, nil
}

func (*pendingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against a request that is dropped because it arrived just before its idle connection was closed.
func TestIdleConnectionIsReadOnceMoreBeforeItCloses(t *testing.T) {
	for pending, want := range map[string]bool{"GET / HTTP/1.1\r\n": true, "": false} {
		c := newConn(&Server{}, &pendingConn{pending: pending})
		assert.Equal(t, want, c.awaitRequest(-time.Second), pending)
	}
	c := newConn(&Server{}, &pendingConn{pending: "GET"})
	c.closing = true
	assert.False(t, c.awaitRequest(-time.Second), "no request is read behind a response that announced the close")
}

// Guards against connections in the backlog of the listener that are reset when a stopping entry closes it.
func TestBacklogIsAcceptedBeforeTheListenerCloses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	caller, err := net.Dial("tcp", l.Addr().String())
	assert.NoError(t, err)
	defer func() { _ = caller.Close() }()
	assert.NoError(t, StopAccepting(l))
	accepted, err := l.Accept()
	assert.NoError(t, err)
	_ = accepted.Close()
	assert.NoError(t, (&Server{}).Serve(l), "it returns after the last one")
	_, err = net.Dial("tcp", l.Addr().String())
	assert.Error(t, err, "the listener is closed")
}

// stalledConn takes a part of what is written and fails then, as a connection whose caller doesn't read.
type stalledConn struct {
	pendingConn
	written string
	closed  bool
}

func (s *stalledConn) Write(b []byte) (int, error) {
	if s.closed {
		return 0, net.ErrClosed
	}
	n := min(10, len(b))
	s.written += string(b[:n])
	return n, os.ErrDeadlineExceeded
}

func (*stalledConn) SetWriteDeadline(time.Time) error { return nil }

func (s *stalledConn) Close() error {
	s.closed = true
	return nil
}

// Guards against a response that follows in the place of the rest of the one before it, when that was written in part only.
func TestNothingFollowsAPartialResponse(t *testing.T) {
	nc := &stalledConn{}
	c := newConn(&Server{}, nc)
	x := &exchange{conn: c, s: c.s}
	x.writeLocalReply([]byte("HTTP/1.1 503 Service Unavailable\r\n\r\n"))
	assert.True(t, nc.closed)
	assert.Error(t, c.ctx.Err(), "the other requests of the connection are cancelled")
	x.writeLocalReply([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	assert.Equal(t, "HTTP/1.1 5", nc.written)
}

// Guards against a body of exactly the largest size that is refused, and against a larger one that is accepted.
func TestBodyOfExactlyTheLimitIsAccepted(t *testing.T) {
	for size, want := range map[int]error{99: nil, 100: nil, 101: errBodyTooLarge} {
		b := newStreamedBody([]byte("0123456789"), strings.NewReader(strings.Repeat("b", size-10)), 100)
		got, err := io.ReadAll(b)
		assert.ErrorIs(t, err, want, size)
		if want == nil {
			assert.Len(t, got, size)
			assert.True(t, b.complete())
		}
	}
}
