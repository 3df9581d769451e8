package entrytest

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/emulator"
)

// timeout bounds requests. It is no performance requirement.
const timeout = 40 * time.Second

// Answer is what a caller received.
type Answer struct {
	Status          int
	Outcome, Reason string
	Upstream        string
	ID              string // as the upstream has read it
	Err             error
}

// Send sends a request and reads its response.
func Send(c *http.Client, method, url string, body io.Reader, header map[string]string) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return Answer{Err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // read below
	_, err = io.Copy(io.Discard, resp.Body)
	return Answer{
		Status: resp.StatusCode, Outcome: resp.Header.Get("Boragehinge-Outcome"), Reason: resp.Header.Get("Boragehinge-Reason"),
		Upstream: resp.Header.Get("X-Upstream"), ID: resp.Header.Get(emulator.HeaderEcho), Err: err,
	}
}

// AssertDone checks that the request was executed and answered.
func (a Answer) AssertDone(t testing.TB) {
	t.Helper()
	require.NoError(t, a.Err)
	assert.Equal(t, http.StatusOK, a.Status, "%+v", a)
	assert.Equal(t, "done", a.Outcome, "%+v", a)
}
