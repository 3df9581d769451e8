package ingress

import (
	"net"
	"os"
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
