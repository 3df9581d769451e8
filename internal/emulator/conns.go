package emulator

import (
	"net"
	"sync"
	"sync/atomic"
)

// conns is the set of a server's open connections.
type conns struct {
	mu       sync.Mutex
	open     map[*conn]struct{}
	accepted atomic.Int64
}

// conn is a connection that can go silent: it then drops what arrives and what is sent, and stays open.
type conn struct {
	net.Conn
	set    *conns
	silent atomic.Bool
	closed chan struct{}
	once   sync.Once
}

// listener registers the connections that it accepts.
type listener struct {
	net.Listener
	set *conns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.set.accepted.Add(1)
	c := &conn{Conn: nc, set: l.set, closed: make(chan struct{})}
	l.set.mu.Lock()
	l.set.open[c] = struct{}{}
	l.set.mu.Unlock()
	return c, nil
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.silent.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A silent connection stays open towards the peer until the server ends.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	return c.end()
}

func (c *conn) end() error {
	c.once.Do(func() {
		close(c.closed)
		c.set.mu.Lock()
		delete(c.set.open, c)
		c.set.mu.Unlock()
	})
	return c.Conn.Close()
}

func (s *conns) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.silent.Store(true)
	}
}

// reset closes all connections so that their peers see a reset, as after the end of a process with unread input.
func (s *conns) reset() {
	for _, c := range s.all() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.end()
	}
}

func (s *conns) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*conn, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}
