package proxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"

	"github.com/stretchr/testify/require"
)

// startIngress starts an entry whose pools are owned by the entries at the given peer addresses.
func startIngress(t *testing.T, peers ...string) *entry {
	t.Helper()
	d := newFakePolicy()
	for i, peer := range peers {
		d.pools = append(d.pools, Pool{ID: "p" + string(rune('0'+i)), Version: "v1", Owner: peer})
	}
	return startEntry(t, d, Config{}, ServerConfig{})
}

// Guards against a forward that loses parts of a call, or exposes internal headers to callers and upstreams.
func TestForward(t *testing.T) {
	type request struct {
		method, uri, body string
		header            http.Header
	}
	seen := make(chan request, 1)
	address := startHandler(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		seen <- request{r.Method, r.RequestURI, string(b), r.Header}
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "answer")
		w.Header().Set("X-Sum", "7")
	})
	owner := startEntry(t, newFakePolicy().addUpstream("p0", address), Config{}, ServerConfig{})
	ingress := startIngress(t, owner.peer)
	for _, body := range []string{"small", strings.Repeat("x", 200<<10)} {
		got := mustSend(t, newCall(t, ingress.address, "POST", "/a%2Fb/c?q=1;2", body, HeaderRequestID, "id"+body[:1],
			HeaderCustomer, "loans", HeaderClass, "urgent", "X-End", "1"))
		r := <-seen
		require.Equal(t, "POST", r.method)
		require.Equal(t, "/a%2Fb/c?q=1;2", r.uri)
		require.Equal(t, body, r.body)
		require.Equal(t, "loans", r.header.Get(HeaderCustomer))
		require.Equal(t, "urgent", r.header.Get(HeaderClass))
		require.Equal(t, "1", r.header.Get(HeaderDepth))
		require.Equal(t, "1", r.header.Get("X-End"))
		require.Equal(t, "answer", got.body)
		require.Equal(t, "7", got.trailer.Get("X-Sum"))
		require.Equal(t, Done, got.outcome())
		for _, name := range []string{HeaderForward, HeaderPool, HeaderVersion, HeaderAttempt, HeaderPoolSummary, HeaderUpstream} {
			require.NotContains(t, r.header, name)
			require.NotContains(t, got.header, name)
		}
	}
	require.Equal(t, []string{"slots=3", "slots=3"}, ingress.summaries)
}

// Guards against outcomes that change between entries: "not run" must be reported only if the owner says so or wasn't
// reached, and any other failure must be unknown.
func TestForwardOutcomes(t *testing.T) {
	refusing := startEntry(t, newFakePolicy().addUpstream("p0", refusingAddress(t)), Config{}, ServerConfig{})
	wrongOwner := startEntry(t, newFakePolicy(), Config{}, ServerConfig{})
	u := startUpstream(t, emulator.Config{})
	healthy := startEntry(t, newFakePolicy().addUpstream("p1", u.Address()), Config{}, ServerConfig{})
	aborting := startHandler(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	noOutcome := startHandler(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	for _, tc := range []struct {
		name, first, method string
		status              int
		outcome             Outcome
		reason              Reason
	}{
		{"owner not reachable", refusingAddress(t), "POST", 200, Done, ""},
		{"owner's upstream refuses connections", refusing.peer, "POST", 200, Done, ""},
		{"not the owner", wrongOwner.peer, "POST", 200, Done, ""},
		{"owner lost", aborting, "POST", 502, Unknown, ReasonConnectionLost},
		{"owner lost, idempotent", aborting, "GET", 200, Done, ""},
		{"no outcome in the response", noOutcome, "POST", 502, Unknown, ReasonMalformed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := mustSend(t, newCall(t, startIngress(t, tc.first, healthy.peer).address, tc.method, "/x", ""))
			require.Equal(t, tc.status, got.status)
			require.Equal(t, tc.outcome, got.outcome())
			require.Equal(t, tc.reason, got.reason())
		})
	}
	got := mustSend(t, newCall(t, startIngress(t, refusing.peer).address, "POST", "/x", ""))
	require.Equal(t, NotRun, got.outcome())
	require.Equal(t, ReasonConnectFailed, got.reason())
}

// Guards against an entry that runs a call although another entry registers it, that reports "not run" although an
// earlier attempt may have run, and against forwarding loops.
func TestForwardToRegistrar(t *testing.T) {
	u := startUpstream(t, emulator.Config{})
	registrarEntry := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{})
	at := func(peer string) *entry {
		d := newFakePolicy().addUpstream("p", u.Address())
		d.registrarPeer = peer
		return startEntry(t, d, Config{}, ServerConfig{})
	}
	first, second := at(registrarEntry.peer), at(registrarEntry.peer)
	for _, e := range []*entry{first, second, registrarEntry} {
		got := mustSend(t, newCall(t, e.address, "POST", "/x", "b", HeaderRequestID, "order"))
		require.Equal(t, Done, got.outcome())
		require.Equal(t, "order POST /x\n", got.body)
	}
	require.Equal(t, 1, u.Executions("order").Begun)
	lost := at(refusingAddress(t))
	got := mustSend(t, newCall(t, lost.address, "POST", "/x", "b", HeaderRequestID, "order-2"))
	require.Equal(t, Unknown, got.outcome())
	require.Equal(t, 409, got.status)
	got = mustSend(t, newCall(t, lost.address, "POST", "/x", "b", HeaderRequestID, "order-2", HeaderFirstAttempt, "true"))
	require.Equal(t, NotRun, got.outcome())
	loop := at("")
	loop.registrarPeer = loop.peer
	got = mustSend(t, newCall(t, loop.address, "POST", "/x", "b", HeaderRequestID, "order-3"))
	require.Equal(t, Unknown, got.outcome())
	require.Zero(t, u.Executions("order-2").Begun+u.Executions("order-3").Begun)
}

// Guards against forwards that are accepted without a required header.
func TestForwardValidation(t *testing.T) {
	e := startEntry(t, newFakePolicy(), Config{}, ServerConfig{})
	complete := []string{HeaderForward, "run", HeaderPool, "p", HeaderDeadline, "1000", HeaderClass, "ordinary"}
	require.Equal(t, ReasonWrongOwner, mustSend(t, newCall(t, e.peer, "GET", ForwardPath+"/x", "", complete...)).reason())
	require.Equal(t, 400, mustSend(t, newCall(t, e.peer, "GET", "/x", "", complete...)).status)
	for i := 0; i < 6; i += 2 {
		missing := append(append([]string{}, complete[:i]...), complete[i+2:]...)
		got := mustSend(t, newCall(t, e.peer, "GET", ForwardPath+"/x", "", missing...))
		require.Equal(t, 400, got.status, "without %s", complete[i])
		require.Equal(t, NotRun, got.outcome())
	}
}

// Guards against a forward that extends the deadline: the owner must end the call in time.
func TestForwardDeadline(t *testing.T) {
	unresponsive := startHandler(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	owner := startEntry(t, newFakePolicy().addUpstream("p0", unresponsive), Config{}, ServerConfig{})
	ingress := startIngress(t, owner.peer)
	got := mustSend(t, newCall(t, ingress.address, "POST", "/x", "b", HeaderDeadline, "200"))
	require.Equal(t, Unknown, got.outcome())
	eventually(t, func() bool { return owner.openGrants() == 0 })
	require.Less(t, owner.lastResult().Total, 10*time.Second)
}
