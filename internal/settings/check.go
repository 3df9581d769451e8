package settings

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
)

// checkCertificates reports what is wrong with the PEM text of certificates.
func checkCertificates(text string) string {
	rest, n := []byte(text), 0
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			return fmt.Sprintf("must be PEM text of certificates, but holds a block of type %q", block.Type)
		}
		if _, err := x509.ParseCertificate(block.Bytes); err != nil {
			return "holds a certificate that cannot be read: " + err.Error()
		}
		n++
	}
	if n == 0 {
		return "must be PEM text with at least one certificate"
	}
	return ""
}

// check reports the faults that concern several settings, and fills in the advertised addresses.
func (l *loader) check(s *Settings) {
	l.advertise("callersAdvertise", "callersListen", &s.CallersAdvertise, s.CallersListen)
	l.advertise("peersAdvertise", "peersListen", &s.PeersAdvertise, s.PeersListen)
	l.advertise("operatorsAdvertise", "operatorsListen", &s.OperatorsAdvertise, s.OperatorsListen)
	l.distinctPorts(s)
	if s.StopTimeoutSeconds <= s.AddressKeepSeconds && !l.failed("stopTimeoutSeconds", "addressKeepSeconds") {
		l.add("stopTimeoutSeconds", "must be longer than --address-keep-seconds (%d), but is %d", s.AddressKeepSeconds, s.StopTimeoutSeconds)
	}
	if s.PlatformUrl == "" && len(s.Peers) == 0 && !l.failed("platformUrl", "peers") {
		l.add("platformUrl", "must be given unless --peers names other entries")
	}
	l.peerTLS(s)
}

func (l *loader) advertise(setting, listenSetting string, advertised *string, listen string) {
	if l.failed(setting, listenSetting) {
		return
	}
	if *advertised == "" {
		*advertised = listen
	}
	if a, err := netip.ParseAddrPort(*advertised); err == nil && a.Addr().IsUnspecified() {
		l.add(setting, "must be given as an address that others can reach, because %s is none", *advertised)
	}
}

func (l *loader) distinctPorts(s *Settings) {
	seen := map[string]string{}
	for _, listen := range []struct{ setting, address string }{{"callersListen", s.CallersListen}, {"peersListen", s.PeersListen}, {"operatorsListen", s.OperatorsListen}} {
		if first, ok := seen[listen.address]; ok && !l.failed(listen.setting) {
			l.add(listen.setting, "is the same address as --%s", Field{Name: first}.Flag())
			continue
		}
		seen[listen.address] = listen.setting
	}
}

func (l *loader) peerTLS(s *Settings) {
	given := 0
	for _, text := range []string{s.PeerTlsCertificate, s.PeerTlsKey, s.PeerTlsCa} {
		if text != "" {
			given++
		}
	}
	if s.InsecureLoopback {
		if given > 0 {
			l.add("insecureLoopback", "contradicts the peer certificate, key and authorities that are given")
		}
		l.loopbackOnly(s)
		return
	}
	if l.failed("peerTlsCertificate", "peerTlsKey", "peerTlsCa", "insecureLoopback") {
		return
	}
	if given < 3 {
		l.add("peerTlsCertificate", "the peer certificate, key and authorities must all be given, or --insecure-loopback; %d of 3 are given", given)
		return
	}
	if _, err := tls.X509KeyPair([]byte(s.PeerTlsCertificate), []byte(s.PeerTlsKey)); err != nil {
		l.add("peerTlsKey", "does not fit the certificate: %s", err)
	}
}

func (l *loader) loopbackOnly(s *Settings) {
	addresses := append([]string{s.PeersListen, s.PeersAdvertise}, s.Peers...)
	for _, address := range addresses {
		if a, err := netip.ParseAddrPort(address); err == nil && !a.Addr().IsLoopback() {
			l.add("insecureLoopback", "is allowed only with loopback addresses, but %s is none", address)
			return
		}
	}
}

// Redacted returns all settings as key=value pairs in one line, sorted by name. Secrets and the user information of
// URLs are left out; certificates are given by their length.
func (s *Settings) Redacted() string {
	data, err := json.Marshal(s)
	if err != nil {
		return "settings=unreadable"
	}
	values := map[string]any{}
	if err := json.Unmarshal(data, &values); err != nil {
		return "settings=unreadable"
	}
	pairs := make([]string, 0, len(values))
	for _, f := range Fields() {
		pairs = append(pairs, f.Name+"="+quoted(f.shown(values[f.Name])))
	}
	return strings.Join(pairs, " ")
}

func (f Field) shown(value any) string {
	switch v := value.(type) {
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case []any:
		items := make([]string, len(v))
		for i, item := range v {
			items[i] = fmt.Sprint(item)
		}
		return strings.Join(items, ",")
	case string:
		switch {
		case v == "":
			return ""
		case f.Secret:
			return "REDACTED"
		case f.Format == "x-certificate":
			return fmt.Sprintf("%d-bytes", len(v))
		case f.Format == "x-url":
			return withoutUser(v)
		}
		return v
	default:
		return fmt.Sprint(v)
	}
}

func withoutUser(text string) string {
	u, err := url.Parse(text)
	if err != nil {
		return "REDACTED"
	}
	if u.User != nil {
		u.User = url.User("REDACTED")
	}
	return u.String()
}

func quoted(value string) string {
	if value == "" || strings.ContainsAny(value, " \t\n\r\"=") {
		return strconv.Quote(value)
	}
	return value
}
