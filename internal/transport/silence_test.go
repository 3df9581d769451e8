package transport

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowCall starts a call of a route that the upstream answers only after release is closed, and waits until the call has
// arrived there.
func slowCall(t *testing.T, tr *Transport, route string) (address string, release chan struct{}, result chan error) {
	t.Helper()
	arrived := make(chan struct{})
	release = make(chan struct{})
	address = newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(arrived)
			<-release
		}
		_, _ = w.Write([]byte("ok"))
	})
	t.Cleanup(func() {
		select {
		case <-release:
		default:
			close(release) // the server's Close waits for running calls, also after a failed test
		}
	})
	for range minSamples {
		routeCall(t, tr, address, "fast")
	}
	result = make(chan error, 1)
	go func() {
		ctx := WithRoute(t.Context(), route)
		resp, err := tr.RoundTrip(ctx, address, newRequest(t, "GET", "/slow", ""), true)
		if err == nil {
			err = resp.Body.Close()
		}
		result <- err
	}()
	<-arrived
	time.Sleep(5 * time.Millisecond)
	return address, release, result
}

func routeCall(t *testing.T, tr *Transport, address, route string) {
	t.Helper()
	resp, err := tr.RoundTrip(WithRoute(t.Context(), route), address, newRequest(t, "GET", "/", ""), true)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// Guards against closing the connection of a call of a slow route because calls of fast routes are answered: the slow
// route has too few samples, or a silence threshold above the waiting time.
func TestConnectionOfSlowRouteIsKept(t *testing.T) {
	for name, known := range map[string]time.Duration{"unknown": 0, "known": 20 * time.Second} {
		t.Run(name, func(t *testing.T) {
			tr := newTransport(t, Config{NewConnsBurst: 50})
			address, release, result := slowCall(t, tr, "report")
			p := tr.lookup(address)
			p.mu.Lock()
			for range minSamples {
				if known > 0 {
					p.route("report").add(time.Time{}, known)
				}
			}
			p.mu.Unlock()
			for range 10 {
				routeCall(t, tr, address, "fast")
			}
			tr.Sweep(time.Now().Add(30 * time.Second))
			require.Zero(t, tr.Stats(address).Silent)
			close(release)
			require.NoError(t, <-result)
		})
	}
}

// Guards against closing the connection of a slow call before minOvertakingCalls later calls of its route were answered,
// and against keeping it after that.
func TestConnectionOfOvertakenCallIsClosed(t *testing.T) {
	tr := newTransport(t, Config{NewConnsBurst: 50})
	address, _, result := slowCall(t, tr, "fast")
	for range minOvertakingCalls - 1 {
		routeCall(t, tr, address, "fast")
	}
	tr.Sweep(time.Now().Add(30 * time.Second))
	require.Zero(t, tr.Stats(address).Silent)
	routeCall(t, tr, address, "fast")
	tr.Sweep(time.Now().Add(time.Second + 250*time.Millisecond))
	require.EqualValues(t, 1, tr.Stats(address).Silent, "one sweep after MinSilence of 1 s")
	require.Equal(t, CauseSilent, asError(t, <-result).Cause)
}

// Guards against keeping a connection to an unreachable peer because its route is slow: without acknowledgements it must
// be closed one sweep after MinSilence, but not unless another connection makes progress.
func TestUnreachablePeerIsDetectedOnAnyRoute(t *testing.T) {
	tr := newTransport(t, Config{NewConnsBurst: 50, peerUnreachable: func(net.Conn) bool { return true }})
	address, _, result := slowCall(t, tr, "report")
	tr.Sweep(time.Now().Add(1250 * time.Millisecond))
	require.Zero(t, tr.Stats(address).Silent)
	routeCall(t, tr, address, "fast")
	tr.Sweep(time.Now().Add(1250 * time.Millisecond))
	require.EqualValues(t, 1, tr.Stats(address).Silent)
	require.Equal(t, CauseSilent, asError(t, <-result).Cause)
}

// Guards against reporting a peer as unreachable that is idle, or that acknowledges but doesn't read.
func TestReachablePeerIsNotReported(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = nc.Close() }()
	require.False(t, peerUnreachable(nc))
	require.NoError(t, nc.SetWriteDeadline(time.Now().Add(time.Second)))
	for err == nil {
		_, err = nc.Write(make([]byte, 64<<10))
	}
	require.False(t, peerUnreachable(nc), "the peer's receive window is full")
}

// Guards against memory use that grows with the number of routes.
func TestRoutesAreBounded(t *testing.T) {
	address := newUpstream(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	tr := newTransport(t, Config{})
	for i := range 2 * maxRoutes {
		routeCall(t, tr, address, fmt.Sprint(i))
	}
	require.Len(t, tr.lookup(address).routes, maxRoutes)
	require.Equal(t, maxRoutes, tr.lookup(address).overflowRoute.samples)
}
