package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"

	"github.com/stretchr/testify/require"
)

// Guards against requests that http.Server.Shutdown alone would abort or refuse: requests that are running, that arrive
// on a keep-alive connection during the stop, or on a connection opened during the stop must be answered in full.
func TestStopCutsNoRequest(t *testing.T) {
	u := startUpstream(t, emulator.Config{Slots: 10, Routes: []emulator.Route{
		{Prefix: "/slow", Time: emulator.Distribution{Typical: 800 * time.Millisecond}}}})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{HTTP2: true})
	idle, err := net.Dial("tcp", e.address)
	require.NoError(t, err)
	defer idle.Close()
	reader := bufio.NewReader(idle)
	ask := func() *http.Response {
		_, err := io.WriteString(idle, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		return resp
	}
	require.False(t, ask().Close)
	h2 := http2Client(t)
	var wg sync.WaitGroup
	for _, rt := range []http.RoundTripper{&http.Transport{DisableKeepAlives: true}, h2} {
		for range 3 {
			wg.Go(func() {
				got, err := sendBy(t, rt, newCall(t, e.address, "GET", "/slow", ""))
				if err != nil || got.status != 200 || got.body != " GET /slow\n" {
					t.Errorf("a running request was aborted: %v %+v", err, got)
				}
			})
		}
	}
	eventually(t, func() bool { return u.State().InFlight == 6 })
	stopped := make(chan error, 1)
	go func() { stopped <- e.callers.Stop(t.Context(), 200*time.Millisecond) }()
	eventually(t, func() bool { return e.callers.stopping.Load() })
	late := ask()
	require.Equal(t, 200, late.StatusCode)
	require.True(t, late.Close, "the response must have Connection: close")
	require.Equal(t, 200, mustSend(t, newCall(t, e.address, "GET", "/x", "")).status)
	got, err := sendBy(t, h2, newCall(t, e.address, "GET", "/x", ""))
	require.NoError(t, err)
	require.Equal(t, 200, got.status)
	wg.Wait()
	require.NoError(t, <-stopped)
	_, err = net.Dial("tcp", e.address)
	require.Error(t, err)
}

// Guards against a stop that never ends, or that leaves requests unfinished without reporting it.
func TestStopReportsRunningRequests(t *testing.T) {
	u := startUpstream(t, emulator.Config{Routes: []emulator.Route{{Prefix: "/", Time: emulator.Distribution{Typical: time.Hour}}}})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{})
	done := make(chan error, 1)
	go func() {
		_, err := send(t, newCall(t, e.address, "GET", "/x", ""))
		done <- err
	}()
	eventually(t, func() bool { return e.callers.Running() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 600*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, e.callers.Stop(ctx, 0), ErrStopTimeout)
	require.NoError(t, e.callers.Close())
	require.Error(t, <-done)
	eventually(t, func() bool { return e.openGrants() == 0 })
}

// Guards against a stop that returns while a handler is still using a hijacked connection.
func TestStopWaitsForHijackedConnections(t *testing.T) {
	release := make(chan struct{})
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		<-release
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
	}), ServerConfig{QuietPeriod: time.Millisecond})
	address := serve(t, s)
	got := make(chan string, 1)
	go func() {
		resp, err := send(t, newCall(t, address, "GET", "/x", ""))
		if err != nil {
			t.Error(err)
		}
		got <- resp.body
	}()
	eventually(t, func() bool { return s.Running() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, s.Stop(ctx, 0), ErrStopTimeout)
	close(release)
	require.NoError(t, s.Stop(t.Context(), 0))
	require.Equal(t, "late", <-got)
}
