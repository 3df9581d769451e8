package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/coder/websocket"

	"boragehinge.example/boragehinge/internal/responsecheck"
	"boragehinge.example/boragehinge/internal/wire"
)

// Path is the path of peer links on the peers' port.
const Path = "/peer"

// ErrPlaintext is returned for a connection without TLS that isn't allowed.
var ErrPlaintext = errors.New("peer links without TLS are allowed on loopback only, and only by setting")

// WebSocket is the transport between processes. With Credentials, links use TLS 1.3 with mutual certificates. Without,
// Plaintext must be set and both ends must be loopback addresses.
type WebSocket struct {
	Credentials *Credentials
	Plaintext   bool
}

// Dial implements Transport; address is host:port of the peers' port.
func (w WebSocket) Dial(ctx context.Context, address string) (Conn, error) {
	transport := &http.Transport{DisableKeepAlives: true}
	url := "wss://" + address + Path
	if w.Credentials == nil {
		if !w.Plaintext || !isLoopback(address) {
			return nil, fmt.Errorf("%w: %s", ErrPlaintext, address)
		}
		url = "ws://" + address + Path
	} else {
		transport.TLSClientConfig = w.Credentials.Client()
	}
	var state *tls.ConnectionState
	conn, response, err := websocket.Dial(ctx, url, &websocket.DialOptions{ //nolint:bodyclose // Dial closes the body
		HTTPClient: &http.Client{Transport: responsecheck.NewRoundTripper(transport), CheckRedirect: refuseRedirect},
	})
	if response != nil {
		state = response.TLS
	}
	if err != nil {
		return nil, err
	}
	return w.wrap(conn, state), nil
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Handler returns the handler of Path on a server with Credentials.Server as its TLS configuration.
func (w WebSocket) Handler(m *Mesh) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.TLS == nil && (w.Credentials != nil || !w.Plaintext || !isLoopback(r.RemoteAddr)) {
			http.Error(rw, ErrPlaintext.Error(), http.StatusForbidden)
			return
		}
		conn, err := websocket.Accept(rw, r, nil)
		if err != nil {
			return // Accept has answered the request
		}
		_ = m.Accept(w.wrap(conn, r.TLS))
	})
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func (w WebSocket) wrap(conn *websocket.Conn, state *tls.ConnectionState) Conn {
	conn.SetReadLimit(wire.MaxFrameBytes)
	c := webSocketConn{conn: conn}
	if w.Credentials != nil {
		c.names = peerNames(state)
	}
	return c
}

type webSocketConn struct {
	conn  *websocket.Conn
	names []string
}

// Read implements Conn.
func (c webSocketConn) Read(ctx context.Context) ([]byte, error) {
	_, frame, err := c.conn.Read(ctx)
	if errors.Is(err, websocket.ErrMessageTooBig) {
		return nil, fmt.Errorf("%w: %w", wire.ErrTooLong, err)
	}
	return frame, err
}

// Write implements Conn.
func (c webSocketConn) Write(ctx context.Context, frame []byte) error {
	return c.conn.Write(ctx, websocket.MessageBinary, frame)
}

// Close implements Conn.
func (c webSocketConn) Close() error { return c.conn.CloseNow() }

// Names implements Conn.
func (c webSocketConn) Names() []string { return c.names }
