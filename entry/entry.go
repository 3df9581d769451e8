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
	settings    Settings
	opt         options
	log         zerolog.Logger
	decisionLog *telemetry.DecisionLog
	metrics     *telemetry.Metrics
	started     time.Time

	credentials *peer.Credentials // nil when peer links use plaintext on loopback
	listeners   map[string]net.Listener
	callers     *proxy.Server
	peers       *proxy.Server
	operators   *proxy.Server
	proxy       *proxy.Proxy
	peerClient  *transport.Transport

	platform platformAccess
	follower *configlog.Follower
	node     *cluster.Node
	stops    *rollout.Stops
	leaving  configlog.LeavingFacts

	conf          atomic.Pointer[configuration]
	confMu        sync.Mutex // serialises the building of configurations
	hosts         atomic.Pointer[[]logservice.Host]
	ownership     ownership
	choosers      atomic.Pointer[map[chooserKey]*serviceChooser]
	registrar     *registrar
	retries       *retries
	poison        *poisonGuard
	moves         *moves
	windows       windows
	waits         waits
	operatorsPort *operators.Port // nil when WithOperators sets the handler
	recordLimiter recordRequests
	coldUpstreams coldUpstreamCache
	poolStates    poolHandovers
	joining       joining
	gauges        gauges
	forwards      atomic.Int64 // forwarded calls in progress

	ready        atomic.Bool  // set once the configuration is known to be current
	state        atomic.Int32 // lifecycle
	stopDeadline atomic.Int64 // deadline of the planned stop, Unix nanoseconds; 0 before it begins
	reconcileNow chan struct{}
	background   sync.WaitGroup // short-lived goroutines, such as lookups and crash checks
}

// Lifecycle states of an entry.
const (
	running int32 = iota
	stopping
	stopped
)

// New loads the credentials, opens the listeners and builds an entry. The caller must call Run or Close afterwards.
func New(s Settings, opts ...Option) (*Entry, error) {
	e := &Entry{settings: s, opt: defaultOptions(s), reconcileNow: make(chan struct{}, 1), started: time.Now(), listeners: map[string]net.Listener{}}
	for _, o := range opts {
		o(&e.opt)
	}
	log, err := telemetry.NewLogger(e.opt.logOutput, string(s.LogLevel), time.Now)
	if err != nil {
		return nil, err
	}
	e.log = log.With().Str("host", s.Host).Logger()
	e.decisionLog = telemetry.NewDecisionLog(e.opt.logOutput, s.DecisionLogPerSecond)
	e.metrics = telemetry.NewMetrics()
	e.metrics.ObserveDecisionLog(e.decisionLog)
	if err := e.connect(); err != nil {
		_ = e.Close()
		return nil, err
	}
	return e, nil
}

// connect opens the listeners and builds the components that depend on their addresses.
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
		Log:  e.platform.log,
		Self: logservice.Host{Name: self.Host, DataCentre: self.DataCentre, Address: self.PeerAddress, State: logservice.HostLive},
		OnView: func(v configlog.View) {
			e.applyView(v)
		},
		OnResult: e.logRecordResult,
	})
	e.node = cluster.New(cluster.Settings{
		Self: self, Membership: e.membershipConfig(), Facts: facts.DefaultConfig(), Callbacks: e.callbacks(),
		Links: peer.Settings{Transport: e.webSocket()}, Peers: e.settings.Peers,
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
	if e.settings.InsecureLoopback {
		return nil
	}
	c, err := peer.NewCredentials(peer.PEM{
		Authorities: e.settings.PeerTlsCa, Certificates: e.settings.PeerTlsCertificate, Keys: e.settings.PeerTlsKey,
	})
	if err != nil {
		return fmt.Errorf("credentials of peer links: %w", err)
	}
	e.credentials = c
	return nil
}

func (e *Entry) webSocket() peer.WebSocket {
	return peer.WebSocket{Credentials: e.credentials, Plaintext: e.settings.InsecureLoopback}
}

func (e *Entry) listen() error {
	for name, address := range map[string]string{
		"callers": e.settings.CallersListen, "peers": e.settings.PeersListen, "operators": e.settings.OperatorsListen,
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

// advertised returns the address that other processes use for a listener: the configured one, or the one it is bound to.
func (e *Entry) advertised(name, configured string) string {
	if configured != "" {
		return configured
	}
	return e.listeners[name].Addr().String()
}

func (e *Entry) self() membership.Member {
	return membership.Member{
		Incarnation: cluster.NewIncarnation(), Host: e.settings.Host, DataCentre: e.settings.DataCentre,
		CallerAddress:    e.advertised("callers", e.settings.CallersAdvertise),
		PeerAddress:      e.advertised("peers", e.settings.PeersAdvertise),
		OperatorsAddress: e.advertised("operators", e.settings.OperatorsAdvertise),
	}
}

// membershipConfig returns the membership settings with a Distance function that reads the configuration in force.
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
	e.peerClient = transport.New(transport.Config{
		// Forwards open and close connections far more often than calls to an upstream, so the connection rate is higher.
		MaxConns: 1024, NewConnsPerSecond: 500, NewConnsBurst: 500, Dial: e.dialPeer,
	})
	e.proxy = proxy.New(proxy.Config{MaxBody: int64(e.settings.MaxBodyBytes), Log: e.log}, proxy.Deps{
		Directory: directory{e}, Registrar: e.registrar, Pools: pools{e}, Slots: slots{e}, Retries: e.retries,
		Poison: e.poison, Upstreams: upstreams{e}, Peers: peerTransport{e},
	})
	e.callers = proxy.NewServer(e.callersHandler(), proxy.ServerConfig{HTTP2: true, MaxHeaderBytes: e.settings.MaxHeaderBytes})
	// A forwarded request has the headers of the original call plus some of its own.
	e.peers = proxy.NewServer(e.peersHandler(), proxy.ServerConfig{MaxHeaderBytes: 2 * e.settings.MaxHeaderBytes})
	e.operators = proxy.NewServer(e.operatorsHandler(), proxy.ServerConfig{})
}

// dialPeer opens a connection to the peer port of another entry, with TLS unless the loopback setting turns it off.
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

// Incarnation returns the random ID of this run of the entry.
func (e *Entry) Incarnation() string { return e.node.View().Self.Incarnation }

// Metrics returns the handler of /metrics.
func (e *Entry) Metrics() http.Handler { return e.metrics.Handler() }

// Close releases the resources of an entry on which Run isn't called.
func (e *Entry) Close() error {
	for _, ln := range e.listeners {
		_ = ln.Close()
	}
	if e.platform.client != nil {
		e.platform.client.Close()
	}
	return nil
}

func (e *Entry) newRegistry() *idempotency.Registry {
	return idempotency.NewRegistry(idempotency.Config{Incarnation: e.Incarnation()}, e.started)
}
