package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/internal/transport"

	"github.com/stretchr/testify/require"
)

// Guards against a call that fails although another upstream could run it, and against a retry of a call that may have
// run.
func TestRetries(t *testing.T) {
	healthy := startUpstream(t, emulator.Config{})
	shedding := startUpstream(t, emulator.Config{})
	require.NoError(t, shedding.SetFaults(emulator.Faults{Shed: true}))
	plain503 := startUpstream(t, emulator.Config{})
	require.NoError(t, plain503.SetFaults(emulator.Faults{Shed: true, NoNotRunProof: true}))
	aborting := startHandler(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	readsFirst := startHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = r.Body.Read(make([]byte, 1))
		panic(http.ErrAbortHandler)
	})
	for _, tc := range []struct {
		name, first, method, path, body string
		budget                          bool
		status                          int
		outcome                         Outcome
		reason                          Reason
		retried                         bool
	}{
		{"refused connection", refusingAddress(t), "POST", "/x", "b", true, 200, Done, "", true},
		{"refused connection without budget", refusingAddress(t), "POST", "/x", "b", false, 503, NotRun, ReasonConnectFailed, false},
		{"upstream says not run", shedding.Address(), "POST", "/x", "b", true, 200, Done, "", true},
		{"a plain 503 is a response", plain503.Address(), "POST", "/x", "b", true, 503, Done, "", false},
		{"lost connection, not idempotent", aborting, "POST", "/x", "b", true, 502, Unknown, ReasonConnectionLost, false},
		{"lost connection, idempotent by method", aborting, "GET", "/x", "", true, 200, Done, "", true},
		{"lost connection, idempotent by route", aborting, "POST", "/lookup", "b", true, 200, Done, "", true},
		{"body too large to send again", readsFirst, "PUT", "/x", strings.Repeat("x", 300<<10), true, 502, Unknown, ReasonConnectionLost, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newFakePolicy().addUpstream("p", tc.first).addUpstream("p", healthy.Address())
			d.mayRetry = tc.budget
			e := startEntry(t, d, Config{}, ServerConfig{})
			got := mustSend(t, newCall(t, e.address, tc.method, tc.path, tc.body))
			require.Equal(t, tc.status, got.status, "%+v", got)
			require.Equal(t, tc.outcome, got.outcome())
			require.Equal(t, tc.reason, got.reason())
			require.Equal(t, tc.retried, got.header.Get(HeaderRetried) == "true")
			require.Equal(t, tc.outcome == NotRun, got.header.Get("Retry-After") != "" && got.outcome() != Done)
			eventually(t, func() bool { return e.openGrants() == 0 })
		})
	}
}

// Guards against "not run" for a call whose last attempt is known not to have run, but an earlier one may have.
func TestUnknownOutcomeIsKept(t *testing.T) {
	breaking := startHandler(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	d := newFakePolicy().addUpstream("p", breaking).addUpstream("p", refusingAddress(t))
	e := startEntry(t, d, Config{}, ServerConfig{})
	got := mustSend(t, newCall(t, e.address, "GET", "/x", ""))
	require.Equal(t, Unknown, got.outcome())
	require.Equal(t, ReasonConnectionLost, got.reason())
	require.Equal(t, []string{breaking}, d.lost)
}

// Guards against a refusal without reason or Retry-After, and against charging the retry budget when all pools are
// overloaded.
func TestRefusalBySlots(t *testing.T) {
	u := startUpstream(t, emulator.Config{})
	d := newFakePolicy().addUpstream("p", u.Address()).addUpstream("q", u.Address())
	d.slots, d.open = 1, 1
	e := startEntry(t, d, Config{}, ServerConfig{})
	got := mustSend(t, newCall(t, e.address, "POST", "/x", "b"))
	require.Equal(t, 503, got.status)
	require.Equal(t, NotRun, got.outcome())
	require.Equal(t, "2", got.header.Get("Retry-After"))
	require.Zero(t, d.retries)
	d.blocked["bad"] = true
	got = mustSend(t, newCall(t, e.address, "POST", "/x", "b", HeaderRequestID, "bad"))
	require.Equal(t, ReasonPoison, got.reason())
	require.Equal(t, 429, localReply{outcome: NotRun, reason: ReasonCustomerLimit}.status())
	runs, _ := u.Totals()
	require.Zero(t, runs.Begun)
}

// Guards against running a registered call twice: resends must wait for the first attempt and get its result.
func TestResends(t *testing.T) {
	u := startUpstream(t, emulator.Config{Slots: 10, Routes: []emulator.Route{{Prefix: "/slow",
		Time: emulator.Distribution{Typical: 200 * time.Millisecond}}}})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			got, err := send(t, newCall(t, e.address, "POST", "/slow", "order", HeaderRequestID, "order-1"))
			if err != nil || got.body != "order-1 POST /slow\n" || got.outcome() != Done {
				t.Errorf("resend returned error %v, body %q", err, got.body)
			}
		})
	}
	wg.Wait()
	require.Equal(t, 1, u.Executions("order-1").Begun)
	big := mustSend(t, newCall(t, e.address, "POST", "/archive/100000", "", HeaderRequestID, "big"))
	require.Len(t, big.body, 100000)
	eventually(t, func() bool { return e.openGrants() == 0 })
	again := mustSend(t, newCall(t, e.address, "POST", "/archive/100000", "", HeaderRequestID, "big"))
	require.Equal(t, 409, again.status)
	require.Equal(t, Done, again.outcome())
	require.Equal(t, ReasonResultGone, again.reason())
	old := mustSend(t, newCall(t, e.address, "POST", "/x", "", HeaderRequestID, "old-1"))
	require.Equal(t, 409, old.status)
	require.Equal(t, Unknown, old.outcome())
	require.Equal(t, 1, u.Executions("big").Begun)
	require.Zero(t, u.Executions("old-1").Begun)
}

// Guards against upstream work for callers that have disconnected, and against a registered call that is cancelled when
// its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	u := startUpstream(t, emulator.Config{Slots: 10, Routes: []emulator.Route{
		{Prefix: "/slow", Time: emulator.Distribution{Typical: 300 * time.Millisecond}},
		{Prefix: "/endless", Time: emulator.Distribution{Typical: time.Hour}}}})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{HTTP2: true})
	disconnect := func(rt http.RoundTripper, path, id string) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			for u.Executions(id).Begun == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		_, err := sendBy(t, rt, newCall(t, e.address, "POST", path, "b", HeaderRequestID, id,
			HeaderIdempotent, fmt.Sprint(path == "/endless")).WithContext(ctx))
		require.Error(t, err)
	}
	for name, rt := range map[string]http.RoundTripper{"h1": &http.Transport{DisableKeepAlives: true}, "h2": http2Client(t)} {
		disconnect(rt, "/endless", "left-"+name)
		eventually(t, func() bool { return u.Executions("left-"+name).Cancelled == 1 })
		disconnect(rt, "/slow", "kept-"+name)
		got := mustSend(t, newCall(t, e.address, "POST", "/slow", "b", HeaderRequestID, "kept-"+name))
		require.Equal(t, "kept-"+name+" POST /slow\n", got.body)
		require.Equal(t, emulator.Execution{Begun: 1, Completed: 1}, u.Executions("kept-"+name))
	}
	eventually(t, func() bool { return e.openGrants() == 0 })
}

// Guards against calls that exceed their deadline, and against "not run" for a call that was running.
func TestDeadline(t *testing.T) {
	unresponsive := startHandler(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e := startEntry(t, newFakePolicy().addUpstream("p", unresponsive), Config{}, ServerConfig{})
	got := mustSend(t, newCall(t, e.address, "POST", "/endless", "b", HeaderDeadline, "100"))
	require.Equal(t, 504, got.status)
	require.Equal(t, Unknown, got.outcome())
	require.Equal(t, ReasonDeadline, got.reason())
	require.Equal(t, ResultTimedOut, e.lastResult().Kind)
	got = mustSend(t, newCall(t, e.address, "POST", "/x", "b", HeaderDeadline, "1"))
	require.Equal(t, NotRun, got.outcome(), "a deadline of 1 ms expires before anything is sent")
}

// Guards against a truncated response that looks complete to the caller, over HTTP/1.1 and HTTP/2, with Content-Length
// and chunked, direct and forwarded.
func TestTruncatedResponse(t *testing.T) {
	raw := startHandler(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	owner := startEntry(t, newFakePolicy().addUpstream("p", raw), Config{}, ServerConfig{HTTP2: true})
	d := newFakePolicy()
	d.pools = []Pool{{ID: "p", Owner: owner.peer}}
	ingress := startEntry(t, d, Config{}, ServerConfig{HTTP2: true})
	clients := map[string]http.RoundTripper{"h1": &http.Transport{DisableKeepAlives: true}, "h2": http2Client(t)}
	for name, rt := range clients {
		for _, e := range []*entry{owner, ingress} {
			for _, path := range []string{"/length", "/chunks"} {
				got, err := sendBy(t, rt, newCall(t, e.address, "GET", path, ""))
				// The connection may be lost before an entry has sent the header; the outcome is unknown then.
				require.True(t, err != nil || got.outcome() == Unknown, "%s %s %+v", name, path, got)
			}
		}
	}
	eventually(t, func() bool { return owner.openGrants() == 0 })
	require.Equal(t, ResultCrashed, owner.lastResult().Kind)
	got := func(id string) Outcome {
		_, _ = send(t, newCall(t, owner.address, "POST", "/length", "", HeaderRequestID, id))
		return mustSend(t, newCall(t, owner.address, "POST", "/length", "", HeaderRequestID, id)).outcome()
	}
	require.Equal(t, Unknown, got("cut"), "a resend must not get a truncated response")
}

// Guards against a panic that affects other requests, leaks a slot, or looks like a complete response.
func TestPanic(t *testing.T) {
	u := startUpstream(t, emulator.Config{Slots: 20})
	d := newFakePolicy().addUpstream("p", u.Address())
	d.panicOnPath = "/panic"
	e := startEntry(t, d, Config{}, ServerConfig{HTTP2: true})
	client := http2Client(t)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			path, want := "/x", 200
			if i%2 == 0 {
				path, want = "/panic", 502
			}
			got, err := sendBy(t, client, newCall(t, e.address, "GET", path, ""))
			if err != nil || got.status != want {
				t.Errorf("%s: %d %v", path, got.status, err)
			}
		})
	}
	wg.Wait()
	panicking := &panickingTripper{}
	p := New(Config{}, Deps{Directory: d, Registrar: registrar{d}, Pools: d, Slots: d, Retries: d, Poison: d, Upstreams: panicking, Peers: panicking})
	address := serve(t, NewServer(p, ServerConfig{}))
	got := mustSend(t, newCall(t, address, "POST", "/x", "b", HeaderRequestID, "id"))
	require.Equal(t, Unknown, got.outcome())
	eventually(t, func() bool { return e.openGrants() == 0 })
	again := mustSend(t, newCall(t, address, "POST", "/x", "b", HeaderRequestID, "id"))
	require.Equal(t, Unknown, again.outcome(), "the call may have run")
	require.EqualValues(t, 1, panicking.calls.Load())
	d.hedgeAfter = time.Hour
	got = mustSend(t, newCall(t, address, "GET", "/x", "", HeaderClass, "urgent"))
	require.Equal(t, Unknown, got.outcome(), "a panic in a hedged attempt must not end the process")
}

// Guards against hedges that wait for the slower attempt, go to the same upstream, or don't cancel the slower attempt.
func TestHedge(t *testing.T) {
	slow := startUpstream(t, emulator.Config{Routes: []emulator.Route{{Prefix: "/", Time: emulator.Distribution{Typical: time.Hour}}}})
	fast := startUpstream(t, emulator.Config{Name: "fast"})
	d := newFakePolicy().addUpstream("p", slow.Address()).addUpstream("p", fast.Address())
	d.hedgeAfter = 20 * time.Millisecond
	e := startEntry(t, d, Config{}, ServerConfig{})
	got := mustSend(t, newCall(t, e.address, "GET", "/x", "", HeaderClass, "urgent", HeaderRequestID, "h"))
	require.Equal(t, "fast", got.header.Get("X-Upstream"))
	require.Equal(t, "true", got.header.Get(HeaderRetried))
	eventually(t, func() bool { return slow.Executions("h").Cancelled == 1 && e.openGrants() == 0 })
	_, err := send(t, newCall(t, e.address, "POST", "/x", "b", HeaderClass, "urgent", HeaderDeadline, "100"))
	require.NoError(t, err)
	require.Equal(t, 1, d.hedges, "a call that isn't idempotent must not be hedged")
}

// Guards against responses that reach the wrong caller, with cancellations and stream resets in between.
func TestResponsesReachTheirCaller(t *testing.T) {
	u := startUpstream(t, emulator.Config{Slots: 64})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{HTTP2: true})
	clients := []http.RoundTripper{http2Client(t), &http.Transport{MaxIdleConnsPerHost: 16}}
	var wg sync.WaitGroup
	var answered atomic.Int64
	for g := range 16 {
		wg.Go(func() {
			for i := range 30 {
				id := fmt.Sprintf("%d-%d", g, i)
				ctx, cancel := context.WithCancel(t.Context())
				if i%5 == 1 {
					go cancel()
				}
				got, err := sendBy(t, clients[g%2], newCall(t, e.address, "GET", "/m/"+id, "", HeaderRequestID, id).WithContext(ctx))
				cancel()
				if err != nil {
					continue
				}
				answered.Add(1)
				if got.status == 200 && got.body != id+" GET /m/"+id+"\n" {
					t.Errorf("%s got the response %q", id, got.body)
				}
			}
		})
	}
	wg.Wait()
	require.Greater(t, answered.Load(), int64(16*30/2))
}

type panickingTripper struct{ calls atomic.Int64 }

func (b *panickingTripper) RoundTrip(context.Context, string, *http.Request, bool) (*transport.Response, error) {
	b.calls.Add(1)
	panic("broken transport")
}
