package transport

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usualCalls is the number of answered calls after which an upstream has a history.
const usualCalls = 200

// slowCall starts a call that the upstream answers only after release is closed, and waits until the call has arrived there.
func slowCall(t *testing.T, tr *Transport) (address string, release chan struct{}, result chan error) {
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
	for range usualCalls {
		usualCall(t, tr, address)
	}
	result = make(chan error, 1)
	go func() {
		resp, err := tr.RoundTrip(t.Context(), address, newRequest(t, "GET", "/slow", ""), true)
		if err == nil {
			err = resp.Body.Close()
		}
		result <- err
	}()
	<-arrived
	time.Sleep(5 * time.Millisecond)
	return address, release, result
}

func usualCall(t *testing.T, tr *Transport, address string) {
	t.Helper()
	_, err := call(t, tr, address, newRequest(t, "GET", "/", ""))
	require.NoError(t, err)
}

// Guards against breaking off a call on a working connection because it takes much longer than the usual ones and many later ones were
// answered before it. Its caller got a 502 while the upstream was at work.
func TestSlowCallOnAWorkingConnectionIsNotBrokenOff(t *testing.T) {
	tr := newTransport(t, Config{NewConnsBurst: 50})
	address, release, result := slowCall(t, tr)
	for range usualCalls {
		usualCall(t, tr, address)
		tr.Sweep(time.Now().Add(30 * time.Second))
	}
	require.Zero(t, tr.Stats(address).Silent)
	close(release)
	require.NoError(t, <-result)
}

// Guards against keeping a connection to an unreachable peer: without acknowledgements it must be closed one sweep after MinSilence,
// but not unless another connection makes progress.
func TestConnectionToAnUnreachablePeerIsClosed(t *testing.T) {
	tr := newTransport(t, Config{NewConnsBurst: 50, peerUnreachable: unreachable})
	address, _, result := slowCall(t, tr)
	tr.Sweep(time.Now().Add(1250 * time.Millisecond))
	require.Zero(t, tr.Stats(address).Silent)
	usualCall(t, tr, address)
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
