package capacity

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/peer"
	"boragehinge.example/boragehinge/internal/wire"
)

// measureLinks fits the CPU time, the bytes on the wire and the memory of peer links over WebSocket and TLS 1.3 on
// loopback, both ends in this process, to the number of messages and links. What a node spends on one message that it
// sends and one that it receives is the cost of one message here.
func measureLinks(ctx context.Context, o Options, r *Report) error {
	credentials, err := ephemeralCredentials()
	if err != nil {
		return err
	}
	for range o.Repeats {
		for _, links := range []int{10, 50, 100} {
			if err := measureHub(ctx, o, r, credentials, links); err != nil {
				return err
			}
		}
	}
	return nil
}

// messageRates are the messages a second of each end of a link.
var messageRates = []float64{1, 2, 4}

func measureHub(ctx context.Context, o Options, r *Report, credentials *peer.Credentials, links int) error {
	before := usage(true)
	h, err := newHub(ctx, credentials, links)
	if err != nil {
		return err
	}
	defer h.close()
	after := usage(true)
	r.add("links", "memory of both ends", "KiB", "links", float64(links), (float64(after.InUse)-float64(before.InUse))/1024)
	for _, rate := range messageRates {
		cpu, bytes, start := cpuTime(), h.bytes.Load(), time.Now()
		sent := h.send(o.Time, rate)
		seconds := time.Since(start).Seconds()
		x := float64(sent) / seconds
		r.add("links", "CPU of both ends", "ms/s", "messages/s", x, millis(cpuTime()-cpu)/seconds)
		r.add("links", "bytes of TCP payload", "1/s", "messages/s", x, float64(h.bytes.Load()-bytes)/seconds)
	}
	return nil
}

// hub is one mesh with a link to each of several others.
type hub struct {
	mesh    *peer.Mesh
	spokes  []*peer.Mesh
	members []wire.Member
	server  *http.Server
	bytes   atomic.Int64 // both directions, as the hub's sockets see them
}

type quietHandler struct{}

func (quietHandler) Linked(wire.Member) {}

func (quietHandler) Received(wire.Member, *wire.Envelope) {}

func (quietHandler) Unlinked(wire.Member) {}

func (quietHandler) Unreachable(string) {}

func newHub(ctx context.Context, credentials *peer.Credentials, links int) (*hub, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	h := &hub{}
	transport := peer.WebSocket{Credentials: credentials}
	h.mesh = newMesh("hub", transport)
	h.server = &http.Server{Handler: transport.Handler(h.mesh), TLSConfig: credentials.Server(), ReadHeaderTimeout: time.Second}
	go func() { _ = h.server.ServeTLS(countingListener{ln, &h.bytes}, "", "") }()
	for i := range links {
		m := newMesh(fmt.Sprintf("spoke-%d", i), transport)
		m.Want([]peer.Target{{Host: "hub", Address: ln.Addr().String()}})
		h.spokes = append(h.spokes, m)
	}
	for deadline := time.Now().Add(10 * time.Second); len(h.mesh.Peers()) < links; time.Sleep(settle) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			h.close()
			return nil, fmt.Errorf("%d of %d links are up: %w", len(h.mesh.Peers()), links, context.DeadlineExceeded)
		}
	}
	h.members = h.mesh.Peers()
	time.Sleep(settle)
	return h, nil
}

func newMesh(host string, t peer.Transport) *peer.Mesh {
	self := wire.Member{Host: host, DataCentre: "dc-0", Incarnation: idempotency.NewIncarnation(), PeerAddress: "127.0.0.1:1", CallerAddress: "127.0.0.1:2"}
	return peer.NewMesh(peer.Settings{Self: func() wire.Member { return self }, Transport: t, Handler: quietHandler{}, MaxLinks: 1024})
}

// send sends heartbeats on all links in both directions, evenly over the time, and returns their number.
func (h *hub) send(d time.Duration, perSecond float64) int {
	heartbeat := wire.Envelope{Type: wire.EnvelopeTypeHeartbeat, Heartbeat: &wire.Heartbeat{
		Seq: 100_000, Version: 50_000, ViewHash: 1 << 40, Echoes: []wire.Echo{{Seq: 100_000}},
	}}
	hubID := h.spokes[0].Peers()[0].Incarnation
	sent := 0
	interval := time.Duration(float64(time.Second) / perSecond / float64(len(h.spokes)))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for start := time.Now(); time.Since(start) < d; <-ticker.C {
		i := sent / 2 % len(h.spokes)
		if h.mesh.Send(h.members[i].Incarnation, heartbeat) == nil {
			sent++
		}
		if h.spokes[i].Send(hubID, heartbeat) == nil {
			sent++
		}
	}
	return sent
}

func (h *hub) close() {
	for _, m := range h.spokes {
		m.Close()
	}
	h.mesh.Close()
	_ = h.server.Close()
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// ephemeralCredentials returns credentials of a new authority that all meshes of the experiment share.
func ephemeralCredentials() (*peer.Credentials, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("make a key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "measurement"}, DNSNames: []string{peer.SharedName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("make a certificate: %w", err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("encode a key: %w", err)
	}
	text := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}))
	return peer.NewCredentials(peer.PEM{
		Authorities: text, Certificates: text,
		Keys: string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})),
	})
}
