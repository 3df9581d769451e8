package transport

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// connPool holds the connections to one upstream.
type connPool struct {
	cfg     *Config
	address string
	limiter *rate.Limiter

	mu       sync.Mutex
	idle     []*conn // ordered by lastResponse, latest at the end
	busy     map[*conn]struct{}
	open     int // idle, busy and being dialled
	waiters  []chan *conn
	closed   bool
	counters Stats

	recentSilent int // silent connections since the last bulk retirement or silentWindow without any
	lastSilent   time.Time
	lastProgress [2]progress // latest progress on two different connections
}

// progress is the last time that a connection received bytes.
type progress struct {
	conn *conn
	at   time.Time
}

func newConnPool(cfg *Config, address string) *connPool {
	return &connPool{
		cfg:     cfg,
		address: address,
		limiter: rate.NewLimiter(rate.Limit(cfg.NewConnsPerSecond), cfg.NewConnsBurst),
		busy:    map[*conn]struct{}{},
	}
}

// acquire returns a connection for one call: an idle one, a new one within the limits, or one released by another call.
func (p *connPool) acquire(ctx context.Context, preferRecent bool) (*conn, error) {
	for {
		if ctx.Err() != nil {
			return nil, p.notWrittenError(ctx)
		}
		c, stale := p.takeIdle(preferRecent)
		if c == nil && p.reserve() {
			if stale == nil {
				return p.dial(ctx)
			}
			p.returnIdle(stale)
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

// takeIdle removes the idle connection with the latest response. If preferRecent is set and that response is older than
// RecentResponse, the connection is returned as stale, to be used only if no new connection may be opened.
func (p *connPool) takeIdle(preferRecent bool) (c, stale *conn) {
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

// returnIdle puts an unused connection back into the idle list at its position by last response.
func (p *connPool) returnIdle(c *conn) {
	p.mu.Lock()
	delete(p.busy, c)
	keep := !p.closed && !c.retired
	if keep {
		at, _ := slices.BinarySearchFunc(p.idle, c, func(a, b *conn) int { return a.lastResponse.Compare(b.lastResponse) })
		p.idle = slices.Insert(p.idle, at, c)
	}
	p.mu.Unlock()
	if !keep {
		p.discard(c)
	}
}

// reserve takes a token and counts a new connection as open. It returns false if a limit is reached.
func (p *connPool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.cfg.MaxConns || !p.limiter.Allow() {
		return false
	}
	p.open++
	p.counters.Dials++
	return true
}

// wait blocks until another call releases a connection or a token for a new one may be available. A nil connection
// means that the caller should try again.
func (p *connPool) wait(ctx context.Context) (*conn, error) {
	w := make(chan *conn, 1)
	p.mu.Lock()
	if len(p.idle) > 0 {
		p.mu.Unlock()
		return nil, nil
	}
	p.waiters = append(p.waiters, w)
	p.mu.Unlock()
	// Another caller may take the token first; acquire then calls wait again.
	timer := time.NewTimer(p.tokenInterval())
	defer timer.Stop()
	select {
	case c := <-w:
		return c, nil
	case <-timer.C:
		return p.removeWaiter(w), nil
	case <-ctx.Done():
		if c := p.removeWaiter(w); c != nil {
			p.returnIdle(c)
		}
		return nil, p.notWrittenError(ctx)
	}
}

// removeWaiter removes a waiter and returns the connection that was handed to it in the meantime, if any.
func (p *connPool) removeWaiter(w chan *conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return nil
	}
	return <-w
}

func (p *connPool) notWrittenError(ctx context.Context) error {
	return &Error{Kind: NothingWritten, Cause: contextCause(ctx), Address: p.address, Err: ctx.Err()}
}

// connect opens a connection even if idle ones exist. It waits for the limits on connections and their rate.
func (p *connPool) connect(ctx context.Context) (*conn, error) {
	for !p.reserve() {
		select {
		case <-ctx.Done():
			return nil, p.notWrittenError(ctx)
		case <-time.After(p.tokenInterval()):
		}
	}
	return p.dial(ctx)
}

// tokenInterval is the time in which the token bucket for new connections gains one token.
func (p *connPool) tokenInterval() time.Duration {
	return time.Duration(float64(time.Second) / p.cfg.NewConnsPerSecond)
}

// dial opens a connection for which reserve has succeeded.
func (p *connPool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(dialCtx, "tcp", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.wakeWaiter()
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

// release makes a connection available again after a complete exchange.
func (p *connPool) release(c *conn) {
	p.mu.Lock()
	c.lastResponse = time.Now()
	if p.closed || c.retired {
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

// discard closes a connection and removes it from the pool. It is idempotent.
func (p *connPool) discard(c *conn) {
	p.mu.Lock()
	if !c.discarded {
		c.discarded = true
		delete(p.busy, c)
		p.open--
		p.wakeWaiter()
	}
	p.mu.Unlock()
	_ = c.nc.Close()
}

// wakeWaiter makes the first waiter try again. The caller holds p.mu.
func (p *connPool) wakeWaiter() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- nil
	p.waiters = slices.Delete(p.waiters, 0, 1)
}

// retire closes idle connections and marks busy ones to be closed after their current call.
func (p *connPool) retire() {
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

func (p *connPool) shutdown() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.retire()
}

func (p *connPool) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.counters
	s.Open = p.open
	s.Idle = len(p.idle)
	return s
}
