package capacity

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"boragehinge.example/boragehinge/entry"
	"boragehinge.example/boragehinge/internal/discovery"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/internal/settings"
	"boragehinge.example/boragehinge/inventory"
)

// daemonUpstreams and daemonSlots are the upstreams of the only pool of the daemons, and the slots of each.
const (
	daemonUpstreams = 25
	daemonSlots     = 64
)

// readyLimit bounds the wait for daemons that are ready and have ended the cold start of their upstreams.
const readyLimit = 30 * time.Second

var errNotReady = errors.New("the daemons didn't become ready")

// startDaemon runs package entry as it is, but for the log, which goes nowhere.
func startDaemon(set roleSettings, enc *json.Encoder) (func(Usage) Usage, error) {
	e, err := entry.New(settings.Settings{
		Host: set.Host, DataCentre: dataCentreName(0), CallersListen: "127.0.0.1:0", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
		PlatformUrl: set.Platform, InsecureLoopback: true, LogLevel: "info", DecisionLogPerSecond: 100, MaxHeaderBytes: 32768,
		MaxBodyBytes: 1 << 30, AddressKeepSeconds: 10, StopTimeoutSeconds: 60,
	}, entry.WithLog(io.Discard))
	if err != nil {
		return nil, err
	}
	go func() { _ = e.Run(context.Background(), context.Background()) }()
	callers, peers, _ := e.Addresses()
	return func(u Usage) Usage { return u }, enc.Encode(roleStarted{Callers: callers, Peers: peers})
}

// measureDaemon fits the CPU time of two daemons of one data centre, with all that package entry does, to the calls
// per second: at the owner of the only pool, and at the other one as ingress.
func measureDaemon(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		if err := measureDaemons(ctx, o, r); err != nil {
			return err
		}
	}
	return nil
}

func measureDaemons(ctx context.Context, o Options, r *Report) error {
	w, err := o.newDaemons(ctx)
	if err != nil {
		return err
	}
	defer w.stop()
	for _, callers := range []int{1, 5, 20, 40, 80} {
		for _, kind := range []string{kindDirect, kindForwarded, kindRegistered} {
			if err := measureRate(ctx, o, r, "daemon", w, callRun{kind, callers, 25}); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureRest measures the owner of one pool and the other daemon without calls.
func measureRest(ctx context.Context, o Options, r *Report) error {
	for range o.Repeats {
		w, err := o.newDaemons(ctx)
		if err != nil {
			return err
		}
		err = w.measureRest(o, r)
		w.stop()
		if err != nil {
			return err
		}
	}
	return nil
}

func (w *world) measureRest(o Options, r *Report) error {
	time.Sleep(settle)
	before, err := w.read(commandCollect)
	if err != nil {
		return err
	}
	time.Sleep(o.Time)
	after, err := w.read(commandUsage)
	if err != nil {
		return err
	}
	add := func(role string, a, b Usage) {
		r.add("rest", "CPU without calls, "+role, "ms/s", "daemons", 2, millis(b.CPU-a.CPU)/o.Time.Seconds())
		r.add("rest", "memory in use, "+role, "KiB", "daemons", 2, float64(a.InUse)/1024)
		r.add("rest", "resident memory, "+role, "KiB", "daemons", 2, float64(a.Resident)/1024)
		r.add("rest", "goroutines, "+role, "", "daemons", 2, float64(a.Goroutines))
	}
	add("owner of a pool", before.owner, after.owner)
	add("owner of no pool", before.ingress, after.ingress)
	return nil
}

// newDaemons starts upstreams, two daemons and a stand-in of the platform, which ends with ctx.
func (o Options) newDaemons(ctx context.Context) (*world, error) {
	w := &world{}
	log := standin.New(nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: log.Handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	w.closers = append(w.closers, func() { _ = server.Close() })
	if w.upstreams, err = o.start(ctx, roleSettings{Role: "upstreams", Count: daemonUpstreams, Slots: daemonSlots}); err != nil {
		w.stop()
		return nil, err
	}
	if err := appendInventory(ctx, log, w.upstreams.started.Addresses); err != nil {
		w.stop()
		return nil, err
	}
	var both []*process
	for _, host := range []string{"h-0", "h-1"} {
		p, err := o.start(ctx, roleSettings{Role: "daemon", Host: host, Platform: "http://" + ln.Addr().String()})
		if err != nil {
			w.stop()
			return nil, err
		}
		w.closers = append(w.closers, p.stop)
		both = append(both, p)
	}
	if err := listHosts(log, both); err != nil {
		w.stop()
		return nil, err
	}
	if err := w.awaitDaemons(ctx, both); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func appendInventory(ctx context.Context, log logservice.Log, addresses []string) error {
	inv := synthetic(1, 0)
	inv.Rules = nil
	s := &inv.Services[0]
	s.Slots = ptr(daemonSlots)
	for i, a := range addresses {
		s.Upstreams = append(s.Upstreams, model.Upstream{Name: fmt.Sprintf("u-%03d", i), Address: a, DataCentre: dataCentreName(0), Version: "4.0"})
	}
	encoded, err := inventory.EncodeJSON(inv)
	if err != nil {
		return err
	}
	record, err := changeRecord(0, encoded)
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, record)
	return err
}

func listHosts(log *standin.Server, both []*process) error {
	var hosts []logservice.Host
	for i, p := range both {
		hosts = append(hosts, logservice.Host{Name: fmt.Sprintf("h-%d", i), DataCentre: dataCentreName(0), Address: p.started.Peers, State: logservice.HostLive})
	}
	body, err := json.Marshal(map[string]any{"hosts": hosts})
	if err != nil {
		return err
	}
	rec := httptest.NewRecorder()
	log.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodPut, "/hosts", strings.NewReader(string(body))))
	if rec.Code >= http.StatusMultipleChoices {
		return fmt.Errorf("host list of the stand-in: status %d", rec.Code)
	}
	return nil
}

// awaitDaemons waits until both daemons name the same owner first, and until the cold start of its upstreams is over.
func (w *world) awaitDaemons(ctx context.Context, both []*process) error {
	for deadline := time.Now().Add(readyLimit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(settle) {
		first, err1 := askAddresses(ctx, both[0].started.Callers)
		second, err2 := askAddresses(ctx, both[1].started.Callers)
		if errors.Join(err1, err2) != nil || len(first.Addresses) < 2 || len(second.Addresses) < 2 {
			continue
		}
		if first.Addresses[0].Address != second.Addresses[0].Address || first.Addresses[1].RequestIDPrefix == "" {
			continue
		}
		w.owner, w.ingress = both[0], both[1]
		if first.Addresses[0].Address == both[1].started.Callers {
			w.owner, w.ingress = both[1], both[0]
		}
		w.ingress.started.Prefix = first.Addresses[1].RequestIDPrefix
		warm := callRun{kind: kindDirect, callers: 80, serviceMs: 25}.load(w)
		warm.run(ctx, 5*time.Second, 0)
		warm.client.CloseIdleConnections()
		return nil
	}
	return errNotReady
}

func askAddresses(ctx context.Context, address string) (discovery.Answer, error) {
	var a discovery.Answer
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+entry.AddressesPath+"?service=service-00", http.NoBody)
	if err != nil {
		return a, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return a, err
	}
	defer func() { _ = resp.Body.Close() }()
	return a, json.NewDecoder(resp.Body).Decode(&a)
}
