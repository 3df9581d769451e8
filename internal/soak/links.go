package soak

import (
	"context"
	"io"
	"net"
	"sync"

	"boragehinge.example/boragehinge/internal/pause"
)

// links are the paths to the peers' ports, by host. It is safe for concurrent use.
type links struct {
	mu     sync.Mutex
	byHost map[string]*link
	all    []*link
}

// open returns a new path to the peers' port of a host. It replaces the one to its last run.
func (l *links) open(host string) (address string, listening func(string), err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	p := &link{ln: ln, open: map[net.Conn]struct{}{}}
	l.mu.Lock()
	l.byHost[host], l.all = p, append(l.all, p)
	l.mu.Unlock()
	return ln.Addr().String(), func(address string) {
		p.to = address
		go p.serve()
	}, nil
}

func (l *links) of(host string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byHost[host]
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.all {
		p.end()
	}
}

// link passes connections on to an address.
type link struct {
	ln net.Listener
	to string

	mu     sync.Mutex
	isDown bool
	open   map[net.Conn]struct{}
}

// cut breaks all connections and refuses new ones until it is called with false.
func (p *link) cut(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isDown = down
	if !down {
		return
	}
	for c := range p.open {
		_ = c.Close()
	}
}

// end closes the link for good, so that connections are refused as at a port that nobody listens on.
func (p *link) end() {
	_ = p.ln.Close()
	p.cut(true)
}

func (p *link) serve() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

// add takes a connection in, unless the link is cut.
func (p *link) add(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isDown {
		_ = c.Close()
		return false
	}
	p.open[c] = struct{}{}
	return true
}

func (p *link) remove(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

// pass copies both directions. The end of one ends the other; HTTP and WebSocket need no half-closed connections.
func (p *link) pass(from net.Conn) {
	if !p.add(from) {
		return
	}
	defer p.remove(from)
	to, err := net.Dial("tcp", p.to)
	if err != nil || !p.add(to) {
		return
	}
	defer p.remove(to)
	go func() {
		_, _ = io.Copy(to, from)
		_ = to.Close()
	}()
	_, _ = io.Copy(from, to)
}

// linkCut breaks the connections of other entries to an entry: peer links and forwarded calls.
func (j *injector) linkCut(ctx context.Context, f Fault) {
	list := j.in.List()
	host := list[f.Pick%uint64(len(list))].Host
	defer j.rec.begin(LinkCut, host)()
	p := j.links.of(host)
	p.cut(true)
	pause.For(ctx, f.For)
	p.cut(false)
}
