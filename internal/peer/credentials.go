package peer

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// Errors of credentials.
var (
	ErrNoAuthority   = errors.New("no certificate authority in the PEM text")
	ErrNoCertificate = errors.New("no certificate with its key in the PEM text")
	ErrUntrusted     = errors.New("certificate of the peer isn't trusted")
)

// PEM is the text of the settings. Each field may hold several blocks, so that old and new ones are valid together
// during a rotation.
type PEM struct {
	// Authorities are the certificates of the authorities that peers are trusted by.
	Authorities string `env:"BORAGEHINGE_PEER_AUTHORITIES"`
	// Certificates are the own certificates, the preferred one first. Further certificates of a chain follow their leaf.
	Certificates string `env:"BORAGEHINGE_PEER_CERTIFICATES"`
	// Keys are the private keys of the leaf certificates, in any order.
	Keys string `env:"BORAGEHINGE_PEER_KEYS"`
}

// String keeps the keys out of logs.
func (p PEM) String() string {
	return fmt.Sprintf("authorities=%d bytes certificates=%d bytes keys=redacted", len(p.Authorities), len(p.Certificates))
}

// GoString keeps the keys out of logs that use %#v.
func (p PEM) GoString() string { return p.String() }

// Credentials authenticate an entry to its peers. Reload replaces them for later connections; established links stay.
type Credentials struct {
	current atomic.Pointer[credentialSet]
}

type credentialSet struct {
	authorities  *x509.CertPool
	certificates []tls.Certificate
}

// NewCredentials parses the PEM text.
func NewCredentials(p PEM) (*Credentials, error) {
	c := &Credentials{}
	return c, c.Reload(p)
}

// Reload replaces the credentials. On an error the old ones stay in force.
func (c *Credentials) Reload(p PEM) error {
	set := &credentialSet{authorities: x509.NewCertPool()}
	if !set.authorities.AppendCertsFromPEM([]byte(p.Authorities)) {
		return ErrNoAuthority
	}
	var err error
	set.certificates, err = parsePairs(p.Certificates, p.Keys)
	if err != nil {
		return err
	}
	c.current.Store(set)
	return nil
}

// parsePairs joins each leaf certificate with the certificates of its chain and with its key.
func parsePairs(certificates, keys string) ([]tls.Certificate, error) {
	var pairs []tls.Certificate
	var chain [][]byte
	flush := func() error {
		if len(chain) == 0 {
			return nil
		}
		pair, err := pairWithKey(chain, keys)
		pairs = append(pairs, pair)
		chain = nil
		return err
	}
	rest := []byte(certificates)
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		parsed, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("parse certificate: %w", err)
		}
		if !parsed.IsCA {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		chain = append(chain, pem.EncodeToMemory(block))
	}
	if err := flush(); err != nil {
		return nil, err
	}
	if len(pairs) == 0 {
		return nil, ErrNoCertificate
	}
	return pairs, nil
}

func pairWithKey(chain [][]byte, keys string) (tls.Certificate, error) {
	var text []byte
	for _, c := range chain {
		text = append(text, c...)
	}
	rest := []byte(keys)
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			return tls.Certificate{}, ErrNoCertificate
		}
		if pair, err := tls.X509KeyPair(text, pem.EncodeToMemory(block)); err == nil {
			return pair, nil
		}
	}
}

// Server returns the TLS configuration of the peers' port.
func (c *Credentials) Server() *tls.Config {
	config := c.base()
	config.ClientAuth = tls.RequireAnyClientCert
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		return c.current.Load().choose(func(*tls.Certificate) bool { return true })
	}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		client := config.Clone()
		client.GetConfigForClient = nil
		client.ClientCAs = c.current.Load().authorities // sent as a hint, so that the client picks a trusted certificate
		return client, nil
	}
	return config
}

// Client returns the TLS configuration for dialling peers.
func (c *Credentials) Client() *tls.Config {
	config := c.base()
	config.GetClientCertificate = func(info *tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return c.current.Load().choose(func(p *tls.Certificate) bool { return info.SupportsCertificate(p) == nil })
	}
	return config
}

// base verifies peers in VerifyConnection: peers are dialled by address, and their names are checked against Hello.
// Tickets are off, since a resumed session would skip a changed authority.
func (c *Credentials) base() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"http/1.1"},
		InsecureSkipVerify:     true,
		SessionTicketsDisabled: true,
		VerifyConnection:       func(s tls.ConnectionState) error { return c.current.Load().verify(s.PeerCertificates) },
	}
}

func (s *credentialSet) verify(chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return fmt.Errorf("%w: none sent", ErrUntrusted)
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: s.authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUntrusted, err)
	}
	return nil
}

// choose returns the first suitable certificate that hasn't expired; when there is none, the first one.
func (s *credentialSet) choose(suitable func(*tls.Certificate) bool) (*tls.Certificate, error) {
	now := time.Now()
	for i := range s.certificates {
		p := &s.certificates[i]
		valid := p.Leaf == nil || now.Before(p.Leaf.NotAfter) && !now.Before(p.Leaf.NotBefore)
		if valid && suitable(p) {
			return p, nil
		}
	}
	return &s.certificates[0], nil
}

// peerNames returns the names of a verified certificate; an empty, non-nil slice when it has none.
func peerNames(state *tls.ConnectionState) []string {
	names := []string{}
	if state == nil || len(state.PeerCertificates) == 0 {
		return names
	}
	leaf := state.PeerCertificates[0]
	names = append(names, leaf.DNSNames...)
	return append(names, leaf.Subject.CommonName)
}
