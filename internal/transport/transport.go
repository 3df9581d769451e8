package transport

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/traffic"
)

// Config holds the limits of a Transport. Zero fields take the defaults named beside them.
type Config struct {
	MaxConns            int           // connections per upstream, 240
	NewConnsPerSecond   float64       // rate of new connections per upstream, 20
	NewConnsBurst       int           // size of the token bucket for new connections, 20
	DialTimeout         time.Duration // 1 s
	IdleTimeout         time.Duration // idle connections are closed after this time, 90 s
	RecentResponse      time.Duration // a non-idempotent call prefers a connection with a response within this time, 5 s
	MinSilence          time.Duration // shortest time without progress before a connection is closed as silent, 1 s
	BulkRetireThreshold int           // silent connections after which the upstream's idle ones are closed, 3
	MaxHeaderBytes      int64         // limit of a response header, 64 KiB

	// NotRun reports whether a response says that the upstream did not run the request. The default checks HeaderNotRun.
	NotRun func(*http.Response) bool
	// MatchesRequest reports whether a response belongs to the request. Other responses are discarded, because an
	// upstream may answer an earlier request of the connection twice. The default accepts all.
	MatchesRequest func(*http.Response, *http.Request) bool
	// Identifies reports whether a response names its request. If it is set, the connection of a response that names none is not
	// used again, because a late copy of that response could not be told from the next one; and once a connection has carried a
	// response that names its request, one that names none is discarded.
	Identifies func(*http.Response) bool
	// AcceptUndelimited accepts responses whose end is marked only by the close of the connection.
	AcceptUndelimited bool

	// Traffic counts the bytes of all connections. It is optional.
	Traffic *traffic.Counter
	// ReceiveBuffer is the size in bytes of the kernel's receive buffer of a connection; 0 lets it grow with what an upstream sends.
	// Dial replaces it.
	ReceiveBuffer int
	// Dial opens a connection. The default is a net.Dialer with TCP keep-alive after 1 s.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	peerUnreachable func(net.Conn) bool // replaced by tests
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxConns, 240)
	setDefault(&c.NewConnsPerSecond, 20)
	setDefault(&c.NewConnsBurst, 20)
	setDefault(&c.DialTimeout, time.Second)
	setDefault(&c.IdleTimeout, 90*time.Second)
	setDefault(&c.RecentResponse, 5*time.Second)
	setDefault(&c.MinSilence, time.Second)
	setDefault(&c.BulkRetireThreshold, 3)
	setDefault(&c.MaxHeaderBytes, 64<<10)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{KeepAliveConfig: keepAlive, Control: receiveBufferControl(c.ReceiveBuffer)}).DialContext
	}
	if c.NotRun == nil {
		c.NotRun = func(r *http.Response) bool { return r.Header.Get(HeaderNotRun) == "true" }
	}
	if c.MatchesRequest == nil {
		c.MatchesRequest = func(*http.Response, *http.Request) bool { return true }
	}
	if c.peerUnreachable == nil {
		c.peerUnreachable = peerUnreachable
	}
	return c
}

// keepAlive lets the kernel close a connection about 5 s after its peer became unreachable, if no data is
// unacknowledged. Probes are sent only on connections that received nothing for Idle. An upstream that works on a request for long
// answers them, so they tell a slow upstream from a dead connection; see peerUnreachable.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 4}

func setDefault[T int | int64 | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Transport holds the connections to the upstreams of one pool.
type Transport struct {
	cfg Config

	mu     sync.RWMutex
	pools  map[string]*connPool
	closed bool
}

// New returns a Transport without connections. It starts no goroutine; see Run.
func New(cfg Config) *Transport {
	return &Transport{cfg: cfg.withDefaults(), pools: map[string]*connPool{}}
}

// Response is an upstream's response. Body must be closed; a read error of Body is an *Error, and io.EOF means that
// the body is complete.
type Response struct {
	*http.Response
	Load    *LoadReport // nil when absent or malformed
	Latency time.Duration
	Reused  bool
}

// RoundTrip sends req to address once and never resends it. A call that isn't idempotent prefers a connection with a
// recent response. The error is always an *Error.
//
// Only Method, URL (path and query), Host, Header, Body, ContentLength and Trailer of req are used. The Body may be
// read until the response's Body is closed, and is closed by the transport. When ctx ends, the connection is closed and
// reads of the response body fail.
func (t *Transport) RoundTrip(ctx context.Context, address string, req *http.Request, idempotent bool) (*Response, error) {
	p, err := t.connPool(address)
	if err != nil {
		closeBody(req)
		return nil, &Error{Kind: NothingWritten, Cause: CauseClosed, Address: address, Err: err}
	}
	c, err := p.acquire(ctx, !idempotent)
	if err != nil {
		closeBody(req)
		return nil, err
	}
	return c.exchange(ctx, req)
}

// CheckConnect opens a connection to address and keeps it for later calls. It is subject to the limits on connections
// and their rate. The error is an *Error; ConnectFailed after a lost connection is evidence of a crash.
func (t *Transport) CheckConnect(ctx context.Context, address string) error {
	p, err := t.connPool(address)
	if err != nil {
		return &Error{Kind: NothingWritten, Cause: CauseClosed, Address: address, Err: err}
	}
	c, err := p.connect(ctx)
	if err != nil {
		return err
	}
	p.release(c)
	return nil
}

// RetireIdle closes all idle connections to address and marks the busy ones to be closed after their current call.
func (t *Transport) RetireIdle(address string) {
	if p := t.lookup(address); p != nil {
		p.retire()
	}
}

// Forget closes the connections to an address that was removed from the pool, busy ones after their current call.
func (t *Transport) Forget(address string) {
	t.mu.Lock()
	p := t.pools[address]
	delete(t.pools, address)
	t.mu.Unlock()
	if p != nil {
		p.shutdown()
	}
}

// Close closes idle connections, and busy ones after their current call. Running calls finish, later ones fail.
func (t *Transport) Close() {
	t.mu.Lock()
	pools := t.pools
	t.pools = map[string]*connPool{}
	t.closed = true
	t.mu.Unlock()
	for _, p := range pools {
		p.shutdown()
	}
}

// Stats describes the connections to one upstream.
type Stats struct {
	Open    int // connections, including those being dialled
	Idle    int
	Dials   uint64 // connection attempts since the start
	Silent  uint64 // connections closed for silence since the start
	Retired uint64 // idle connections closed in bulk since the start
}

// Stats returns the counters of address.
func (t *Transport) Stats(address string) Stats {
	p := t.lookup(address)
	if p == nil {
		return Stats{}
	}
	return p.stats()
}

// Run calls Sweep four times a second until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	pause.Every(ctx, 250*time.Millisecond, t.Sweep)
}

// Sweep closes silent connections and expired idle ones.
func (t *Transport) Sweep(now time.Time) {
	t.mu.RLock()
	pools := make([]*connPool, 0, len(t.pools))
	for _, p := range t.pools {
		pools = append(pools, p)
	}
	t.mu.RUnlock()
	for _, p := range pools {
		p.sweep(now)
	}
}

func (t *Transport) lookup(address string) *connPool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.pools[address]
}

func (t *Transport) connPool(address string) (*connPool, error) {
	if p := t.lookup(address); p != nil {
		return p, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errClosed
	}
	p := t.pools[address]
	if p == nil {
		p = newConnPool(&t.cfg, address)
		t.pools[address] = p
	}
	return p, nil
}

func closeBody(req *http.Request) {
	if req.Body != nil {
		_ = req.Body.Close()
	}
}
