package conformance

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/adapter"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/transport"
)

// headerSend numbers the sendings of a call; it passes through to the upstream like any header of a caller.
const headerSend = "X-Send"

// runningEntry is one incarnation: real proxy, registry and connections; the choice of pools and slots is fixed.
type runningEntry struct {
	cluster     *onceCluster
	index       int
	incarnation string
	registry    *idempotency.Registry
	callers     string
	peer        string
	close       func()
}

// onceCluster is two entries, of which each owns one pool, and the upstreams of both pools.
type onceCluster struct {
	t         *testing.T
	upstreams []string
	emulators []*emulator.Server
	shift     atomic.Int64 // added to the entries' clock
	running   atomic.Int64 // requests at the upstreams

	mu         sync.Mutex
	entries    []*runningEntry
	executions []history

	faultsMu sync.Mutex
	faults   *rand.Rand
}

func startOnceCluster(t *testing.T, seed uint64) *onceCluster {
	c := &onceCluster{t: t, entries: make([]*runningEntry, 2), faults: rand.New(rand.NewPCG(seed, 3))}
	for range 2 {
		em := emulator.New(emulator.Config{Slots: 8, QueueLimit: 64})
		srv := httptest.NewServer(c.faulty(em))
		t.Cleanup(srv.Close)
		c.emulators = append(c.emulators, em)
		c.upstreams = append(c.upstreams, strings.TrimPrefix(srv.URL, "http://"))
	}
	for i := range c.entries {
		c.restart(i)
	}
	t.Cleanup(func() {
		for _, e := range c.entries {
			e.close()
		}
	})
	return c
}

// faulty is action execute and its neighbours in inline dispatch: a refusal, a connection lost before the upstream reads
// the call, one lost after which the upstream runs the call later, and an answer that is lost.
func (c *onceCluster) faulty(em *emulator.Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.running.Add(1)
		defer c.running.Add(-1)
		c.faultsMu.Lock()
		kind := c.faults.IntN(10)
		c.faultsMu.Unlock()
		run := func(w http.ResponseWriter) {
			c.executed(r.Header.Get(proxy.HeaderRequestID), r.Header.Get(headerSend))
			em.ServeHTTP(w, r.WithContext(context.WithoutCancel(r.Context()))) // runs although the caller has gone
		}
		switch kind {
		case 0, 8, 9:
			w.Header().Set(transport.HeaderNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			panic(http.ErrAbortHandler)
		case 2:
			time.Sleep(5 * time.Millisecond)
			run(httptest.NewRecorder())
			panic(http.ErrAbortHandler)
		case 3:
			time.Sleep(30 * time.Millisecond) // longer than the deadline of some calls
			run(w)
		default:
			run(w)
		}
	})
}

func (c *onceCluster) executed(id, send string) {
	at := time.Now().UnixNano()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions = append(c.executions, history{id: id, send: send, kind: execution, call: at, end: at})
}

func (c *onceCluster) now() time.Time { return time.Now().Add(time.Duration(c.shift.Load())) }

func (c *onceCluster) entry(i int) *runningEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

// restart is action crash: all connections are closed, and a new incarnation without records takes the place.
func (c *onceCluster) restart(i int) {
	e := &runningEntry{cluster: c, index: i, incarnation: idempotency.NewIncarnation()}
	e.registry = idempotency.NewRegistry(idempotency.Config{Incarnation: e.incarnation, RetainWindows: 2}, c.now())
	fast := transport.Config{NewConnsPerSecond: 1e6, NewConnsBurst: 1e6}
	upstreams, peers := transport.New(fast), transport.New(fast)
	p := proxy.New(proxy.Config{}, proxy.Deps{Directory: e, Registrar: registrar{e}, Pools: e, Slots: e, Retries: e,
		Poison: e, Upstreams: upstreams, Peers: peers})
	callers := proxy.NewServer(p, proxy.ServerConfig{})
	forwards := proxy.NewServer(http.HandlerFunc(p.ServeForward), proxy.ServerConfig{})
	e.callers, e.peer = listen(c.t, callers), listen(c.t, forwards)
	e.close = func() {
		_ = callers.Close()
		_ = forwards.Close()
		upstreams.Close()
		peers.Close()
	}
	c.mu.Lock()
	old := c.entries[i]
	c.entries[i] = e
	c.mu.Unlock()
	if old != nil {
		old.close()
	}
}

func listen(t *testing.T, s *proxy.Server) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String()
}

func (e *runningEntry) Resolve(*http.Request) (proxy.Target, bool) {
	return proxy.Target{Service: "orders", Route: "all", Class: "ordinary"}, true
}

func (e *runningEntry) Class(name string) (proxy.Class, bool) {
	return proxy.Class{Name: name, Priority: 1, Deadline: time.Second}, name == "ordinary"
}

func (e *runningEntry) KnownCustomer(string) bool { return true }

// Choose offers the pool of the first entry and then the one of the second, each once.
func (e *runningEntry) Choose(_ time.Time, _ *proxy.Call, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
	for i, id := range []string{"p0", "p1"} {
		if slices.ContainsFunc(tried, func(t proxy.FailedAttempt) bool { return t.Pool.ID == id }) {
			continue
		}
		owner := ""
		if i != e.index {
			owner = e.cluster.entry(i).peer
		}
		return proxy.Pool{ID: id, Version: "1", Owner: owner}, true
	}
	return proxy.Pool{}, false
}

func (e *runningEntry) UpdateSummary(time.Time, proxy.Pool, string) {}

func (e *runningEntry) Acquire(_ context.Context, pool string, _ *proxy.Call) (proxy.Grant, error) {
	i := slices.Index([]string{"p0", "p1"}, pool)
	if i != e.index {
		return proxy.Grant{}, &proxy.Refusal{Reason: proxy.ReasonWrongOwner}
	}
	return proxy.Grant{Pool: pool, Upstream: pool, Address: e.cluster.upstreams[i]}, nil
}

func (e *runningEntry) Finish(proxy.Grant, *proxy.Call, proxy.Result)                {}
func (e *runningEntry) Summary(string) string                                        { return "" }
func (e *runningEntry) MayRetry(time.Time, *proxy.Call, proxy.FailedAttempt) bool    { return true }
func (e *runningEntry) HedgeAfter(time.Time, *proxy.Call) (time.Duration, bool)      { return 0, false }
func (e *runningEntry) MayHedge(time.Time, *proxy.Call) bool                         { return false }
func (e *runningEntry) Observe(time.Time, *proxy.Call, proxy.Outcome, time.Duration) {}
func (e *runningEntry) Blocked(time.Time, string) bool                               { return false }
func (e *runningEntry) ConnectionLost(time.Time, string, string)                     {}

// registrar adapts a registry to the proxy.
type registrar struct{ *runningEntry }

func (r registrar) Begin(_ time.Time, call *proxy.Call) proxy.Verdict {
	v := r.registry.Begin(r.cluster.now(), call.RequestID)
	return adapter.Verdict(v, func(incarnation string) proxy.Verdict {
		for i := range 2 {
			if e := r.cluster.entry(i); e.incarnation == incarnation {
				return proxy.Verdict{Kind: proxy.VerdictForward, Peer: e.peer}
			}
		}
		return proxy.Verdict{Kind: proxy.VerdictUnknown}
	})
}

func (r registrar) Finish(_ time.Time, call *proxy.Call, a proxy.Answer) {
	r.registry.Finish(r.cluster.now(), call.RequestID, adapter.RecordedOutcome(a))
}
