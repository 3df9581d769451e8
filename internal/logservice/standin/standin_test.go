package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
)

func startHTTP(t *testing.T, s *Server) *logservice.Client {
	t.Helper()
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	c, err := logservice.NewClient(logservice.ClientSettings{
		URL: h.URL, Timeout: 300 * time.Millisecond,
		Backoff: logservice.Backoff{Min: time.Millisecond, Max: 2 * time.Millisecond},
	})
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// Guards against an append error that hides whether the record is in the log: for each fault the typed error must fit
// what the log holds afterwards.
func TestAppendErrorsFitTheLog(t *testing.T) {
	cases := map[string]struct {
		faults Faults
		want   error
		inLog  bool
	}{
		"none":        {Faults{}, nil, true},
		"outage":      {Faults{LogOutage: true}, logservice.ErrUnavailable, false},
		"lost answer": {Faults{LoseAnswers: 1}, logservice.ErrUnknownOutcome, true},
		"lost append": {Faults{LoseAppends: 1}, logservice.ErrUnknownOutcome, false},
		"slow":        {Faults{DelayMs: 2000}, logservice.ErrUnknownOutcome, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(nil)
			client := startHTTP(t, s)
			s.SetFaults(c.faults)
			offset, err := client.Append(t.Context(), []byte("record"))
			require.ErrorIs(t, err, c.want)
			s.SetFaults(Faults{})
			entries, err := client.Read(t.Context(), 1, 10, 0)
			require.NoError(t, err)
			require.Equal(t, c.inLog, len(entries) == 1)
			if c.want == nil {
				require.Equal(t, int64(1), offset)
			}
		})
	}
}

// Guards against an append that the HTTP transport sends again by itself when a kept connection fails.
func TestAppendIsNeverSentTwice(t *testing.T) {
	var requests atomic.Int64
	s := New(nil)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		s.Handler().ServeHTTP(w, r)
	}))
	defer h.Close()
	c, err := logservice.NewClient(logservice.ClientSettings{URL: h.URL})
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Append(t.Context(), []byte("a"))
	require.NoError(t, err)
	_, err = c.Append(t.Context(), []byte("b"))
	require.ErrorIs(t, err, logservice.ErrUnknownOutcome)
	require.Equal(t, int64(2), requests.Load())
}

// Guards against a refused connection reported as an unknown outcome, which would make each outage look undecided.
func TestRefusedConnectionHadNoEffect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	c, err := logservice.NewClient(logservice.ClientSettings{URL: "http://" + address})
	require.NoError(t, err)
	_, err = c.Append(t.Context(), []byte("a"))
	require.ErrorIs(t, err, logservice.ErrUnavailable)
	require.NotErrorIs(t, err, logservice.ErrUnknownOutcome)
}

// Guards against a reader that takes expired records for an empty log, and against an oversized record.
func TestExpiryAndSize(t *testing.T) {
	s := New(nil)
	client := startHTTP(t, s)
	s.SetFaults(Faults{KeepRecords: 2})
	for range 5 {
		_, err := client.Append(t.Context(), []byte("x"))
		require.NoError(t, err)
	}
	_, err := client.Read(t.Context(), 1, 10, 0)
	var expired logservice.ErrExpired
	require.ErrorAs(t, err, &expired)
	require.Equal(t, int64(4), expired.Oldest)
	_, err = client.Append(t.Context(), make([]byte, logservice.MaxRecordBytes+1))
	require.ErrorIs(t, err, logservice.ErrTooLarge)
}

// Guards against a log without its rate limit: more than a tenth of a second's appends at one moment are refused.
func TestRateLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now })
	client := startHTTP(t, s)
	refused := 0
	for range 50 {
		_, err := client.Append(t.Context(), []byte("x"))
		var limited logservice.ErrRateLimited
		if err != nil {
			require.ErrorAs(t, err, &limited)
			require.Equal(t, 100*time.Millisecond, limited.RetryAfter)
			refused++
		}
	}
	require.Equal(t, 20, refused)
}

// Guards against a long poll that misses an append or outlives its wait.
func TestLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(nil)
		start := time.Now()
		entries, err := s.Read(t.Context(), 1, 10, 5*time.Second)
		require.NoError(t, err)
		require.Empty(t, entries)
		require.Equal(t, 5*time.Second, time.Since(start))
		time.AfterFunc(2*time.Second, func() { _, _ = s.Append(context.Background(), []byte("x")) })
		entries, err = s.Read(t.Context(), 1, 10, 5*time.Second)
		require.NoError(t, err)
		require.Len(t, entries, 1)
		require.Equal(t, 7*time.Second, time.Since(start))
	})
}

// Guards against a host list without its faults: lag, hosts listed that are gone and the reverse, outage.
func TestHostListFaults(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(func() time.Time { return now })
	client := startHTTP(t, s)
	a := logservice.Host{Name: "a", DataCentre: "d", Address: "127.0.0.1:1", State: logservice.HostLive}
	b := logservice.Host{Name: "b", DataCentre: "d", Address: "127.0.0.1:2", State: logservice.HostLeaving}
	s.SetHosts([]logservice.Host{a})
	now = now.Add(10 * time.Second)
	s.SetHosts([]logservice.Host{a, b})
	list := func(f Faults) []logservice.Host {
		s.SetFaults(f)
		hosts, err := client.Hosts(t.Context())
		require.NoError(t, err)
		return hosts
	}
	require.Equal(t, []logservice.Host{a, b}, list(Faults{}))
	require.Equal(t, []logservice.Host{a}, list(Faults{HostsLagMs: 5000}))
	require.Equal(t, []logservice.Host{b}, list(Faults{HiddenHosts: []string{"a"}}))
	require.Equal(t, []logservice.Host{a, b, a}, list(Faults{GhostHosts: []logservice.Host{a}}))
	s.SetFaults(Faults{HostsOutage: true})
	_, err := client.Hosts(t.Context())
	require.ErrorIs(t, err, logservice.ErrUnavailable)
}

// Guards against switches that can't be set over HTTP, or that ignore a misspelt name.
func TestFaultsOverHTTP(t *testing.T) {
	s := New(nil)
	h := httptest.NewServer(s.Handler())
	defer h.Close()
	put := func(path, body string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, h.URL+path, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	want := Faults{LogOutage: true, LoseAnswers: -1, KeepMs: 5}
	body, err := json.Marshal(want)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, put("/faults", string(body)))
	require.Equal(t, want, s.Faults())
	require.Equal(t, http.StatusBadRequest, put("/faults", `{"outage":true}`))
	require.Equal(t, http.StatusNoContent, put("/hosts", `{"hosts":[{"name":"a"}]}`))
}

// Guards against clients that return together after an outage, and against a delay beyond the limit.
func TestBackoff(t *testing.T) {
	b := logservice.Backoff{Min: 100 * time.Millisecond, Max: time.Second}
	for i := range 10 {
		full := min(100*time.Millisecond<<i, time.Second)
		d := b.Next()
		require.GreaterOrEqual(t, d, full/2)
		require.LessOrEqual(t, d, full)
	}
}
