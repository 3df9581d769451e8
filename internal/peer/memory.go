package peer

import (
	"context"
	"fmt"
	"sync"

	"boragehinge.example/boragehinge/internal/wire"
)

// memoryBuffer is the number of frames in flight on a connection before Write blocks.
const memoryBuffer = 64

// MemoryNetwork connects meshes of one process, for tests and measurements. Its paths can be cut in one direction.
type MemoryNetwork struct {
	mu        sync.RWMutex
	listeners map[string]func(Conn) error
	cut       map[[2]string]bool
	cutWhere  func(from, to string) bool
}

// NewMemoryNetwork returns a network without listeners.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: map[string]func(Conn) error{}, cut: map[[2]string]bool{}}
}

// Listen runs accept, which blocks, on its own goroutine for each connection to an address, and returns a function that
// stops listening.
func (n *MemoryNetwork) Listen(address string, accept func(Conn) error) (stop func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = accept
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.listeners, address)
	}
}

// Cut drops all frames from one address to another without closing connections, and fails dials in that direction.
func (n *MemoryNetwork) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// CutWhere drops, in addition to the paths of Cut, those for which cut returns true; nil ends that. The function is
// called concurrently.
func (n *MemoryNetwork) CutWhere(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutWhere = cut
}

func (n *MemoryNetwork) isCut(from, to string) bool {
	n.mu.RLock()
	cut, where := n.cut[[2]string{from, to}], n.cutWhere
	n.mu.RUnlock()
	return cut || where != nil && where(from, to)
}

// Transport returns the transport of the mesh that listens on an address.
func (n *MemoryNetwork) Transport(address string) Transport {
	return memoryTransport{n, address}
}

type memoryTransport struct {
	network *MemoryNetwork
	address string
}

// Dial implements Transport.
func (t memoryTransport) Dial(_ context.Context, address string) (Conn, error) {
	n := t.network
	n.mu.RLock()
	accept := n.listeners[address]
	n.mu.RUnlock()
	if accept == nil || n.isCut(t.address, address) {
		return nil, fmt.Errorf("connect to %s: refused", address)
	}
	done := make(chan struct{})
	once := &sync.Once{}
	there, back := make(chan []byte, memoryBuffer), make(chan []byte, memoryBuffer)
	here := &memoryConn{network: n, from: t.address, to: address, in: back, out: there, done: done, once: once}
	remote := &memoryConn{network: n, from: address, to: t.address, in: there, out: back, done: done, once: once}
	go func() { _ = accept(remote) }()
	return here, nil
}

type memoryConn struct {
	network  *MemoryNetwork
	from, to string
	in, out  chan []byte
	done     chan struct{} // shared by both ends
	once     *sync.Once
}

// Read implements Conn.
func (c *memoryConn) Read(ctx context.Context) ([]byte, error) {
	select {
	case frame := <-c.in:
		if len(frame) > wire.MaxFrameBytes {
			return nil, fmt.Errorf("%w: %d bytes", wire.ErrTooLong, len(frame))
		}
		return frame, nil
	case <-c.done:
		return nil, ErrClosed
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Write implements Conn.
func (c *memoryConn) Write(ctx context.Context, frame []byte) error {
	if c.network.isCut(c.from, c.to) {
		return nil
	}
	select {
	case c.out <- frame:
		return nil
	case <-c.done:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Close implements Conn.
func (c *memoryConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

// Names implements Conn.
func (c *memoryConn) Names() []string { return nil }
