package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"boragehinge.example/boragehinge/internal/coordinator"
	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/ingress"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/probe"
	"boragehinge.example/boragehinge/internal/telemetry"
	"boragehinge.example/boragehinge/internal/traffic"
	"boragehinge.example/boragehinge/internal/transport"
	"boragehinge.example/boragehinge/platform"
)

const (
	defaultProbeInterval = 40 * time.Millisecond
	// wantedTTL is how long callers keep addresses. Some keep them three times as long, and an entry that stops serves
	// them for that time.
	wantedTTL = 1500 * time.Millisecond
	// serveAfterStop is the part of the time until the process is killed in which new connections are still served.
	serveAfterStop = 0.78
	// acceptAllAfterStop is the part of that time in which requests are accepted whatever their deadline is.
	acceptAllAfterStop = 0.45
	// stopMargin is kept from the time until the process is killed.
	stopMargin = 400 * time.Millisecond
	// upstreamIdle is below the time after which upstreams close idle connections.
	upstreamIdle = 6 * time.Second
	// freshConnection is the age of the last response up to which a connection carries a request that must not run twice.
	freshConnection = 3 * time.Second
)

type flags struct {
	settings          string
	peersBind         string
	metricsPort       int
	decisionLines     int
	logLevel          string
	probeInterval     time.Duration
	hedgeLimit        hedgeLimit
	requestBytes      requestBytesLimit
	resetWhenFull     resetWhenFull
	transferCost      time.Duration
	fromFirstTry      bool
	avoidFailing      bool
	probeByDataCentre probeByDataCentre
	clients           clientFlags
}

// entry holds the parts of the running process.
type entry struct {
	settings  atomic.Pointer[platform.Settings]
	log       zerolog.Logger
	node      *coordinator.Node
	server    *ingress.Server
	limits    ingress.ClientLimits
	transport *transport.Transport
	traffic   *traffic.Counter
	out       *telemetry.Output
	decisions *telemetry.DecisionLog
	registry  *prometheus.Registry
}

func run(ctx context.Context, f *flags) error {
	settings, err := platform.LoadSettings(f.settings)
	if err != nil {
		return err
	}
	limitHeap(settings)
	out := telemetry.NewOutput(os.Stdout)
	log, err := telemetry.NewLogger(out, f.logLevel, time.Now)
	if err != nil {
		return err
	}
	log.Info().Str("event", "start").Str("node", settings.Node).Str("data_centre", settings.Zone).Str("callers", settings.Listen.Callers).
		Float64("cpu_share", settings.Limits.CPUShare).Bool("bootstrap", settings.Bootstrap).
		Int64("memory_mb", settings.Limits.MemoryMB).Int("max_fds", settings.Limits.MaxFDs).Float64("link_mbps", settings.Limits.LinkMbps).Msg("starts")
	f.hedgeLimit.log(&log)
	f.requestBytes.log(&log)
	f.resetWhenFull.log(&log)
	f.probeByDataCentre.log(&log)
	e := newEntry(settings, f, log, out, os.Stdout)
	err = e.serve(ctx, f)
	if err == nil {
		log.Info().Str("event", "stop").Msg("stopped")
	}
	return errors.Join(err, e.flushLogsAtEnd())
}

// newEntry returns an entry whose decisions are written to decisions, since their log has a bounded buffer of its own.
func newEntry(s *platform.Settings, f *flags, log zerolog.Logger, out *telemetry.Output, decisions io.Writer) *entry {
	names := platform.Names()
	e := &entry{
		log: log, decisions: telemetry.NewDecisionLog(decisions, f.decisionLines), out: out, registry: prometheus.NewRegistry(),
		traffic: &traffic.Counter{},
	}
	e.settings.Store(s)
	prober := &probe.Prober{
		Headers: names, Interval: func() time.Duration {
			return e.node.ProbeInterval(probeInterval(f.probeInterval, e.settings.Load().Bounds.ProbesPerS))
		},
		Soonest: func() time.Duration {
			return e.node.SoonestProbe(probeInterval(f.probeInterval, e.settings.Load().Bounds.ProbesPerS))
		},
	}
	store := platform.NewStore(s.Store.Address)
	e.node = coordinator.NewNode(coordinator.Options{
		Self: gateway.Entry{
			Name: s.Node, DataCentre: s.Zone, Callers: s.Listen.Callers, Peer: s.Listen.Peers, CPUShare: s.Limits.CPUShare,
		},
		Seeds: s.Seeds, Bootstrap: s.Bootstrap, Regions: s.Regions, Store: store, Probe: prober.Run, Log: log, Metrics: coordinator.NewMetrics(e.registry),
		LinkBytesPerSecond: s.LinkBytesPerSecond(), CallerConnections: knownConnections(s, &f.clients),
		Traffic: func() coordinator.TrafficTotals { return totals(e.traffic, e.server) }, Limits: limits(s, f), Usage: usageOptions(s, store),
		Delegation: f.probeByDataCentre.options(prober.Interval),
	})
	e.transport = transport.New(transport.Config{
		NotRun: names.Refused, MatchesRequest: names.MatchesRequest, Identifies: names.Identifies, AcceptUndelimited: true, DialTimeout: 300 * time.Millisecond,
		IdleTimeout: upstreamIdle, RecentResponse: freshConnection, ReceiveBuffer: upstreamReceiveBuffer, Traffic: e.traffic,
	})
	e.limits = clientLimits(s, &f.clients)
	e.server = ingress.NewServer(ingress.Options{
		DataCentre: s.Zone, Names: names, Placer: e.node, Transport: e.transport, Decisions: e.decisions,
		Metrics: ingress.NewMetrics(e.registry), Log: log, Limits: e.limits, ObjectiveFromFirstTry: f.fromFirstTry, Traffic: e.traffic,
	})
	e.registry.MustRegister(e.node) // which collects the server's connections
	return e
}

// totals returns what the entry has carried for callers.
func totals(c *traffic.Counter, s *ingress.Server) coordinator.TrafficTotals {
	received, sent := c.Totals()
	return coordinator.TrafficTotals{Received: received, Sent: sent, Connections: s.OpenConns()}
}

// limits are the bounds that hold over all entries.
func limits(s *platform.Settings, f *flags) coordinator.Limits {
	b := &s.Bounds
	return coordinator.Limits{
		RetryRatio: b.RetryRatio, RetryBurst: b.RetryBurst, RetryWindow: time.Duration(b.RetryWindow),
		BadShare: b.BadShare, BadSlack: b.BadSlack, ColdFactor: b.ColdFactor, ColdSlack: b.ColdSlack, TransferCost: f.transferCost, HedgeLimit: f.hedgeLimit.limit,
		ObjectiveFromFirstTry: f.fromFirstTry, AvoidFailing: f.avoidFailing,
		UpstreamRequestBytes: int64(f.requestBytes),
		ResetsWhenFull:       f.resetWhenFull.includes,
	}
}

// probeShare is the part of the bound on probes that one leader uses, as two may probe for a moment.
const probeShare = 0.5

// probeInterval is the wanted interval, or a longer one that keeps the bound on probes per second and upstream.
func probeInterval(wanted time.Duration, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return wanted
	}
	return max(wanted, time.Duration(float64(time.Second)/(probeShare*perSecond)))
}

// addressTTL is how long callers may keep an answer.
func (e *entry) addressTTL() time.Duration {
	if longest := time.Duration(e.settings.Load().Bounds.AddressTTL); longest > 0 {
		return min(wantedTTL, longest)
	}
	return wantedTTL
}

// serve runs until ctx ends and then stops in an orderly way.
func (e *entry) serve(ctx context.Context, f *flags) error {
	listen := &e.settings.Load().Listen
	callers, err := e.limits.Listen(ctx, listen.Callers)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	failed := make(chan error, 8)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	serveHTTP(peerServer(cmp.Or(f.peersBind, listen.Peers), e.node.Handler()), 0, failed)
	serveHTTP(sideServer(listen.Ready, platform.ReadyHandler(e.node.Ready)), operatorConnections, failed)
	addresses := platform.AddressHandler(e.node.Addresses, e.addressTTL)
	serveHTTP(sideServer(listen.Addresses, addresses), addressConnections(e.settings.Load()), failed)
	if f.metricsPort != 0 {
		host, _, _ := net.SplitHostPort(listen.Callers)
		serveHTTP(sideServer(net.JoinHostPort(host, strconv.Itoa(f.metricsPort)), e.metricsHandler()), operatorConnections, failed)
	}
	go e.node.Run(background)
	go e.transport.Run(background)
	go e.flushLogsRegularly(background)
	go e.watchReload(background, f)
	go func() {
		if err := e.server.Serve(callers); err != nil {
			failed <- err
		}
	}()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return e.stop(callers)
}

// serveHTTP serves until the process ends, on a limited number of connections unless connections is 0.
func serveHTTP(server *http.Server, connections int, failed chan<- error) {
	server.MaxHeaderBytes = sideHeaderBytes
	go func() {
		l, err := net.Listen("tcp", server.Addr)
		if err == nil {
			if connections > 0 {
				l = newLimitedListener(l, connections)
			}
			err = server.Serve(l)
		}
		if !errors.Is(err, http.ErrServerClosed) {
			failed <- fmt.Errorf("serve %s: %w", server.Addr, err)
		}
	}()
}

// peerServer serves other entries, which keep their links and send batches of records.
func peerServer(address string, h http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
}

// sideServer serves requests without bodies that are answered at once.
func sideServer(address string, h http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: h, ReadTimeout: sideTimeout, IdleTimeout: sideTimeout, WriteTimeout: 2 * sideTimeout}
}

// stop serves callers that still have this entry's address, then closes the listener and finishes what runs.
func (e *entry) stop(callers net.Listener) error {
	grace := time.Duration(e.settings.Load().Bounds.Grace)
	now := time.Now()
	e.log.Info().Str("event", "stop").Dur("grace", grace).Msg("stopping")
	e.server.Leave(shutdownPlan(now, grace))
	e.node.Leave()
	time.Sleep(time.Duration(serveAfterStop * float64(grace)))
	if err := ingress.StopAccepting(callers); err != nil {
		e.log.Warn().Err(err).Msg("close the callers' listener")
	}
	if err := e.server.Drain(); err != nil {
		e.log.Warn().Err(err).Msg("stopped with open connections")
	}
	return nil
}

// shutdownPlan returns the schedule for a process that is killed when the grace period after now is over.
func shutdownPlan(now time.Time, grace time.Duration) ingress.Shutdown {
	return ingress.Shutdown{
		AcceptAllUntil: now.Add(time.Duration(acceptAllAfterStop * float64(grace))),
		End:            now.Add(grace - stopMargin),
	}
}

// flushLogs writes what was logged since the last call.
func (e *entry) flushLogs(now time.Time) error {
	return errors.Join(e.decisions.Flush(now), e.out.Flush())
}

// endFlushTimeout bounds the wait for a reader of the log that has stopped, when the process ends.
const endFlushTimeout = 300 * time.Millisecond

// flushLogsAtEnd writes the last lines unless the reader of the log has stopped.
func (e *entry) flushLogsAtEnd() error {
	done := make(chan error, 1)
	go func() { done <- e.flushLogs(time.Now()) }()
	select {
	case err := <-done:
		return err
	case <-time.After(endFlushTimeout):
		return errors.New("the last log lines were not written: the log isn't read")
	}
}

// flushLogsRegularly is the only goroutine that waits for a reader of the log.
func (e *entry) flushLogsRegularly(ctx context.Context) {
	pause.Every(ctx, telemetry.DecisionInterval, func(now time.Time) {
		if err := e.flushLogs(now); err != nil {
			e.log.Warn().Err(err).Msg("log not written")
		}
	})
}
