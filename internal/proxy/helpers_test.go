package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/transport"

	"github.com/stretchr/testify/require"
)

// fakePolicy implements the interfaces in Deps for tests. It tries pools and upstreams in order.
type fakePolicy struct {
	mu            sync.Mutex
	pools         []Pool
	upstreams     map[string][]string // addresses by pool
	slots         int                 // per pool, 0 means no limit
	open          int
	results       []Result
	summaries     []string
	lost          []string // upstreams reported to ConnectionLost
	blocked       map[string]bool
	records       map[string]*record
	registrarPeer string // peer address of the entry that registers all IDs
	mayRetry      bool
	retries       int
	hedgeAfter    time.Duration
	hedges        int
	observed      []Outcome
	panicOnPath   string
}

type record struct {
	answer *Answer
	done   chan struct{}
}

func newFakePolicy() *fakePolicy {
	return &fakePolicy{upstreams: map[string][]string{}, blocked: map[string]bool{}, records: map[string]*record{}, mayRetry: true}
}

func (d *fakePolicy) addUpstream(pool, address string) *fakePolicy {
	if d.upstreams[pool] == nil {
		d.pools = append(d.pools, Pool{ID: pool, Version: "v1"})
	}
	d.upstreams[pool] = append(d.upstreams[pool], address)
	return d
}

func (d *fakePolicy) Resolve(r *http.Request) (Target, bool) {
	if d.panicOnPath != "" && r.URL.Path == d.panicOnPath {
		panic("broken directory")
	}
	if strings.HasPrefix(r.URL.Path, "/none") {
		return Target{}, false
	}
	t := Target{Service: "svc", Route: "default", Class: "ordinary"}
	if strings.HasPrefix(r.URL.Path, "/lookup") {
		yes := true
		t.Idempotent = &yes
	}
	return t, true
}

func (d *fakePolicy) Class(name string) (Class, bool) {
	switch name {
	case "ordinary":
		return Class{Name: name, Priority: 1, Deadline: 10 * time.Second}, true
	case "urgent":
		return Class{Name: name, Deadline: 5 * time.Second, Hedge: true}, true
	}
	return Class{}, false
}

func (d *fakePolicy) KnownCustomer(name string) bool { return name == "loans" }

func (d *fakePolicy) Begin(_ time.Time, c *Call) Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registrarPeer != "" {
		return Verdict{Kind: VerdictForward, Peer: d.registrarPeer}
	}
	if strings.HasPrefix(c.RequestID, "old") {
		return Verdict{Kind: VerdictUnknown}
	}
	rec := d.records[c.RequestID]
	switch {
	case rec == nil:
		d.records[c.RequestID] = &record{done: make(chan struct{})}
		return Verdict{Kind: VerdictRun}
	case rec.answer == nil:
		return Verdict{Kind: VerdictWait, Done: rec.done}
	}
	return Verdict{Kind: VerdictReplay, Answer: rec.answer}
}

func (d *fakePolicy) Finish(g Grant, _ *Call, r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.results = append(d.results, r)
}

// registrar implements Registrar. It is a type of its own because Registrar and Slots both have a method Finish.
type registrar struct{ *fakePolicy }

func (r registrar) Finish(_ time.Time, c *Call, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[c.RequestID]
	close(rec.done)
	if a.Outcome == NotRun {
		delete(r.records, c.RequestID)
		return
	}
	rec.answer = &a
}

func (d *fakePolicy) Choose(_ time.Time, c *Call, tried []FailedAttempt) (Pool, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, pool := range d.pools {
		left := len(d.upstreams[pool.ID])
		if pool.Owner != "" {
			left = 1
		}
		for _, t := range tried {
			if t.Pool.ID == pool.ID {
				left--
				if t.Upstream == "" {
					left = 0
				}
			}
		}
		if left > 0 {
			return pool, true
		}
	}
	return Pool{}, false
}

func (d *fakePolicy) UpdateSummary(_ time.Time, _ Pool, summary string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summaries = append(d.summaries, summary)
}

func (d *fakePolicy) Acquire(_ context.Context, pool string, c *Call) (Grant, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.slots > 0 && d.open >= d.slots {
		return Grant{}, &Refusal{Reason: "overload", RetryAfter: 2 * time.Second}
	}
	for _, address := range d.upstreams[pool] {
		excluded := false
		for _, e := range c.Exclude {
			excluded = excluded || e == address
		}
		if !excluded {
			d.open++
			return Grant{Pool: pool, Upstream: address, Address: address}, nil
		}
	}
	return Grant{}, &Refusal{Reason: ReasonWrongOwner, RetryAfter: time.Second}
}

func (d *fakePolicy) Summary(string) string { return "slots=3" }

func (d *fakePolicy) MayRetry(time.Time, *Call, FailedAttempt) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retries++
	return d.mayRetry
}

func (d *fakePolicy) HedgeAfter(time.Time, *Call) (time.Duration, bool) {
	return d.hedgeAfter, d.hedgeAfter > 0
}

func (d *fakePolicy) MayHedge(time.Time, *Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hedges++
	return true
}

func (d *fakePolicy) Observe(_ time.Time, _ *Call, o Outcome, _ time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observed = append(d.observed, o)
}

func (d *fakePolicy) Blocked(_ time.Time, fingerprint string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.blocked[fingerprint]
}

func (d *fakePolicy) ConnectionLost(_ time.Time, _, upstream string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost = append(d.lost, upstream)
}

func (d *fakePolicy) openGrants() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

func (d *fakePolicy) lastResult() Result {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.results[len(d.results)-1]
}

// entry is a running proxy with a port for callers and one for peers.
type entry struct {
	*fakePolicy
	callers *Server
	address string
	peer    string
}

func startEntry(t testing.TB, d *fakePolicy, cfg Config, scfg ServerConfig) *entry {
	t.Helper()
	fast := transport.Config{NewConnsPerSecond: 1e6, NewConnsBurst: 1e6}
	upstreams, peers := transport.New(fast), transport.New(fast)
	p := New(cfg, Deps{Directory: d, Registrar: registrar{d}, Pools: d, Slots: d, Retries: d, Poison: d,
		Upstreams: upstreams, Peers: peers})
	e := &entry{fakePolicy: d, callers: NewServer(p, scfg)}
	e.address = serve(t, e.callers)
	forwards := NewServer(http.HandlerFunc(p.ServeForward), ServerConfig{})
	e.peer = serve(t, forwards)
	t.Cleanup(func() {
		_ = e.callers.Close()
		_ = forwards.Close()
		upstreams.Close()
		peers.Close()
	})
	return e
}

func serve(t testing.TB, s *Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String()
}

func startUpstream(t testing.TB, cfg emulator.Config) *emulator.Server {
	t.Helper()
	s := emulator.New(cfg)
	require.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Close)
	return s
}

// startHandler starts an upstream that serves the given handler.
func startHandler(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func refusingAddress(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	return ln.Addr().String()
}

type reply struct {
	status  int
	header  http.Header
	body    string
	trailer http.Header
}

func (r reply) outcome() Outcome { return Outcome(r.header.Get(HeaderOutcome)) }
func (r reply) reason() Reason   { return Reason(r.header.Get(HeaderReason)) }

func newCall(t testing.TB, address, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, reader)
	require.NoError(t, err)
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	return r
}

// send makes a call over a new connection.
func send(t testing.TB, r *http.Request) (reply, error) {
	t.Helper()
	return sendBy(t, &http.Transport{DisableKeepAlives: true}, r)
}

func sendBy(t testing.TB, rt http.RoundTripper, r *http.Request) (reply, error) {
	t.Helper()
	resp, err := rt.RoundTrip(r)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), resp.Trailer}, err
}

func mustSend(t testing.TB, r *http.Request) reply {
	t.Helper()
	got, err := send(t, r)
	require.NoError(t, err)
	return got
}

func http2Client(t testing.TB) *http.Transport {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Transport{Protocols: protocols}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func eventually(t testing.TB, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 10*time.Second, time.Millisecond)
}

// startFixedUpstream answers each read with the same response, without allocations.
func startFixedUpstream(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Type: text/plain\r\n" +
		"Boragehinge-Load: in-flight=1,queued=0,cold=false,draining=false,seq=1\r\n\r\nanswer")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for {
					if _, err := c.Read(buf); err != nil {
						return
					}
					_, _ = c.Write(response)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
