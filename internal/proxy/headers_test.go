package proxy

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/emulator"

	"github.com/stretchr/testify/require"
)

// Guards against validation errors that are reported one at a time, or invalid requests that reach an upstream.
func TestAllFindingsInOneResponse(t *testing.T) {
	u := startUpstream(t, emulator.Config{})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{MaxBody: 10}, ServerConfig{})
	got := mustSend(t, newCall(t, e.address, "POST", "/none", "more than ten bytes",
		HeaderCustomer, "stranger", HeaderClass, "fastest", HeaderDeadline, "700000", HeaderIdempotent, "maybe",
		HeaderRequestID, strings.Repeat("x", 129), HeaderFirstAttempt, "1", HeaderDepth, "-1"))
	require.Equal(t, http.StatusBadRequest, got.status)
	require.Equal(t, Unknown, got.outcome(), "the ID may belong to a call that ran")
	require.Equal(t, ReasonInvalid, got.reason())
	var body struct{ Findings []Finding }
	require.NoError(t, json.Unmarshal([]byte(got.body), &body))
	var fields []string
	for _, f := range body.Findings {
		fields = append(fields, f.Field)
	}
	require.ElementsMatch(t, []string{"path", HeaderCustomer, HeaderClass, HeaderDeadline, HeaderIdempotent, HeaderRequestID,
		HeaderFirstAttempt, HeaderDepth, "Content-Length"}, fields)
	runs, _ := u.Totals()
	require.Zero(t, runs.Begun)
}

// Guards against header values that are accepted although they are out of range or malformed.
func TestHeaderValues(t *testing.T) {
	u := startUpstream(t, emulator.Config{})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{})
	for _, tc := range []struct {
		name, value string
		ok          bool
	}{
		{HeaderCustomer, "loans", true},
		{HeaderCustomer, "other", false},
		{HeaderClass, "urgent", true},
		{HeaderClass, "none", false},
		{HeaderDeadline, "600000", true},
		{HeaderDeadline, "600001", false},
		{HeaderDeadline, "0", false},
		{HeaderDeadline, "+5", false},
		{HeaderDeadline, "5s", false},
		{HeaderIdempotent, "false", true},
		{HeaderIdempotent, "True", false},
		{HeaderRequestID, strings.Repeat("~", 128), true},
		{HeaderRequestID, "a b", false},
		{HeaderRequestID, "caf\u00e9", false},
		{HeaderFirstAttempt, "true", true},
	} {
		got := mustSend(t, newCall(t, e.address, "GET", "/x", "", tc.name, tc.value))
		require.Equal(t, tc.ok, got.status == http.StatusOK, "%s: %s", tc.name, tc.value)
	}
	twice := mustSend(t, newCall(t, e.address, "GET", "/x", "", HeaderRequestID, "a", HeaderRequestID, "b"))
	require.Equal(t, http.StatusBadRequest, twice.status)
}

// Guards against hop-by-hop headers that are forwarded, forged internal headers, and a deadline that is extended.
func TestHeadersOfRequestAndResponse(t *testing.T) {
	seen := make(chan http.Header, 1)
	address := startHandler(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		h := w.Header()
		h.Set("Connection", "X-Private")
		h.Set("X-Private", "1")
		h.Set("Keep-Alive", "timeout=5")
		h.Set("X-Public", "1")
		h.Set(HeaderOutcome, "not-run")
		h.Set("Boragehinge-Load", "in-flight=1,seq=4")
		h.Set("Trailer", "X-Sum")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "body")
		h.Set("X-Sum", "7")
	})
	e := startEntry(t, newFakePolicy().addUpstream("p", address), Config{}, ServerConfig{})
	got := mustSend(t, newCall(t, e.address, "POST", "/x", "b", "Connection", "X-Hop, close", "X-Hop", "1", "Te", "trailers",
		"Keep-Alive", "1", "Proxy-Authorization", "secret", "Upgrade", "websocket", "X-End", "1", HeaderPool, "forged",
		HeaderRequestID, "id", HeaderCustomer, "loans", HeaderDeadline, "5000", HeaderDepth, "2"))
	h := <-seen
	for _, name := range []string{"X-Hop", "Te", "Keep-Alive", "Proxy-Authorization", "Upgrade", "Connection", HeaderPool,
		HeaderForward} {
		require.NotContains(t, h, name)
	}
	require.Equal(t, "1", h.Get("X-End"))
	require.Equal(t, "id", h.Get(HeaderRequestID))
	require.Equal(t, "loans", h.Get(HeaderCustomer))
	require.Equal(t, "ordinary", h.Get(HeaderClass))
	require.Equal(t, "3", h.Get(HeaderDepth))
	ms, err := strconv.Atoi(h.Get(HeaderDeadline))
	require.NoError(t, err)
	require.Less(t, ms, 5000)
	require.Positive(t, ms)
	require.Equal(t, http.StatusTeapot, got.status)
	require.Equal(t, Done, got.outcome())
	require.Equal(t, "1", got.header.Get("X-Public"))
	for _, name := range []string{"X-Private", "Keep-Alive", "Boragehinge-Load"} {
		require.NotContains(t, got.header, name)
	}
	require.Equal(t, "7", got.trailer.Get("X-Sum"))
	eventually(t, func() bool { return e.openGrants() == 0 })
	require.EqualValues(t, 4, e.lastResult().Report.Seq)
}

// Guards against request smuggling: each request must be rejected, or reach the upstream as exactly one request.
func TestRequestSmuggling(t *testing.T) {
	paths := make(chan string, 100)
	address := startHandler(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		paths <- r.URL.Path + " " + string(b)
	})
	e := startEntry(t, newFakePolicy().addUpstream("p", address), Config{}, ServerConfig{})
	hidden := "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, tc := range []struct {
		name, raw string
		reaches   []string
	}{
		{"differing lengths", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 34\r\n\r\n" + hidden, nil},
		{"signed length", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: +0\r\n\r\n" + hidden, nil},
		{"unknown encoding", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n" + hidden, nil},
		{"two encodings", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden, nil},
		{"blank before colon", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + hidden, nil},
		{"folded line", "POST /x HTTP/1.1\r\nHost: a\r\nX: 1\r\n Transfer-Encoding: chunked\r\n\r\n", []string{"/x "}},
		{"two hosts", "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", nil},
		{"connection names length", "POST /x HTTP/1.1\r\nHost: a\r\nConnection: Content-Length\r\nContent-Length: 3\r\n\r\nabc", nil},
		{"connection names our header", "GET /x HTTP/1.1\r\nHost: a\r\nConnection: Boragehinge-Request-Id\r\n\r\n", nil},
		{"chunked in HTTP/1.0", "POST /x HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden, nil},
		{"HTTP/1.0", "GET /x HTTP/1.0\r\nHost: a\r\n\r\n", nil},
		{"length and chunks", "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"3\r\nabc\r\n0\r\n\r\n", []string{"/x abc"}},
		{"connect", "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n", nil},
		{"trace", "TRACE /x HTTP/1.1\r\nHost: a\r\n\r\n", nil},
		{"no slash", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", nil},
		{"encoded line end", "GET /x%0d%0aGET HTTP/1.1\r\nHost: a\r\n\r\n", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sendRaw(t, e.address, tc.raw)
			var got []string
			for len(paths) > 0 {
				got = append(got, <-paths)
			}
			require.Equal(t, tc.reaches, got)
		})
	}
}

// sendRaw writes raw bytes and discards responses until the connection is closed or 300 ms have passed.
func sendRaw(t *testing.T, address, raw string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, raw)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
	_, _ = io.Copy(io.Discard, bufio.NewReader(c))
}

// Guards against "not run" for a resend whose earlier attempt ran: if a request is refused before its ID is looked up,
// the outcome is unknown unless the caller marks it as the first attempt.
func TestRefusalBeforeRegistration(t *testing.T) {
	u := startUpstream(t, emulator.Config{})
	e := startEntry(t, newFakePolicy().addUpstream("p", u.Address()), Config{}, ServerConfig{})
	ran := mustSend(t, newCall(t, e.address, "POST", "/x", "", HeaderRequestID, "a"))
	require.Equal(t, Done, ran.outcome())
	for _, tc := range []struct {
		name    string
		outcome Outcome
		headers []string
	}{
		{"resend", Unknown, []string{HeaderRequestID, "a"}},
		{"first attempt", NotRun, []string{HeaderRequestID, "b", HeaderFirstAttempt, "true"}},
		{"idempotent", NotRun, []string{HeaderRequestID, "a", HeaderIdempotent, "true"}},
		{"without an ID", NotRun, nil},
	} {
		got := mustSend(t, newCall(t, e.address, "POST", "/x", "", append(tc.headers, HeaderClass, "none")...))
		require.Equal(t, http.StatusBadRequest, got.status, tc.name)
		require.Equal(t, tc.outcome, got.outcome(), tc.name)
	}
}
