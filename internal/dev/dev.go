package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/entry"
	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/internal/pause"
	"boragehinge.example/boragehinge/internal/settings"
	"boragehinge.example/boragehinge/inventory"
)

const (
	// keepSeconds is how long callers keep addresses; short, so that Ctrl-C ends within seconds.
	keepSeconds = 2
	stopSeconds = 30
	readyLimit  = 30 * time.Second
	portsApart  = 10 // between the callers' ports of two entries
)

// Options of an installation.
type Options struct {
	Inventory *model.Inventory
	Entries   int       // 0: one per data centre
	Ports     Ports     // zero fields take free ports
	Log       io.Writer // log lines of the entries
	LogLevel  string    // debug, info, warn or error; empty means warn
	Seed      uint64    // of the emulated upstreams
	Operator  string    // of the first configuration; empty means dev
	// Observe receives the events of the emulated upstreams; may be nil.
	Observe func(upstream string, e emulator.Event)
	// PeerPath opens an address through which the other entries reach the peers' port of a host, and returns it with a
	// function that takes the address of that port. Nil leaves the port itself.
	PeerPath func(host string) (address string, listening func(address string), err error)
}

// Ports are the first ports in use. Entry i listens for callers on Callers+10*i, for peers on the next port, and for
// operators on the one after that.
type Ports struct{ Platform, Callers int }

// Installation is a running installation.
type Installation struct {
	Platform    *standin.Server
	PlatformURL string
	Entries     []*Entry // changed by ReplaceEntry; List is safe beside it

	options    Options
	mu         sync.Mutex // guards Entries against ReplaceEntry
	upstreams  *upstreams
	server     *http.Server
	cut        context.CancelFunc
	cutContext context.Context //nolint:containedctx // parent of the entries that start later
	stop       context.CancelFunc
	stopped    chan struct{}
	runs       sync.WaitGroup
	failures   chan error
}

// Entry is one entry of an installation.
type Entry struct {
	*entry.Entry
	Host, DataCentre                  string
	Callers, PeerAddress, OperatorsAt string
	stop, kill                        context.CancelFunc
	ended                             chan struct{}
	killed                            atomic.Bool
	err                               error // set before ended is closed
}

// Start starts everything and returns when all entries have the first configuration in force. Stop must follow.
func Start(ctx context.Context, o Options) (*Installation, error) {
	in := &Installation{stopped: make(chan struct{}), failures: make(chan error, 64)}
	if err := in.start(ctx, o); err != nil {
		return nil, errors.Join(err, in.Kill())
	}
	return in, nil
}

func (in *Installation) start(ctx context.Context, o Options) error {
	in.upstreams = newUpstreams(o.Seed, o.Observe)
	if err := in.upstreams.ensure(o.Inventory); err != nil {
		return err
	}
	if err := in.startPlatform(ctx, o); err != nil {
		return err
	}
	if err := in.startEntries(o); err != nil {
		return err
	}
	return in.awaitReady(ctx)
}

func (in *Installation) startPlatform(ctx context.Context, o Options) error {
	in.Platform = standin.New(nil)
	ln, err := net.Listen("tcp", loopback(o.Ports.Platform))
	if err != nil {
		return fmt.Errorf("platform stand-in: %w", err)
	}
	in.PlatformURL = "http://" + ln.Addr().String()
	in.server = &http.Server{Handler: in.Platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	in.runs.Go(func() { _ = in.server.Serve(ln) })
	if o.Operator == "" {
		o.Operator = "dev"
	}
	data, err := inventory.EncodeJSON(o.Inventory)
	if err != nil {
		return err
	}
	_, err = configlog.Submit(ctx, in.Platform, configlog.NewFold(), configlog.Submission{
		ChangeID: configlog.NewChangeID(), Operator: o.Operator, Inventory: data,
	})
	return err
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// startEntries opens all ports before any entry runs, because the host list names them.
func (in *Installation) startEntries(o Options) error {
	cut, cutNow := context.WithCancel(context.Background())
	in.cut, in.cutContext, in.options = cutNow, cut, o
	running, stop := context.WithCancel(context.Background())
	in.stop = stop
	centres := dataCentres(o.Inventory)
	if o.Entries == 0 {
		o.Entries = len(centres)
	}
	for i := range o.Entries {
		e, err := newEntry(o, i, centres[i%len(centres)], in.PlatformURL)
		if err != nil {
			return err
		}
		in.Entries = append(in.Entries, e)
	}
	in.setHosts(nil, logservice.HostLive)
	for _, e := range in.Entries {
		in.run(cut, e)
	}
	in.runs.Go(func() { in.followUpstreams(running) })
	return nil
}

func newEntry(o Options, i int, dc, platformURL string) (*Entry, error) {
	port := func(n int) string {
		if o.Ports.Callers == 0 {
			return loopback(0)
		}
		return loopback(o.Ports.Callers + portsApart*i + n)
	}
	level := o.LogLevel
	if level == "" {
		level = "warn"
	}
	log := o.Log
	switch {
	case log == nil:
		log = io.Discard
	case level == "warn" || level == "error":
		log = withoutDecisions{log}
	}
	host := fmt.Sprintf("entry-%02d", i+1)
	advertise, listening := "", func(string) {}
	if o.PeerPath != nil {
		var err error
		if advertise, listening, err = o.PeerPath(host); err != nil {
			return nil, fmt.Errorf("%s: %w", host, err)
		}
	}
	e, err := entry.New(settings.Settings{
		Host: host, DataCentre: dc, CallersListen: port(0), PeersListen: port(1), PeersAdvertise: advertise, OperatorsListen: port(2),
		PlatformUrl: platformURL, InsecureLoopback: true, LogLevel: settings.SettingsLogLevel(level),
		DecisionLogPerSecond: 200, MaxHeaderBytes: 64 << 10, MaxBodyBytes: 1 << 30,
		AddressKeepSeconds: keepSeconds, StopTimeoutSeconds: stopSeconds,
	}, entry.WithLog(log))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", host, err)
	}
	callers, peers, operators := e.Addresses()
	listening(peers)
	if advertise != "" {
		peers = advertise
	}
	return &Entry{
		Entry: e, Host: host, DataCentre: dc, Callers: callers, PeerAddress: peers, OperatorsAt: operators,
		stop: func() {}, kill: func() {}, ended: make(chan struct{}),
	}, nil
}

func (in *Installation) run(cut context.Context, e *Entry) { //nolint:gosec // kill and stop are called by Kill
	ctx, stop := context.WithCancel(context.Background())
	cut, kill := context.WithCancel(cut)
	e.stop, e.kill = stop, kill
	in.runs.Go(func() {
		defer close(e.ended)
		defer kill()
		if err := e.Run(ctx, cut); err != nil && !e.killed.Load() {
			e.err = fmt.Errorf("%s: %w", e.Host, err)
			select {
			case in.failures <- e.err:
			default:
			}
		}
	})
}

func dataCentres(inv *model.Inventory) []string {
	var out []string
	for _, dc := range inventory.NewSnapshot(0, inv).DataCentres() {
		out = append(out, dc.Name)
	}
	return out
}

func (in *Installation) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, e := range in.Entries {
		for {
			ok, why := e.Ready()
			if ok {
				ok, why = in.joined(e)
			}
			if ok {
				break
			}
			if err := pause.Sleep(ctx, 20*time.Millisecond); err != nil {
				return fmt.Errorf("%s is not ready: %s", e.Host, why)
			}
		}
	}
	return nil
}

// joined reports whether an entry knows all others and their configuration.
func (in *Installation) joined(e *Entry) (bool, string) {
	s := e.State()
	if len(s.Members) < len(in.Entries) {
		return false, fmt.Sprintf("it knows %d of %d entries", len(s.Members), len(in.Entries))
	}
	if s.Configuration.LowestVersion < s.Configuration.Version {
		return false, "the configuration is not in force everywhere"
	}
	return true, ""
}

// followUpstreams starts the upstreams that later configurations add.
func (in *Installation) followUpstreams(ctx context.Context) {
	version := int64(0)
	for pause.Sleep(ctx, 100*time.Millisecond) == nil {
		snapshot := in.List()[0].Snapshot()
		if snapshot == nil || snapshot.Version() == version {
			continue
		}
		version = snapshot.Version()
		if err := in.upstreams.ensure(snapshot.Inventory()); err != nil {
			select {
			case in.failures <- err:
			default:
			}
		}
	}
}

// Stop stops in order: the entries one after another as planned, then the upstreams and the platform. The end of ctx
// cuts what still runs.
func (in *Installation) Stop(ctx context.Context) error {
	for _, e := range in.List() {
		e.stop()
	}
	for _, e := range in.List() {
		select {
		case <-e.ended:
		case <-ctx.Done():
			in.cut()
		}
	}
	return in.Kill()
}

// Kill ends everything at once. It returns the failures so far.
func (in *Installation) Kill() error {
	if in.cut != nil {
		in.cut()
		in.stop()
	}
	for _, e := range in.List() {
		e.stop()
		_ = e.Close()
	}
	if in.upstreams != nil {
		in.upstreams.close()
	}
	if in.server != nil {
		_ = in.server.Close()
	}
	in.runs.Wait()
	var errs []error
	for {
		select {
		case err := <-in.failures:
			errs = append(errs, err)
		default:
			return errors.Join(errs...)
		}
	}
}

// CallerAddresses returns the callers' ports of all entries.
func (in *Installation) CallerAddresses() []string {
	var out []string
	for _, e := range in.List() {
		out = append(out, e.Callers)
	}
	return out
}

// OperatorAddresses returns the operators' ports of all entries.
func (in *Installation) OperatorAddresses() []string {
	var out []string
	for _, e := range in.List() {
		out = append(out, e.OperatorsAt)
	}
	return out
}
