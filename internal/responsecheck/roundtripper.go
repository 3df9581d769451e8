package responsecheck

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// maxHeaderBytes is the limit in bytes of a response header for clients that talk to the system's own processes and to the platform. The
// default of net/http is 10 MiB, which a client may hold for each connection.
const maxHeaderBytes = 64 << 10

// RoundTripper is a http.RoundTripper that fails for malformed responses. Their errors wrap those of this package. It checks what net/http
// has parsed, so unlike a Head, it can't recognise what the parser has repaired.
type RoundTripper struct {
	Base http.RoundTripper
}

// NewRoundTripper limits the response headers that base reads to 64 KiB, and returns a RoundTripper on top of it.
func NewRoundTripper(base *http.Transport) *RoundTripper {
	base.MaxResponseHeaderBytes = maxHeaderBytes
	return &RoundTripper{Base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *RoundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if err := checkResponse(req, resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func checkResponse(req *http.Request, resp *http.Response) error {
	if !validStatus(resp.StatusCode) {
		return lineError(ErrStatus, []byte(resp.Status))
	}
	if resp.StatusCode == http.StatusSwitchingProtocols && req.Header.Get("Upgrade") == "" {
		return lineError(ErrUpgrade, []byte(resp.Status))
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return lineError(ErrFieldLine, []byte(name))
		}
	}
	return nil
}

// CloseIdleConnections closes the idle connections of Base. http.Client calls it.
func (t *RoundTripper) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
