package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/cluster"
	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/internal/peer"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/internal/transport"
)

// Entry is one entry daemon.
type Entry struct {
	set     Settings
	opt     options
	log     zerolog.Logger
	lines   *telemetry.DecisionLog
	metrics *telemetry.Metrics
	started time.Time

	credentials *peer.Credentials // nil on loopback without TLS
	listeners   map[string]net.Listener
	callers     *proxy.Server
	peers       *proxy.Server
	operators   *proxy.Server
	proxy       *proxy.Proxy
	toPeers     *transport.Transport

	plat     platformAccess
	follower *configlog.Follower
	node     *cluster.Node
	stops    *rollout.Stops
	leaving  configlog.LeavingFacts

	conf       atomic.Pointer[configuration]
	confMu     sync.Mutex // serialises the building of configurations
	hosts      atomic.Pointer[[]logservice.Host]
	ownership  ownership
	choosers   atomic.Pointer[map[chooserKey]*serviceChooser]
	registrar  *registrar
	retries    *retries
	poison     *poisonGuard
	moves      *moves
	windows    windows
	waits      waits
	port       *operators.Port // nil with a handler of WithOperators
	records    recordRequests
	cold       coldMemory
	poolStates poolHandovers
	gauges     gauges
	forwards   atomic.Int64 // forwarded calls in progress

	ready      atomic.Bool  // the configuration was proved to be current
	state      atomic.Int32 // lifecycle
	stopBy     atomic.Int64 // end of the planned stop, Unix nanoseconds
	wake       chan struct{}
	background sync.WaitGroup // goroutines of single calls
}

// Stages of the life of an entry.
const (
	running int32 = iota
	stopping
	stopped
)

// New checks the settings that need the network, and opens the listeners. Run or Close must follow.
func New(s Settings, opts ...Option) (*Entry, error) {
	e := &Entry{set: s, opt: defaultOptions(s), wake: make(chan struct{}, 1), started: time.Now(), listeners: map[string]net.Listener{}}
	for _, o := range opts {
		o(&e.opt)
	}
	log, err := telemetry.NewLogger(e.opt.out, string(s.LogLevel), time.Now)
	if err != nil {
		return nil, err
	}
	e.log = log.With().Str("host", s.Host).Logger()
	e.lines = telemetry.NewDecisionLog(e.opt.out, s.DecisionLogPerSecond)
	e.metrics = telemetry.NewMetrics()
	e.metrics.ObserveDecisionLog(e.lines)
	if err := e.connect(); err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

// connect builds the parts that need an address.
func (e *Entry) connect() error {
	if err := e.loadCredentials(); err != nil {
		return err
	}
	if err := e.listen(); err != nil {
		return err
	}
	if err := e.connectPlatform(); err != nil {
		return err
	}
	e.stops = &rollout.Stops{}
	self := e.self()
	e.follower = configlog.NewFollower(configlog.FollowerSettings{
		Log:  e.plat.log,
		Self: logservice.Host{Name: self.Host, DataCentre: self.DataCentre, Address: self.PeerAddress, State: logservice.HostLive},
		OnView: func(v configlog.View) {
			e.takeView(v)
		},
		OnResult: e.logResult,
	})
	e.node = cluster.New(cluster.Settings{
		Self: self, Membership: e.membershipConfig(), Facts: facts.DefaultConfig(), Callbacks: e.callbacks(),
		Links: peer.Settings{Transport: e.webSocket()}, Peers: e.set.Peers,
	})
	e.registrar = newRegistrar(e)
	e.retries = newRetries(e)
	e.poison = newPoisonGuard(e)
	e.moves = newMoves(e)
	e.ownership.init()
	e.buildServers()
	return nil
}

func (e *Entry) loadCredentials() error {
	if e.set.InsecureLoopback {
		return nil
	}
	c, err := peer.NewCredentials(peer.PEM{
		Authorities: e.set.PeerTlsCa, Certificates: e.set.PeerTlsCertificate, Keys: e.set.PeerTlsKey,
	})
	if err != nil {
		return fmt.Errorf("credentials of peer links: %w", err)
	}
	e.credentials = c
	return nil
}

func (e *Entry) webSocket() peer.WebSocket {
	return peer.WebSocket{Credentials: e.credentials, Plaintext: e.set.InsecureLoopback}
}

func (e *Entry) listen() error {
	for name, address := range map[string]string{
		"callers": e.set.CallersListen, "peers": e.set.PeersListen, "operators": e.set.OperatorsListen,
	} {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("port for %s: %w", name, err)
		}
		e.listeners[name] = ln
	}
	if e.credentials != nil {
		e.listeners["peers"] = tls.NewListener(e.listeners["peers"], e.credentials.Server())
	}
	return nil
}

// advertised returns the address that others are told for a listener.
func (e *Entry) advertised(name, configured string) string {
	if configured != "" {
		return configured
	}
	return e.listeners[name].Addr().String()
}

func (e *Entry) self() membership.Member {
	return membership.Member{
		Incarnation: cluster.NewIncarnation(), Host: e.set.Host, DataCentre: e.set.DataCentre,
		CallerAddress:    e.advertised("callers", e.set.CallersAdvertise),
		PeerAddress:      e.advertised("peers", e.set.PeersAdvertise),
		OperatorsAddress: e.advertised("operators", e.set.OperatorsAdvertise),
	}
}

// membershipConfig adds the distances of the configuration in force.
func (e *Entry) membershipConfig() membership.Config {
	c := e.opt.membership
	c.Distance = func(a, b string) time.Duration {
		conf := e.conf.Load()
		if conf == nil || a == b {
			return 0
		}
		return conf.snap.Delay(a, b)
	}
	return c
}

func (e *Entry) buildServers() {
	e.toPeers = transport.New(transport.Config{
		// Forwards replace each other far more often than calls to an upstream, so the rate is higher than an upstream's.
		MaxConns: 1024, NewConnsPerSecond: 500, NewConnsBurst: 500, Dial: e.dialPeer,
	})
	e.proxy = proxy.New(proxy.Config{MaxBody: int64(e.set.MaxBodyBytes), Log: e.log}, proxy.Deps{
		Directory: directory{e}, Registrar: e.registrar, Pools: pools{e}, Slots: slots{e}, Retries: e.retries,
		Poison: e.poison, Upstreams: upstreams{e}, Peers: peerTransport{e},
	})
	e.callers = proxy.NewServer(e.callersHandler(), proxy.ServerConfig{HTTP2: true, MaxHeaderBytes: e.set.MaxHeaderBytes})
	// A forward carries the headers of the call and some more.
	e.peers = proxy.NewServer(e.peersHandler(), proxy.ServerConfig{MaxHeaderBytes: 2 * e.set.MaxHeaderBytes})
	e.operators = proxy.NewServer(e.operatorsHandler(), proxy.ServerConfig{})
}

// dialPeer opens a connection for forwards, with TLS unless the loopback setting turns it off.
func (e *Entry) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, address)
	if err != nil || e.credentials == nil {
		return conn, err
	}
	secure := tls.Client(conn, e.credentials.Client())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}

// Addresses returns the addresses of the listeners.
func (e *Entry) Addresses() (callers, peers, operators string) {
	return e.listeners["callers"].Addr().String(), e.listeners["peers"].Addr().String(), e.listeners["operators"].Addr().String()
}

// Incarnation returns the random identity of this run.
func (e *Entry) Incarnation() string { return e.node.View().Self.Incarnation }

// Metrics returns the handler of /metrics.
func (e *Entry) Metrics() http.Handler { return e.metrics.Handler() }

// Close releases the listeners of an entry that isn't run.
func (e *Entry) Close() error {
	for _, ln := range e.listeners {
		_ = ln.Close()
	}
	if e.plat.client != nil {
		e.plat.client.Close()
	}
	return nil
}

func (e *Entry) newRegistry() *idempotency.Registry {
	return idempotency.NewRegistry(idempotency.Config{Incarnation: e.Incarnation()}, e.started)
}
