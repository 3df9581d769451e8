package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// path is the set of connections to one upstream.
type path struct {
	cfg     *Config
	address string
	limiter *rate.Limiter

	mu       sync.Mutex
	idle     []*conn // ordered by last response, latest at the end
	busy     map[*conn]struct{}
	open     int // idle, busy and being dialled
	waiters  []chan *conn
	shutDown bool
	counters Stats

	silentRecent int // silent connections since the last bulk retirement or quiet spell
	lastSilent   time.Time
	lastProgress [2]progress // latest progress of two different connections
	routes       map[string]*route
	otherRoutes  route // shared by the routes past maxRoutes
}

type progress struct {
	conn *conn
	at   time.Time
}

func newPath(cfg *Config, address string) *path {
	return &path{
		cfg:     cfg,
		address: address,
		limiter: rate.NewLimiter(rate.Limit(cfg.NewConnsPerSecond), cfg.NewConnsBurst),
		busy:    map[*conn]struct{}{},
		routes:  map[string]*route{},
	}
}

// acquire returns a connection for one call: an idle one, a new one within the limits, or one that another call frees.
func (p *path) acquire(ctx context.Context, preferRecent bool) (*conn, error) {
	for {
		if ctx.Err() != nil {
			return nil, p.notWritten(ctx)
		}
		c, stale := p.takeIdle(preferRecent)
		if c == nil && p.reserve() {
			if stale == nil {
				return p.dial(ctx)
			}
			p.putBack(stale)
			return p.dial(ctx)
		}
		if c == nil {
			c = stale
		}
		if c == nil {
			var err error
			if c, err = p.wait(ctx); err != nil {
				return nil, err
			}
		}
		if c == nil {
			continue
		}
		if c.alive() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle removes the idle connection with the latest response. When a recent response is preferred and the latest
// one is older, the connection is returned as stale, to be used only if no new connection may be opened.
func (p *path) takeIdle(preferRecent bool) (c, stale *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil, nil
	}
	c = p.idle[len(p.idle)-1]
	p.idle[len(p.idle)-1] = nil
	p.idle = p.idle[:len(p.idle)-1]
	p.busy[c] = struct{}{}
	if preferRecent && time.Since(c.lastResponse) > p.cfg.RecentResponse {
		return nil, c
	}
	return c, nil
}

// putBack returns an unused connection to its place among the idle ones.
func (p *path) putBack(c *conn) {
	p.mu.Lock()
	delete(p.busy, c)
	keep := !p.shutDown && !c.retired
	if keep {
		at, _ := slices.BinarySearchFunc(p.idle, c, func(a, b *conn) int { return a.lastResponse.Compare(b.lastResponse) })
		p.idle = slices.Insert(p.idle, at, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// reserve takes a place and a token for a new connection.
func (p *path) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.cfg.MaxConns || !p.limiter.Allow() {
		return false
	}
	p.open++
	p.counters.Dials++
	return true
}

// wait blocks until another call frees a connection or a token for a new one may be available. A nil connection means
// that the caller should look again.
func (p *path) wait(ctx context.Context) (*conn, error) {
	w := make(chan *conn, 1)
	p.mu.Lock()
	if len(p.idle) > 0 {
		p.mu.Unlock()
		return nil, nil
	}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	// A caller that finds the bucket empty again waits once more.
	timer := time.NewTimer(p.tokenTime())
	defer timer.Stop()
	select {
	case c := <-w:
		return c, nil
	case <-timer.C:
		return p.leaveQueue(w), nil
	case <-ctx.Done():
		if c := p.leaveQueue(w); c != nil {
			p.putBack(c)
		}
		return nil, p.notWritten(ctx)
	}
}

// leaveQueue removes a waiter and returns the connection that it was given in the meantime, if any.
func (p *path) leaveQueue(w chan *conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return nil
	}
	return <-w
}

func (p *path) notWritten(ctx context.Context) error {
	return &Error{Kind: NothingWritten, Cause: contextCause(ctx), Address: p.address, Err: ctx.Err()}
}

// connect opens a connection regardless of idle ones, at the bounded rate.
func (p *path) connect(ctx context.Context) (*conn, error) {
	for !p.reserve() {
		select {
		case <-ctx.Done():
			return nil, p.notWritten(ctx)
		case <-time.After(p.tokenTime()):
		}
	}
	return p.dial(ctx)
}

// tokenTime is the time in which the bucket gains one token for a new connection.
func (p *path) tokenTime() time.Duration {
	return time.Duration(float64(time.Second) / p.cfg.NewConnsPerSecond)
}

// dial opens a connection for which reserve has succeeded.
func (p *path) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(dialCtx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.wakeOne()
		p.mu.Unlock()
		cause := CauseOther
		if ctx.Err() != nil {
			cause = contextCause(ctx)
		}
		return nil, &Error{Kind: ConnectFailed, Cause: cause, Address: p.address, Err: err}
	}
	c := newConn(p, nc)
	p.mu.Lock()
	p.busy[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// begin notes the route of the call that the connection is about to carry.
func (p *path) begin(c *conn, route string) {
	p.mu.Lock()
	c.route = p.route(route)
	p.mu.Unlock()
}

// release makes a connection available again after a complete exchange.
func (p *path) release(c *conn) {
	p.mu.Lock()
	c.lastResponse = time.Now()
	if p.shutDown || c.retired {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = slices.Delete(p.waiters, 0, 1)
		w <- c
		p.mu.Unlock()
		return
	}
	delete(p.busy, c)
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection and frees its place. It is idempotent.
func (p *path) discard(c *conn) {
	p.mu.Lock()
	if !c.discarded {
		c.discarded = true
		delete(p.busy, c)
		p.open--
		p.wakeOne()
	}
	p.mu.Unlock()
	_ = c.nc.Close()
}

// wakeOne lets the first waiter look again. The caller holds the lock.
func (p *path) wakeOne() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- nil
	p.waiters = slices.Delete(p.waiters, 0, 1)
}

// retire closes idle connections and marks busy ones.
func (p *path) retire() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.counters.Retired += uint64(len(idle))
	for c := range p.busy {
		c.retired = true
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

func (p *path) shut() {
	p.mu.Lock()
	p.shutDown = true
	p.mu.Unlock()
	p.retire()
}

func (p *path) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.counters
	s.Open = p.open
	s.Idle = len(p.idle)
	return s
}
