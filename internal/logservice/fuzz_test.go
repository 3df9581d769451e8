package logservice

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type fixedAnswer struct {
	status int
	header http.Header
	body   string
}

// RoundTrip implements http.RoundTripper.
func (a fixedAnswer) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: a.status, Header: a.header, Body: io.NopCloser(strings.NewReader(a.body))}, nil
}

func answeringClient(t *testing.T, status int, retryAfter, body string) *Client {
	c, err := NewClient(ClientSettings{URL: "http://127.0.0.1:1", Backoff: Backoff{Min: 1, Max: 1}})
	require.NoError(t, err)
	c.http.Transport = fixedAnswer{status, http.Header{"Retry-After": {retryAfter}}, body}
	return c
}

// Guards against an answer of the platform that crashes a client, and against one that makes an append look done or
// surely not done without proof.
func FuzzAnswer(f *testing.F) {
	f.Add(200, "", `{"offset":7}`)
	f.Add(200, "", `{"entries":[{"offset":1,"timeMs":-1,"data":"e30="}],"hosts":[{"name":"e1"}]}`)
	f.Add(410, "", `{"oldest":3}`)
	f.Add(429, "0.5", "")
	f.Add(500, "", "")
	f.Fuzz(func(t *testing.T, status int, retryAfter, body string) {
		if status < 100 || status > 999 || status/100 == 3 {
			return // the HTTP client reads no such status, and follows redirects itself
		}
		c := answeringClient(t, status, retryAfter, body)
		offset, err := c.Append(t.Context(), []byte("{}"))
		var limited ErrRateLimited
		switch {
		case err == nil:
			require.Equal(t, http.StatusOK, status)
			require.Positive(t, offset)
		case errors.As(err, &limited):
			require.Equal(t, http.StatusTooManyRequests, status)
		case errors.Is(err, ErrUnavailable):
			require.Equal(t, http.StatusServiceUnavailable, status)
		case errors.Is(err, ErrTooLarge):
			require.Equal(t, http.StatusRequestEntityTooLarge, status)
		default:
			require.ErrorIs(t, err, ErrUnknownOutcome)
		}
		_, err = c.Read(t.Context(), 1, 10, 0)
		requireReadError(t, err)
		_, err = c.Hosts(t.Context())
		requireReadError(t, err)
	})
}

func requireReadError(t *testing.T, err error) {
	var expired ErrExpired
	if err != nil && !errors.As(err, &expired) {
		require.ErrorIs(t, err, ErrUnavailable)
	}
}

// Guards against a pause that an answer makes negative or endless, so that a client sends without a pause.
func TestRetryAfterIsBounded(t *testing.T) {
	for _, text := range []string{"", "-1", "1e300", "+Inf", "NaN", "0x1p4", "59.5"} {
		_, err := answeringClient(t, http.StatusTooManyRequests, text, "").Append(t.Context(), []byte("{}"))
		var limited ErrRateLimited
		require.ErrorAs(t, err, &limited)
		require.GreaterOrEqual(t, limited.RetryAfter, time.Duration(0), "Retry-After: %s", text)
		require.LessOrEqual(t, limited.RetryAfter, time.Minute, "Retry-After: %s", text)
	}
}
