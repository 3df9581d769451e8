package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// largeUpload is more bytes than the kernel buffers of a loopback connection hold, so it is still being written when the
	// upstream responds.
	largeUpload = 16 << 20
	resetTrials = 50
	partialBody = "the first part of the body"
)

// upload sends a request with a body of size bytes and reads the whole response.
func upload(t *testing.T, tr *Transport, address string, body io.ReadCloser, size int64) (string, error) {
	t.Helper()
	r := newRequest(t, http.MethodPost, "/", "")
	r.Body, r.ContentLength = body, size
	return call(t, tr, address, r)
}

// bytesBody is a body in memory whose type isn't known to the transport, so that a goroutine writes it.
func bytesBody(size int) io.ReadCloser { return io.NopCloser(bytes.NewReader(make([]byte, size))) }

// Guards against a response without a length that is taken as complete although the upstream has reset the connection: the kernel reports
// the reset only once, to the write of the upload or to the read of the response, and the other one sees an orderly end.
func TestUndelimitedResponseThatIsResetIsNotComplete(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "while the response is read": 2 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			address := newEarlyResponder(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+partialBody)
				time.Sleep(delay)
				_ = c.SetLinger(0)
			})
			tr := newTransport(t, Config{AcceptUndelimited: true, NewConnsPerSecond: 1e6, NewConnsBurst: 1e6})
			complete := 0
			for range resetTrials {
				body, err := upload(t, tr, address, bytesBody(largeUpload), largeUpload)
				if err == nil {
					complete++
					continue
				}
				e := asError(t, err)
				require.Equal(t, Unknown, e.Kind)
				require.Equal(t, CauseConnectionLost, e.Cause, "%v", err)
				require.True(t, e.Reset)
				require.Contains(t, partialBody, body)
			}
			assert.Zero(t, complete, "of %d responses that were reset were taken as complete", resetTrials)
		})
	}
}

// Guards against losing a response without a length whose end the upstream has marked in order, only because the upload fails after it.
func TestUndelimitedResponseThatEndsInOrderIsComplete(t *testing.T) {
	for name, afterEnd := range map[string]func(c *net.TCPConn){
		"upload is stopped": func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"upload is refused later": func(c *net.TCPConn) {
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
		},
		"upload is read":                   func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
		"upload is neither read nor ended": func(c *net.TCPConn) { time.Sleep(200 * time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			address := newEarlyResponder(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+partialBody)
				_ = c.CloseWrite()
				afterEnd(c)
			})
			tr := newTransport(t, Config{AcceptUndelimited: true, NewConnsPerSecond: 1e6, NewConnsBurst: 1e6})
			for range resetTrials / 5 {
				body, err := upload(t, tr, address, bytesBody(largeUpload), largeUpload)
				require.NoError(t, err)
				require.Equal(t, partialBody, body)
			}
		})
	}
}

// Guards against waiting, at the end of a response without a length, for a caller that supplies the rest of the upload slowly.
func TestUndelimitedResponseDoesNotWaitForTheUpload(t *testing.T) {
	address := newEarlyResponder(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+partialBody)
	})
	tr := newTransport(t, Config{AcceptUndelimited: true})
	stalled, release := io.Pipe()
	defer func() { _ = release.Close() }()
	done := make(chan error, 1)
	go func() {
		body, err := upload(t, tr, address, stalled, largeUpload)
		if err == nil && body != partialBody {
			err = fmt.Errorf("body %q", body)
		}
		done <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	select {
	case err := <-done:
		require.NoError(t, err)
	case <-ctx.Done():
		t.Fatal("the response isn't read to its end while the caller supplies no more of the upload")
	}
}
