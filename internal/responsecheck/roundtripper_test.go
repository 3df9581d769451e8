package responsecheck_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/responsecheck"
)

// fixed is a transport that returns one response and records what is done with it.
type fixed struct {
	resp           *http.Response
	closed, idleUp bool
}

func (f *fixed) RoundTrip(*http.Request) (*http.Response, error) {
	f.resp.Body = struct {
		io.Reader
		io.Closer
	}{strings.NewReader("ok"), f}
	return f.resp, nil
}

func (f *fixed) Close() error          { f.closed = true; return nil }
func (f *fixed) CloseIdleConnections() { f.idleUp = true }

// Guards against malformed responses that a client of net/http gets, against connections of rejected ones that stay open, and against
// valid responses that are rejected.
func TestRoundTripperRejectsMalformedResponses(t *testing.T) {
	for _, tc := range []struct {
		status  int
		name    string
		want    error
		upgrade string
	}{
		{0, "X-A", responsecheck.ErrStatus, ""}, {99, "X-A", responsecheck.ErrStatus, ""}, {600, "X-A", responsecheck.ErrStatus, ""},
		{200, "X A", responsecheck.ErrFieldLine, ""}, {200, "Content-Length ", responsecheck.ErrFieldLine, ""}, {200, "", responsecheck.ErrFieldLine, ""},
		{101, "Upgrade", responsecheck.ErrUpgrade, ""}, {101, "Upgrade", nil, "websocket"}, {200, "X-A", nil, ""}, {599, "X-A", nil, ""},
	} {
		base := &fixed{resp: &http.Response{StatusCode: tc.status, Header: http.Header{tc.name: {"1"}}}}
		client := &http.Client{Transport: &responsecheck.RoundTripper{Base: base}}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://h.example/", http.NoBody)
		require.NoError(t, err)
		req.Header.Set("Upgrade", tc.upgrade)
		resp, err := client.Do(req)
		client.CloseIdleConnections()
		assert.True(t, base.idleUp)
		if tc.want != nil {
			require.ErrorIs(t, err, tc.want)
			assert.True(t, base.closed)
			continue
		}
		require.NoError(t, err)
		assert.False(t, base.closed)
		assert.Equal(t, tc.status, resp.StatusCode)
	}
}
