package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/model"
	"boragehinge.example/boragehinge/internal/settings"
	"boragehinge.example/boragehinge/inventory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// patience bounds waits for something that must happen. It is no measure of speed.
const patience = 30 * time.Second

// world runs entries, a platform and upstreams in one process, over loopback.
type world struct {
	t        testing.TB
	platform *standin.Server
	web      *httptest.Server
	client   *http.Client
	ups      map[string]*emulator.Server

	mu      sync.Mutex
	entries []*runningEntry
	version int64
}

type runningEntry struct {
	*Entry
	host      string
	stop, cut context.CancelFunc
	done      chan struct{}
	err       error
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, platform: standin.New(nil), ups: map[string]*emulator.Server{}, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
	}}}
	w.web = httptest.NewServer(w.platform.Handler())
	t.Cleanup(w.close)
	return w
}

func (w *world) close() {
	w.client.CloseIdleConnections()
	for _, e := range w.entries {
		e.kill()
	}
	for _, u := range w.ups {
		u.Close()
	}
	w.web.CloseClientConnections()
	w.web.Close()
}

// kill ends an entry without any of the steps of a planned stop, as far as others can see.
func (r *runningEntry) kill() {
	select {
	case <-r.done:
		return
	default:
	}
	r.node.Mesh().Close()
	_ = r.callers.Close()
	_ = r.peers.Close()
	r.cut()
	r.stop()
	<-r.done
}

func (w *world) upstream(name string, cfg emulator.Config) *emulator.Server {
	cfg.Name = name
	u := emulator.New(cfg)
	require.NoError(w.t, u.Start("127.0.0.1:0"))
	w.ups[name] = u
	return u
}

// entry starts an entry. Callers keep its address for a short time, so that planned stops are short.
func (w *world) entry(host, dc string, change ...func(*Settings)) *runningEntry {
	s := settings.Settings{
		Host: host, DataCentre: dc, CallersListen: "127.0.0.1:0", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
		PlatformUrl: w.web.URL, InsecureLoopback: true, LogLevel: "info", DecisionLogPerSecond: 100, MaxHeaderBytes: 65536,
		MaxBodyBytes: 1 << 30, AddressKeepSeconds: 1, StopTimeoutSeconds: 60,
	}
	for _, f := range change {
		f(&s)
	}
	out := io.Discard
	if os.Getenv("ENTRY_TEST_LOG") != "" {
		out = os.Stderr
	}
	e, err := New(s, WithLog(out), func(o *options) {
		o.hostsEvery, o.stopMargin = 100*time.Millisecond, 200*time.Millisecond
		// All entries read the host list within 0.2 s of each other.
		o.membership.RosterHold = time.Second
		o.backoff = logservice.Backoff{Min: 20 * time.Millisecond, Max: 200 * time.Millisecond}
	})
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(context.Background())
	cutCtx, cut := context.WithCancel(context.Background())
	r := &runningEntry{Entry: e, host: host, stop: stop, cut: cut, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.err = e.Run(ctx, cutCtx)
	}()
	w.mu.Lock()
	w.entries = append(w.entries, r)
	w.mu.Unlock()
	w.listHosts()
	return r
}

// listHosts puts the running entries on the platform's list.
func (w *world) listHosts() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []logservice.Host
	for _, r := range w.entries {
		select {
		case <-r.done:
			continue
		default:
		}
		_, peers, _ := r.Addresses()
		hosts = append(hosts, logservice.Host{Name: r.host, DataCentre: r.set.DataCentre, Address: peers, State: logservice.HostLive})
	}
	body, err := json.Marshal(map[string]any{"hosts": hosts})
	require.NoError(w.t, err)
	req := httptest.NewRequest(http.MethodPut, "/hosts", bytes.NewReader(body))
	rec := httptest.NewRecorder()
	w.platform.Handler().ServeHTTP(rec, req)
	require.Less(w.t, rec.Code, 300)
}

// target describes one upstream of the service "orders".
type target struct{ name, dc, version string }

// inventory returns an inventory of one service in the data centres dc-1 and dc-2, with more rules appended.
func (w *world) inventory(rules string, targets ...target) string {
	text := `schemaVersion: 1
sites:
  - name: site
    region: region
    dataCentres: [{name: dc-1, delaysMs: {dc-2: 0.5}}, {name: dc-2, delaysMs: {dc-1: 0.5}}]
classes:
  - {name: urgent, priority: 0, deadlineMs: 5000}
  - {name: ordinary, priority: 4, deadlineMs: 20000}
services:
  - name: orders
    match: {pathPrefix: /}
    defaultClass: ordinary
    slots: 4
    routes:
      - {name: orders, pathPrefix: /orders, methods: [POST], idempotent: false}
    upstreams:
`
	for _, t := range targets {
		text += fmt.Sprintf("      - {name: %s, address: %q, dataCentre: %s, version: %q}\n", t.name, w.ups[t.name].Address(), t.dc, t.version)
	}
	return text + rules
}

// apply submits a configuration and returns its version.
func (w *world) apply(text string) int64 {
	inv, findings := inventory.Check("test.yaml", []byte(text), time.Now())
	require.Empty(w.t, findings)
	return w.submit(inv)
}

func (w *world) submit(inv *model.Inventory) int64 {
	raw, err := inventory.EncodeJSON(inv)
	require.NoError(w.t, err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	fold, err := configlog.Load(ctx, w.platform)
	require.NoError(w.t, err)
	d, err := configlog.Submit(ctx, w.platform, fold, configlog.Submission{
		ChangeID: configlog.NewChangeID(), Base: fold.Current().Offset, Operator: "test", Inventory: raw,
	})
	require.NoError(w.t, err)
	require.True(w.t, d.Accepted)
	w.version = d.Version
	return d.Version
}

func (w *world) eventually(what string, f func() bool) {
	w.t.Helper()
	require.Eventually(w.t, f, patience, 10*time.Millisecond, what)
}

// settled waits until all given entries know each other, hold the configuration and have a confirmed view.
func (w *world) settled(list ...*runningEntry) {
	w.t.Helper()
	for _, e := range list {
		w.eventually("ready and confirmed: "+e.host, func() bool {
			v := e.node.View()
			ok, _ := e.Ready()
			return ok && len(v.Members) == len(list) && int64(v.LowestVersion) >= w.version && time.Now().Before(v.ConfirmedUntil)
		})
	}
}

// answer is what a caller received.
type answer struct {
	status          int
	outcome, reason string
	upstream        string
	id              string
	err             error
}

// call sends a request to an entry.
func (w *world) call(e *runningEntry, method, path string, header map[string]string) answer {
	callers, _, _ := e.Addresses()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callers+path, http.NoBody)
	if err != nil {
		return answer{err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // read below
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{
		status: resp.StatusCode, outcome: resp.Header.Get("Boragehinge-Outcome"), reason: resp.Header.Get("Boragehinge-Reason"),
		upstream: resp.Header.Get("X-Upstream"), id: resp.Header.Get(emulator.HeaderEcho), err: err,
	}
}

func (w *world) executions(id string) (n int) {
	for _, u := range w.ups {
		n += u.Executions(id).Begun
	}
	return n
}

// owner returns the entry that owns the only pool of a data centre.
func (w *world) owner(dc string, list ...*runningEntry) *runningEntry {
	for _, e := range list {
		if o := e.ownership.find("orders/" + dc + "/0"); o != nil && o.lostAt.Load() == 0 {
			return e
		}
	}
	return nil
}

func (a answer) assertDone(t *testing.T) {
	t.Helper()
	require.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status, "%+v", a)
	assert.Equal(t, "done", a.outcome)
}
