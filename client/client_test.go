package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errLost = errors.New("connection reset")

// network is a transport to fake entries without sockets, for tests in virtual time.
type network struct {
	mu      sync.Mutex
	entries map[string]*fakeEntry
	keep    int
	asked   int
}

// fakeEntry answers the calls to one address. Its registry runs an ID at most once.
type fakeEntry struct {
	dc     string
	down   bool // refuses connections
	answer func(n int, r *http.Request) (*http.Response, error)
	calls  []*http.Request
	times  []time.Time
	ran    map[string]int
}

func response(status int, outcome, body string, header ...string) *http.Response {
	h := http.Header{headerOutcome: {outcome}}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(body))}
}

func done(int, *http.Request) (*http.Response, error) { return response(200, "done", "ok"), nil }

func newNetwork(addresses ...string) *network {
	n := &network{entries: map[string]*fakeEntry{}, keep: 10}
	for _, a := range addresses {
		n.entries[a] = &fakeEntry{dc: a[:1], answer: done, ran: map[string]int{}}
	}
	return n
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[r.URL.Host]
	if e == nil || e.down {
		return nil, errors.New("connection refused")
	}
	if r.URL.Path == addressPath {
		n.asked++
		return n.tell(), nil
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	e.calls, e.times = append(e.calls, r), append(e.times, time.Now())
	return e.answer(len(e.calls), r)
}

func (n *network) tell() *http.Response {
	var list []string
	names := make([]string, 0, len(n.entries))
	for a := range n.entries {
		names = append(names, a)
	}
	slices.Sort(names)
	for _, a := range names {
		list = append(list, fmt.Sprintf(`{"address":%q,"dataCentre":%q,"requestIdPrefix":"bh1.%s.1"}`, a, n.entries[a].dc, a))
	}
	return response(200, "", fmt.Sprintf(`{"addresses":[%s],"keepSeconds":%d}`, strings.Join(list, ","), n.keep))
}

func (n *network) client(t *testing.T, change func(*Settings)) *Client {
	s := Settings{Entries: []string{"a1:1", "gone:1"}, Service: "bench", Transport: n, Customer: "town"}
	if change != nil {
		change(&s)
	}
	c, err := New(s)
	require.NoError(t, err)
	return c
}

func (n *network) total() (calls int) {
	for _, e := range n.entries {
		calls += len(e.calls)
	}
	return calls
}

func do(t *testing.T, c *Client, call Call) *Result {
	r, err := c.Do(t.Context(), call)
	require.NoError(t, err)
	return r
}

var order = Call{Method: "POST", Path: "/bench/orders", Body: []byte("x")}

// Guards against asking an entry for each call, using an answer for ever, calls that all meet one address, and calls that
// leave the nearest data centre without need.
func TestAddressesAreKeptAndCallsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1", "a2:1", "b1:1")
		c := n.client(t, nil)
		for range 10 {
			assert.Equal(t, Done, do(t, c, Call{Path: "/bench/x"}).Outcome)
		}
		assert.Equal(t, 1, n.asked)
		assert.Len(t, n.entries["a1:1"].calls, 5)
		assert.Len(t, n.entries["a2:1"].calls, 5)
		time.Sleep(11 * time.Second)
		do(t, c, Call{Path: "/bench/x"})
		assert.Equal(t, 2, n.asked)

		time.Sleep(11 * time.Second)
		for _, e := range n.entries {
			e.down = true
		}
		assert.Equal(t, ReasonConnectFailed, do(t, c, Call{Path: "/bench/x"}).Reason, "an old answer is used while no entry answers")
		time.Sleep(staleLimit)
		r := do(t, c, Call{Path: "/bench/x", Deadline: time.Second})
		assert.Equal(t, NotRun, r.Outcome)
		assert.Equal(t, ReasonNoAddress, r.Reason)

		all := newNetwork("a1:1", "b1:1", "c1:1")
		spread := all.client(t, func(s *Settings) { s.AllDataCentres = true })
		for range 9 {
			do(t, spread, Call{Path: "/bench/x"})
		}
		assert.Len(t, all.entries["c1:1"].calls, 3)
	})
}

// Guards against missing headers, a deadline that isn't shrunk, and IDs that repeat or lack the prefix.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1")
		c := n.client(t, nil)
		first, second := do(t, c, order), do(t, c, Call{Method: "POST", Path: "/bench/orders", Deadline: 7 * time.Second})
		assert.True(t, strings.HasPrefix(first.RequestID, "bh1.a1:1.1."), first.RequestID)
		assert.NotEqual(t, first.RequestID, second.RequestID)
		h := n.entries["a1:1"].calls[0].Header
		assert.Equal(t, []string{"town", "", "", "false", "true"}, []string{
			h.Get(headerCustomer), h.Get(headerClass), h.Get(headerDeadline), h.Get(headerIdempotent), h.Get(headerFirstAttempt)})
		assert.Equal(t, "7000", n.entries["a1:1"].calls[1].Header.Get(headerDeadline), "else the deadline of the class holds")
		assert.Empty(t, do(t, c, Call{Path: "/bench/x", Class: "urgent"}).RequestID)
		assert.Equal(t, "urgent", n.entries["a1:1"].calls[2].Header.Get(headerClass))
		_, err := c.Do(t.Context(), Call{Path: "bench"})
		assert.Error(t, err)
		_, err = c.Do(t.Context(), Call{Path: "/bench", Resend: true})
		assert.Error(t, err)
		_, err = New(Settings{})
		assert.Error(t, err)
	})
}

// Guards against an idempotent call that is lost with its entry, or a silent entry that uses up the whole deadline.
func TestIdempotentCallGoesToAnotherAddress(t *testing.T) {
	for name, fault := range map[string]func(int, *http.Request) (*http.Response, error){
		"lost":      func(int, *http.Request) (*http.Response, error) { return nil, errLost },
		"truncated": func(int, *http.Request) (*http.Response, error) { return truncated(), nil },
		"unknown":   func(int, *http.Request) (*http.Response, error) { return response(502, "unknown", ""), nil },
		"silent": func(_ int, r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork("a1:1", "a2:1")
				n.entries["a2:1"].answer = fault
				c := n.client(t, nil)
				for range 4 {
					r := do(t, c, Call{Path: "/bench/x"})
					assert.Equal(t, Done, r.Outcome)
					assert.Equal(t, "a1:1", r.Address)
				}
				assert.NotEmpty(t, n.entries["a2:1"].calls)
			})
		})
	}
}

func truncated() *http.Response {
	r := response(200, "done", "")
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), errReader{}))
	return r
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a call that runs twice: after a lost connection only the same ID may be sent again, and a later refusal
// as not run says nothing about the first attempt.
func TestOtherCallsAreResentWithTheSameID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1", "a2:1", "a3:1")
		for _, e := range n.entries {
			e.answer = func(k int, r *http.Request) (*http.Response, error) {
				if k == 1 {
					return nil, errLost
				}
				return response(200, "done", "replayed"), nil
			}
		}
		r := do(t, n.client(t, nil), order)
		assert.Equal(t, Done, r.Outcome)
		assert.Equal(t, 2, r.Attempts)
		home := n.entries[r.Address].calls
		require.Len(t, home, 2, "the resend goes to the entry that may start the call")
		assert.Equal(t, home[0].Header.Get(headerRequestID), home[1].Header.Get(headerRequestID))
		assert.Empty(t, home[1].Header.Get(headerFirstAttempt))

		n = newNetwork("a1:1", "a2:1")
		for _, e := range n.entries {
			e.answer = func(k int, r *http.Request) (*http.Response, error) {
				if n.total() == 1 {
					return nil, errLost
				}
				return response(503, "not-run", "", "Retry-After", "1"), nil
			}
		}
		r = do(t, n.client(t, nil), order)
		assert.Equal(t, Unknown, r.Outcome)
		assert.Equal(t, ReasonConnectionLost, r.Reason)
		ids := map[string]bool{}
		for _, e := range n.entries {
			for _, call := range e.calls {
				ids[call.Header.Get(headerRequestID)] = true
			}
		}
		assert.Len(t, ids, 1)

		n = newNetwork("a1:1")
		n.entries["a1:1"].answer = func(int, *http.Request) (*http.Response, error) { return response(409, "unknown", ""), nil }
		assert.Equal(t, 1, do(t, n.client(t, nil), order).Attempts, "the record's answer stays the same")

		n.entries["a1:1"].answer = func(int, *http.Request) (*http.Response, error) { return response(429, "not-run", ""), nil }
		r = do(t, n.client(t, nil), Call{Method: "POST", Path: "/bench/orders", RequestID: "order-7", Resend: true})
		assert.Equal(t, Unknown, r.Outcome, "an earlier process may have had it run")
		assert.Equal(t, ReasonResend, r.Reason)
		assert.Equal(t, "order-7", r.RequestID)
	})
}

// Guards against an old ID at a new entry after a connection that was never made: that entry must refuse it.
func TestNewIDAfterARefusedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1", "a2:1")
		c := n.client(t, nil)
		_, err := c.Addresses(t.Context())
		require.NoError(t, err)
		n.entries["a2:1"].down = true
		for range 3 {
			r := do(t, c, order)
			assert.Equal(t, Done, r.Outcome)
			assert.Contains(t, r.RequestID, "bh1.a1:1.")
		}
		assert.Equal(t, 1, do(t, c, order).Attempts, "an address that failed is left alone for a while")
		time.Sleep(avoidTime + time.Millisecond)
		n.entries["a2:1"].down = false
		used := map[string]bool{}
		for range 2 {
			used[do(t, c, order).Address] = true
		}
		assert.Len(t, used, 2, "and used again later")
	})
}

// Guards against hammering an overloaded entry, and against retries on top of the entry's own.
func TestRetryAfterAndRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1")
		e := n.entries["a1:1"]
		e.answer = func(k int, r *http.Request) (*http.Response, error) {
			if k == 1 {
				return response(503, "not-run", "", "Retry-After", "3"), nil
			}
			return done(k, r)
		}
		r := do(t, n.client(t, func(s *Settings) { s.Deadline = 30 * time.Second }), order)
		assert.Equal(t, Done, r.Outcome)
		assert.Equal(t, 3*time.Second, e.times[1].Sub(e.times[0]))
		assert.NotEqual(t, e.calls[0].Header.Get(headerRequestID), e.calls[1].Header.Get(headerRequestID), "a call proved not run starts anew")
		assert.Equal(t, []string{e.calls[0].Header.Get(headerRequestID)}, r.GivenUp)
		assert.Equal(t, "27000", e.calls[1].Header.Get(headerDeadline))

		for _, c := range []struct {
			status int
			header []string
		}{
			{503, []string{"Retry-After", "1", headerRetried, "true"}},
			{429, []string{"Retry-After", "1"}},
			{400, nil},
			{503, []string{"Retry-After", "60"}},
		} {
			e.calls, e.times = nil, nil
			e.answer = func(int, *http.Request) (*http.Response, error) {
				return response(c.status, "not-run", "", c.header...), nil
			}
			r := do(t, n.client(t, nil), Call{Path: "/bench/x"})
			assert.Equal(t, NotRun, r.Outcome)
			assert.Len(t, e.calls, 1, fmt.Sprint(c))
		}
	})
}

// Guards against a call that outlives its context.
func TestContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1")
		n.entries["a1:1"].answer = func(_ int, r *http.Request) (*http.Response, error) { return nil, r.Context().Err() }
		c := n.client(t, nil)
		_, err := c.Addresses(t.Context())
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		r, err := c.Do(ctx, order)
		require.NoError(t, err)
		assert.Equal(t, Unknown, r.Outcome)
		assert.Equal(t, ReasonDeadline, r.Reason)
		assert.Equal(t, 1, r.Attempts)
	})
}

// Guards against faults that only real connections show: large bodies that are held in memory or cut without an error,
// and a connection that closes during the run.
func TestOverSockets(t *testing.T) {
	var address string
	mux := http.NewServeMux()
	mux.HandleFunc(addressPath, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"addresses":[{"address":%q,"dataCentre":"a","requestIdPrefix":"bh1.x.1"}],"keepSeconds":5}`, address)
	})
	mux.HandleFunc("/large", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerOutcome, "done")
		w.Header().Set("Content-Length", "2000000")
		_, _ = w.Write(make([]byte, 1_000_000))
		if r.URL.RawQuery == "cut" {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write(make([]byte, 1_000_000))
	})
	ids := make(chan string, 8)
	mux.HandleFunc("/lost", func(_ http.ResponseWriter, r *http.Request) {
		ids <- r.Header.Get(headerRequestID)
		panic(http.ErrAbortHandler)
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	address = server.Listener.Addr().(*net.TCPAddr).String()
	c, err := New(Settings{Entries: []string{address}, Service: "s", MaxAttempts: 2})
	require.NoError(t, err)
	defer c.Close()
	data, err := do(t, c, Call{Path: "/large"}).ReadAll()
	require.NoError(t, err)
	assert.Len(t, data, 2_000_000)
	_, err = do(t, c, Call{Path: "/large?cut"}).ReadAll()
	assert.Error(t, err)
	r := do(t, c, Call{Method: "POST", Path: "/lost"})
	assert.Equal(t, Unknown, r.Outcome)
	assert.Equal(t, <-ids, <-ids)
}

// Guards against a mark of the first attempt in the caller's own headers that stays on a resend: an entry that doesn't
// know the ID would run the call again.
func TestCallersFirstAttemptMarkIsNotResent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork("a1:1")
		n.entries["a1:1"].answer = func(k int, _ *http.Request) (*http.Response, error) {
			if k == 1 {
				return nil, errLost
			}
			return response(200, "done", "replayed"), nil
		}
		call := order
		call.RequestID, call.Header = "order-1", http.Header{headerFirstAttempt: {"true"}}
		assert.Equal(t, 2, do(t, n.client(t, nil), call).Attempts)
		sent := n.entries["a1:1"].calls
		assert.Equal(t, "true", sent[0].Header.Get(headerFirstAttempt))
		assert.Empty(t, sent[1].Header.Get(headerFirstAttempt))
	})
}
