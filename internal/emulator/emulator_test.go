package emulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"boragehinge.example/boragehinge/internal/transport"

	"github.com/stretchr/testify/require"
)

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	s := New(cfg)
	require.NoError(t, s.Start("127.0.0.1:0"))
	t.Cleanup(s.Close)
	return s
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func get(t *testing.T, s *Server, path, id string) reply {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address()+path, nil)
	require.NoError(t, err)
	r.Header.Set(headerRequestID, id)
	client := &http.Transport{DisableKeepAlives: true}
	resp, err := client.RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err}
}

func putFaults(t *testing.T, s *Server, body string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+s.Address()+"/-/faults", strings.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// Guards against responses that can't be matched to requests, and executions that aren't counted.
func TestEchoAndCount(t *testing.T) {
	s := start(t, Config{Name: "u1"})
	got := get(t, s, "/lookup", "id-1")
	require.NoError(t, got.err)
	require.Equal(t, "id-1 GET /lookup\n", got.body)
	require.Equal(t, "id-1", got.header.Get(HeaderEcho))
	rep, err := transport.ParseLoad(got.header.Get(transport.HeaderLoad))
	require.NoError(t, err)
	require.Equal(t, 1, rep.InFlight)
	require.Equal(t, Execution{Begun: 1, Completed: 1}, s.Executions("id-1"))
	get(t, s, "/lookup", "id-1")
	require.Equal(t, 2, s.Executions("id-1").Begun)
	require.Contains(t, get(t, s, "/-/executions?id=id-1", "").body, `"begun":2`)
}

// Guards against more requests run than slots, and against refusals that lack their proof.
func TestSlotsQueueAndShedding(t *testing.T) {
	s := start(t, Config{Slots: 2, QueueLimit: 1, Routes: []Route{{"/slow", Distribution{Typical: 200 * time.Millisecond}}}})
	var wg sync.WaitGroup
	var mu sync.Mutex
	byStatus := map[int]int{}
	for range 6 {
		wg.Go(func() {
			got := get(t, s, "/slow", "")
			mu.Lock()
			defer mu.Unlock()
			byStatus[got.status]++
			if got.status == http.StatusServiceUnavailable && got.header.Get(transport.HeaderNotRun) != "true" {
				t.Error("a shed request must be marked as not run")
			}
		})
	}
	wg.Wait()
	runs, shed := s.Totals()
	require.Equal(t, runs.Begun, byStatus[http.StatusOK])
	require.Equal(t, shed, byStatus[http.StatusServiceUnavailable])
	require.Equal(t, 6, runs.Begun+shed)
	require.Equal(t, 2, s.State().MaxInFlight)
	require.Positive(t, shed)
	require.Zero(t, s.State().InFlight)
}

// Guards against a cold state that forgives overload, or never ends.
func TestColdRampAndCollapse(t *testing.T) {
	s := New(Config{Slots: 4, StartCold: true, Cold: Cold{Step: 2}})
	now := time.Unix(1000, 0)
	sl := &s.slots
	for want := 1; want <= 2; want *= 2 {
		require.Equal(t, want, sl.allowance)
		for range want * 2 {
			_, ok := sl.enter()
			require.True(t, ok)
			factor, ok := sl.begin(now)
			require.True(t, ok)
			require.InDelta(t, 1, factor, 0)
			sl.leave(true)
		}
	}
	require.False(t, sl.cold, "warm after 2 successes at 1 and 4 at 2")
	sl.becomeCold()
	for range 3 {
		_, ok := sl.enter()
		require.True(t, ok)
	}
	_, ok := sl.begin(now)
	require.False(t, ok, "two above the allowance collapse the server")
	sl.leave(false)
	sl.leave(false)
	_, ok = sl.begin(now.Add(999 * time.Millisecond))
	require.False(t, ok)
	_, ok = sl.begin(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 1, sl.state().Collapses)
}

// Guards against a crash that isn't one: connections must be reset, the port must refuse, and the server must come back
// on the same address, cold, with its counts.
func TestCrashAndReturn(t *testing.T) {
	s := start(t, Config{})
	require.Equal(t, http.StatusOK, putFaults(t, s, `{"crashOn":"poison","crashDownMs":300}`))
	require.Error(t, get(t, s, "/x", "poison-1").err)
	tr := transport.New(transport.Config{})
	defer tr.Close()
	var e *transport.Error
	require.ErrorAs(t, tr.CheckConnect(t.Context(), s.Address()), &e)
	require.Equal(t, transport.ConnectFailed, e.Kind)
	require.Eventually(t, func() bool { return get(t, s, "/x", "good").err == nil }, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, 1, s.Crashes())
	require.Equal(t, 1, s.Executions("poison-1").Begun)
	require.True(t, s.State().Cold)
}

// Guards against open connections that still answer after they went silent, and new ones that don't.
func TestSilentConnections(t *testing.T) {
	s := start(t, Config{})
	tr := transport.New(transport.Config{NewConnsBurst: 10})
	defer tr.Close()
	send := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		r, err := http.NewRequest(http.MethodGet, "http://u/x", nil)
		require.NoError(t, err)
		resp, err := tr.RoundTrip(ctx, s.Address(), r, true)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	require.NoError(t, send(10*time.Second))
	require.NoError(t, s.SetFaults(Faults{SilenceOpen: true}))
	var e *transport.Error
	require.ErrorAs(t, send(100*time.Millisecond), &e)
	require.Equal(t, transport.CauseDeadline, e.Cause)
	require.NoError(t, send(10*time.Second), "a new connection works")
	runs, _ := s.Totals()
	require.Equal(t, 2, runs.Begun, "a request on a silent connection must not arrive")
}

// Guards against reports that are truthful when they shouldn't be.
func TestFalseReports(t *testing.T) {
	s := start(t, Config{StartCold: true})
	load := func() string { return get(t, s, "/x", "").header.Get(transport.HeaderLoad) }
	require.Contains(t, load(), "cold=true")
	require.Equal(t, http.StatusOK, putFaults(t, s, `{"report":"frozen"}`))
	frozen := load()
	require.Equal(t, frozen, load())
	require.Equal(t, http.StatusOK, putFaults(t, s, `{"report":"idle"}`))
	require.Contains(t, load(), "in-flight=0,queued=0,cold=false")
	require.Equal(t, http.StatusOK, putFaults(t, s, `{"report":"none"}`))
	require.Empty(t, load())
	require.Equal(t, http.StatusBadRequest, putFaults(t, s, `{"report":"guess"}`))
	require.Equal(t, http.StatusBadRequest, putFaults(t, s, `{"unknown":1}`))
}

// Guards against faults that don't fail as configured.
func TestFailures(t *testing.T) {
	s := start(t, Config{Seed: 7})
	require.NoError(t, s.SetFaults(Faults{FailRoutes: map[string]float64{"/bad": 1, "/bad/fine": 0}}))
	require.Equal(t, http.StatusInternalServerError, get(t, s, "/bad/x", "").status)
	require.Equal(t, http.StatusOK, get(t, s, "/bad/fine", "").status)
	require.NoError(t, s.SetFaults(Faults{Draining: true}))
	got := get(t, s, "/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.header.Get(transport.HeaderLoad), "draining=true")
	require.NoError(t, s.SetFaults(Faults{TruncateOn: "/archive"}))
	require.ErrorIs(t, get(t, s, "/archive/100000", "").err, io.ErrUnexpectedEOF)
}

// Guards against a failure that takes a longer time to free its slot, and an unnoticed cancellation.
func TestCancellationFreesSlot(t *testing.T) {
	s := start(t, Config{Slots: 1, Routes: []Route{{"/long", Distribution{Typical: time.Hour}}}})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address()+"/long", nil)
	require.NoError(t, err)
	r.Header.Set(headerRequestID, "left")
	go func() {
		for s.State().InFlight == 0 {
			runtime.Gosched()
		}
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(r)
	require.ErrorIs(t, err, context.Canceled)
	require.Eventually(t, func() bool { return s.State().InFlight == 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, Execution{Begun: 1, Cancelled: 1}, s.Executions("left"))
}

// Guards against archive bodies held in memory, and a check that accepts damaged ones.
func TestArchive(t *testing.T) {
	var before, after runtime.MemStats
	const size = 64 << 20
	runtime.ReadMemStats(&before)
	require.NoError(t, CheckArchive(&archive{left: size}, size))
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
	data, err := io.ReadAll(&archive{left: 1000})
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{
		"short":   data[:999],
		"long":    append(bytes.Clone(data), 0),
		"shifted": append([]byte{250}, data[:999]...),
	} {
		require.Error(t, CheckArchive(bytes.NewReader(damaged), 1000), name)
	}
}

// Guards against service times that differ between runs with the same seed.
func TestSeed(t *testing.T) {
	draw := func(seed uint64) string {
		s := New(Config{Seed: seed, Routes: []Route{{"/e", Distribution{Kind: Exponential, Typical: time.Second}},
			{"/l", Distribution{Kind: LogNormal, Typical: time.Second, Sigma: 1}}}})
		var out strings.Builder
		for i := range 50 {
			wait, failed, overload := s.plan([]string{"/e", "/l"}[i%2], &Faults{})
			_, _ = fmt.Fprint(&out, wait, failed, overload)
		}
		return out.String()
	}
	require.Equal(t, draw(1), draw(1))
	require.NotEqual(t, draw(1), draw(2))
}
