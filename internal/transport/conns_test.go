package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startCalls starts n calls and leaves their response bodies unread until the returned function is called.
func startCalls(t *testing.T, tr *Transport, address string, n int) (end func()) {
	t.Helper()
	var bodies []*Response
	for range n {
		resp, err := tr.RoundTrip(t.Context(), address, newRequest(t, "GET", "/", ""), true)
		require.NoError(t, err)
		bodies = append(bodies, resp)
	}
	return func() {
		for _, resp := range bodies {
			_, err := io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		}
	}
}

// Guards against a limit on idle connections like that of net/http's default transport: all connections must be kept
// after a burst.
func TestIdleConnectionsAreKept(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{NewConnsBurst: 50})
	for range 3 {
		startCalls(t, tr, address, 30)()
	}
	require.Equal(t, 30, tr.Stats(address).Idle)
	require.EqualValues(t, 30, tr.Stats(address).Dials)
}

// Guards against more connections than the limit: the next call waits for a connection, and is reported as not run if
// its context ends first.
func TestConnectionLimit(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{MaxConns: 2})
	end := startCalls(t, tr, address, 2)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := tr.RoundTrip(ctx, address, newRequest(t, "POST", "/", "x"), false)
	require.Equal(t, NothingWritten, asError(t, err).Kind)
	done := make(chan error, 1)
	go func() {
		resp, err := tr.RoundTrip(t.Context(), address, newRequest(t, "GET", "/", ""), true)
		if err == nil {
			err = resp.Body.Close()
		}
		done <- err
	}()
	end()
	require.NoError(t, <-done)
	require.EqualValues(t, 2, tr.Stats(address).Dials)
}

// Guards against a burst of new connections: when the token bucket is empty, calls wait for tokens.
func TestRateOfNewConnections(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{NewConnsPerSecond: 0.001, NewConnsBurst: 3})
	var wg sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var mu sync.Mutex
	refused := 0
	for range 10 {
		wg.Go(func() {
			// The bodies stay unread, so no connection is released.
			if _, err := tr.RoundTrip(ctx, address, newRequest(t, "GET", "/", ""), true); err != nil {
				mu.Lock()
				refused++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	require.Equal(t, 7, refused)
	require.EqualValues(t, 3, tr.Stats(address).Dials)
}

// Guards against a cancellation that closes more than its own connection: the upstream must see the cancellation, idle
// connections must stay open, and the next call must not dial.
func TestCancellationCostsOneConnection(t *testing.T) {
	left := make(chan struct{}, 1)
	address := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
			left <- struct{}{}
			return
		}
		_, _ = w.Write([]byte("ok"))
	})
	tr := newTransport(t, Config{})
	startCalls(t, tr, address, 3)()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(10 * time.Millisecond)
		cancel()
	}()
	_, err := tr.RoundTrip(ctx, address, newRequest(t, "GET", "/slow", ""), true)
	require.Equal(t, CauseCancelled, asError(t, err).Cause)
	<-left
	require.Equal(t, 2, tr.Stats(address).Open)
	_, err = call(t, tr, address, newRequest(t, "GET", "/", ""))
	require.NoError(t, err)
	require.EqualValues(t, 3, tr.Stats(address).Dials)
}

// Guards against a non-idempotent call on a connection whose last response is older than RecentResponse while a new
// connection may be opened.
func TestRecentConnectionPreferred(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{RecentResponse: 30 * time.Millisecond, NewConnsPerSecond: 0.001, NewConnsBurst: 2})
	startCalls(t, tr, address, 1)()
	time.Sleep(50 * time.Millisecond)
	_, err := call(t, tr, address, newRequest(t, "GET", "/", ""))
	require.NoError(t, err)
	require.EqualValues(t, 1, tr.Stats(address).Dials, "an idempotent call uses the old connection")
	time.Sleep(50 * time.Millisecond)
	_, err = call(t, tr, address, newRequest(t, "POST", "/", "x"))
	require.NoError(t, err)
	require.EqualValues(t, 2, tr.Stats(address).Dials, "a non-idempotent call opens a new one")
	time.Sleep(50 * time.Millisecond)
	_, err = call(t, tr, address, newRequest(t, "POST", "/", "x"))
	require.NoError(t, err)
	require.EqualValues(t, 2, tr.Stats(address).Dials, "without a token it uses the old one")
}

// unreachable stands for peers that acknowledge nothing.
func unreachable(net.Conn) bool { return true }

// sweepSilentCalls starts calls to a peer that acknowledges nothing, optionally makes progress on other connections, and sweeps. It
// returns the statistics after the sweep and the results of the calls.
func sweepSilentCalls(t *testing.T, silent int, progress bool) (stats Stats, errs []error) {
	t.Helper()
	release := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(silent)
	address := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			arrived.Done()
			<-release
		}
		_, _ = w.Write([]byte("ok"))
	})
	tr := newTransport(t, Config{NewConnsBurst: 50, peerUnreachable: unreachable})
	startCalls(t, tr, address, silent+5)()
	for range usualCalls {
		_, err := call(t, tr, address, newRequest(t, "GET", "/", ""))
		require.NoError(t, err)
	}
	results := make(chan error, silent)
	for range silent {
		go func() {
			_, err := call(t, tr, address, newRequest(t, "GET", "/silent", ""))
			results <- err
		}()
	}
	arrived.Wait()
	time.Sleep(5 * time.Millisecond)
	if progress {
		_, err := call(t, tr, address, newRequest(t, "GET", "/", ""))
		require.NoError(t, err)
	}
	tr.Sweep(time.Now().Add(900 * time.Millisecond))
	require.Zero(t, tr.Stats(address).Silent, "below MinSilence of 1 s")
	tr.Sweep(time.Now().Add(1500 * time.Millisecond))
	stats = tr.Stats(address)
	close(release)
	for range silent {
		errs = append(errs, <-results)
	}
	return stats, errs
}

// Guards against connections that stay pooled, and calls that hang, after the peer became unreachable, and against
// closing all connections of an upstream that is slow on every connection.
func TestSilentConnections(t *testing.T) {
	t.Run("two silent connections are closed alone", func(t *testing.T) {
		stats, errs := sweepSilentCalls(t, 2, true)
		require.EqualValues(t, 2, stats.Silent)
		require.Equal(t, 5, stats.Idle)
		for _, err := range errs {
			e := asError(t, err)
			require.Equal(t, CauseSilent, e.Cause)
			require.Equal(t, Unknown, e.Kind)
		}
	})
	t.Run("three silent connections retire the idle ones", func(t *testing.T) {
		stats, _ := sweepSilentCalls(t, 3, true)
		require.EqualValues(t, 3, stats.Silent)
		require.Zero(t, stats.Idle)
		require.EqualValues(t, 5, stats.Retired)
	})
	t.Run("none is closed without progress on others", func(t *testing.T) {
		stats, errs := sweepSilentCalls(t, 3, false)
		require.Zero(t, stats.Silent)
		for _, err := range errs {
			require.NoError(t, err)
		}
	})
}

// Guards against closing a connection for silence while the call waits for its caller, not for the upstream.
func TestSlowCallerIsNotSilence(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("ok"))
	})
	tr := newTransport(t, Config{peerUnreachable: unreachable})
	pr, pw := io.Pipe()
	r := newRequest(t, "POST", "/", "")
	r.Body, r.ContentLength = pr, -1
	result := make(chan error, 1)
	go func() {
		_, err := call(t, tr, address, r)
		result <- err
	}()
	_, err := pw.Write([]byte("part"))
	require.NoError(t, err)
	end := startCalls(t, tr, address, 1)
	_, err = call(t, tr, address, newRequest(t, "GET", "/", ""))
	require.NoError(t, err)
	tr.Sweep(time.Now().Add(time.Minute))
	require.Zero(t, tr.Stats(address).Silent)
	require.NoError(t, pw.Close())
	require.NoError(t, <-result)
	end()
}

// Guards against busy connections that are reused after RetireIdle.
func TestRetireMarksBusyConnections(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{})
	end := startCalls(t, tr, address, 2)
	tr.RetireIdle(address)
	end()
	require.Zero(t, tr.Stats(address).Open)
}

// Guards against a closed transport that opens connections, and against running calls that Close aborts.
func TestClose(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{})
	end := startCalls(t, tr, address, 2)
	tr.Close()
	end()
	_, err := call(t, tr, address, newRequest(t, "GET", "/", ""))
	e := asError(t, err)
	require.Equal(t, NothingWritten, e.Kind)
	require.Equal(t, CauseClosed, e.Cause)
}

// Guards against a crash check that confuses a refused connection with an exhausted rate limit, which shows nothing about
// the upstream.
func TestCheckConnect(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{NewConnsPerSecond: 0.001, NewConnsBurst: 1})
	require.NoError(t, tr.CheckConnect(t.Context(), address))
	require.Equal(t, 1, tr.Stats(address).Idle)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	err := tr.CheckConnect(ctx, address)
	require.Equal(t, NothingWritten, asError(t, err).Kind, "without a token the upstream's state is unknown")
	require.Equal(t, ConnectFailed, asError(t, tr.CheckConnect(t.Context(), "127.0.0.1:1")).Kind)
}
