package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/wire"
)

type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  string
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		Subject:  pkix.Name{CommonName: rand.Text()},
		KeyUsage: x509.KeyUsageCertSign, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{cert, key, block("CERTIFICATE", der)}
}

func block(kind string, der []byte) string {
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}))
}

// issue returns a certificate and its key for a name.
func (a authority) issue(t *testing.T, name string) (cert, key string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	require.NoError(t, err)
	return block("CERTIFICATE", der), block("PRIVATE KEY", keyDER)
}

func (a authority) credentials(t *testing.T, name, trusted string) PEM {
	cert, key := a.issue(t, name)
	return PEM{Authorities: trusted, Certificates: cert, Keys: key}
}

// tlsMesh starts a mesh on a loopback port and returns its address.
func tlsMesh(t *testing.T, i int, w WebSocket) (*Mesh, *recorder, string) {
	r := &recorder{}
	m := NewMesh(Settings{Self: func() wire.Member { return member(i) }, Transport: w, Handler: r})
	server := httptest.NewUnstartedServer(w.Handler(m))
	if w.Credentials != nil {
		server.TLS = w.Credentials.Server()
		server.StartTLS()
	} else {
		server.Start()
	}
	t.Cleanup(func() { m.Close(); server.Close() })
	return m, r, server.Listener.Addr().String()
}

func credentials(t *testing.T, p PEM) WebSocket {
	c, err := NewCredentials(p)
	require.NoError(t, err)
	return WebSocket{Credentials: c}
}

func eventually(t *testing.T, ok func() bool) {
	require.Eventually(t, ok, 30*time.Second, time.Millisecond)
}

// tryLink returns the error of one attempt of a fresh mesh to link to an address.
func tryLink(t *testing.T, i int, w WebSocket, address string) error {
	m, _, _ := tlsMesh(t, i, w)
	_, err := m.connect(t.Context(), address)
	if err != nil {
		return err
	}
	return m.Send(member(1).Incarnation, goodbye("x"))
}

// Guards against a peer without a trusted certificate, or with the certificate of another host, that gets a link.
func TestOnlyTrustedPeersLink(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	m, r, address := tlsMesh(t, 1, credentials(t, ca.credentials(t, "h1", ca.pem)))
	require.NoError(t, tryLink(t, 2, credentials(t, ca.credentials(t, "h2", ca.pem)), address))
	require.NoError(t, tryLink(t, 3, credentials(t, ca.credentials(t, SharedName, ca.pem)), address))
	eventually(t, func() bool { return r.count() == 2 })
	require.Error(t, tryLink(t, 4, credentials(t, other.credentials(t, "h4", ca.pem)), address), "unknown certificate")
	require.ErrorIs(t, tryLink(t, 5, credentials(t, ca.credentials(t, "h5", other.pem)), address), ErrUntrusted)
	_ = tryLink(t, 6, credentials(t, ca.credentials(t, "h7", ca.pem)), address)
	require.Error(t, tryLink(t, 8, WebSocket{Plaintext: true}, address))
	eventually(t, func() bool { return m.Stats().Refused > 0 })
	require.Equal(t, 2, r.count())
}

// Guards against a rotation that cuts links or locks entries out while old and new authorities are both in use.
func TestRotationWithoutCut(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	server := credentials(t, first.credentials(t, "h1", first.pem))
	m, r, address := tlsMesh(t, 1, server)
	client := credentials(t, first.credentials(t, "h2", first.pem))
	a, ra, _ := tlsMesh(t, 2, client)
	a.Want([]Target{{"h1", address}})
	eventually(t, func() bool { return a.Stats().Links == 1 && m.Stats().Links == 1 })

	both := first.pem + second.pem
	oldCert, oldKey := first.issue(t, "h1")
	newCert, newKey := second.issue(t, "h1")
	require.NoError(t, server.Credentials.Reload(PEM{both, newCert + oldCert, oldKey + newKey}))
	require.ErrorIs(t, tryLink(t, 3, credentials(t, first.credentials(t, "h3", first.pem)), address), ErrUntrusted)
	require.NoError(t, tryLink(t, 4, credentials(t, first.credentials(t, "h4", both)), address), "old certificate")
	require.NoError(t, tryLink(t, 5, credentials(t, second.credentials(t, "h5", both)), address), "new certificate")
	require.NoError(t, server.Credentials.Reload(PEM{second.pem, newCert, newKey}))
	require.Error(t, tryLink(t, 6, credentials(t, first.credentials(t, "h6", both)), address), "withdrawn authority")
	require.ErrorIs(t, server.Credentials.Reload(PEM{second.pem, newCert, oldKey}), ErrNoCertificate)
	require.NoError(t, tryLink(t, 7, credentials(t, second.credentials(t, "h7", second.pem)), address))

	require.NoError(t, a.Send(member(1).Incarnation, goodbye("still linked")))
	eventually(t, func() bool { return r.count() == 4 })
	require.Zero(t, ra.unlinkedCount(), "the first link was never cut")
}

func (r *recorder) unlinkedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unlinked
}

// Guards against an oversized frame being read into memory, and against plaintext beyond loopback.
func TestPlaintextAndLongFrames(t *testing.T) {
	w := WebSocket{Plaintext: true}
	m, _, address := tlsMesh(t, 1, w)
	conn, err := w.Dial(t.Context(), address)
	require.NoError(t, err)
	self := member(2)
	hello := wire.Envelope{Type: wire.EnvelopeTypeHello, Sender: self.Incarnation, Seq: 1,
		Hello: &wire.Hello{Protocol: wire.Protocol, Member: self}}
	require.NoError(t, conn.Write(t.Context(), encode(t, hello)))
	require.NoError(t, conn.Write(t.Context(), make([]byte, wire.MaxFrameBytes+1)))
	eventually(t, func() bool { return m.Stats().TooLong == 1 && m.Stats().Links == 0 })
	require.NoError(t, conn.Close())

	_, err = w.Dial(t.Context(), "192.0.2.1:1")
	require.ErrorIs(t, err, ErrPlaintext)
	_, err = WebSocket{}.Dial(t.Context(), address)
	require.ErrorIs(t, err, ErrPlaintext)
}
