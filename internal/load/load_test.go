package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/client"
	"boragehinge.example/boragehinge/internal/dev"
	"boragehinge.example/boragehinge/internal/emulator"
	"boragehinge.example/boragehinge/inventory"
)

// senderFunc answers calls in virtual time.
type senderFunc func(c *call)

func (f senderFunc) send(_ context.Context, _ Kind, c *call) { f(c) }
func (f senderFunc) close()                                  {}

func virtual(t *testing.T, o Options, s senderFunc) (*Report, []*call) {
	require.NoError(t, o.check())
	r := &runner{o: o, sender: s, free: make(chan struct{}, o.MaxOpen)}
	calls := r.run(t.Context())
	return r.report(t.Context(), calls), calls
}

var kinds = []Kind{{Name: "lookups", Method: "GET", Path: "/a/{n}", Share: 3, Idempotent: true}, {Name: "orders", Method: "POST", Path: "/b/{n}", Share: 1}}

// Guards against a tool that waits with the next call while the system stalls, and so hides the stall; against calls of the
// warm-up in the figures; and against runs that differ with the same seed.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{Entries: []string{"x"}, Kinds: kinds, Customers: []string{"a", "b"}, Rate: 1000, WarmUp: time.Second, Duration: 4 * time.Second, Seed: 7}
		start := time.Now()
		stall := func(c *call) {
			c.outcome = client.Done
			if until := 3 * time.Second; c.due > 2*time.Second && c.due < until {
				time.Sleep(until - time.Since(start)) // the system stalls for 1 s
			}
			time.Sleep(time.Millisecond)
		}
		r, calls := virtual(t, o, stall)
		total := r.Kinds[0].Calls + r.Kinds[1].Calls
		assert.InDelta(t, 4000, total, 300)
		assert.InDelta(t, 3, float64(r.Kinds[0].Calls)/float64(r.Kinds[1].Calls), 0.4)
		assert.InDelta(t, 1000, len(calls)-total, 150)
		assert.InDelta(t, 1, r.Kinds[0].P50Ms, 0.1)
		assert.Greater(t, r.Kinds[0].P99Ms, 900.0, "a quarter of the calls were due during the stall")
		assert.InDelta(t, 1000, r.Kinds[0].MaxMs, 10)

		start = time.Now()
		_, again := virtual(t, o, stall)
		require.Len(t, again, len(calls))
		for i := range calls {
			assert.Equal(t, [3]any{calls[i].due, calls[i].kind, calls[i].customer}, [3]any{again[i].due, again[i].kind, again[i].customer})
		}

		o.MaxOpen = 10
		r, _ = virtual(t, o, func(*call) { time.Sleep(100 * time.Millisecond) })
		assert.Greater(t, r.NotSent, 3000)
		o.MaxOpen, o.Calls = 0, 50
		r, _ = virtual(t, o, func(c *call) { c.outcome, c.reason = client.NotRun, "overload" })
		assert.Equal(t, 50, r.Kinds[0].Reasons["overload"]+r.Kinds[1].Reasons["overload"])
	})
}

// Guards against a report of none lost and none doubled that never looked.
func TestRecordsFindLostAndDoubledCalls(t *testing.T) {
	s := emulator.New(emulator.Config{Name: "u", Seed: 1})
	require.NoError(t, s.Start("127.0.0.1:0"))
	defer s.Close()
	for _, id := range []string{"once", "twice", "twice", "refused"} {
		r, err := http.NewRequest(http.MethodPost, "http://"+s.Address()+"/b", nil)
		require.NoError(t, err)
		r.Header.Set("Boragehinge-Request-Id", id)
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = resp.Body.Close()
	}
	o := Options{Kinds: kinds, Upstreams: []string{s.Address()}}
	end := func(outcome client.Outcome, ids ...string) *call { return &call{kind: 1, outcome: outcome, ids: ids} }
	records, err := readRecords(t.Context(), o, []*call{
		end(client.Done, "once"), end(client.Done, "twice"), end(client.Done, "never"), end(client.NotRun, "refused"),
		end(client.Unknown, "unknown"), end(client.Done, "refused", "once"), {kind: 0, outcome: client.Done, ids: []string{"twice"}},
	})
	require.NoError(t, err)
	assert.Equal(t, [4]int{6, 1, 2, 1}, [4]int{records.Calls, records.Lost, records.Doubled, records.FalseNot}, records.Examples)
	_, err = readRecords(t.Context(), Options{Upstreams: []string{"127.0.0.1:1"}}, nil)
	assert.Error(t, err)
}

// Guards against options that are read as something else.
func TestKindsAndOptions(t *testing.T) {
	k, err := ParseKind("name=orders,method=post,path=/b/{n},share=2,idempotent=false,body=100,deadline=2s,class=urgent")
	require.NoError(t, err)
	assert.Equal(t, Kind{Name: "orders", Method: "POST", Path: "/b/{n}", Share: 2, BodyBytes: 100, Deadline: 2 * time.Second, Class: "urgent"}, k)
	k, err = ParseKind("download=4096")
	require.NoError(t, err)
	assert.Equal(t, "/archive/4096", k.Path)
	for _, text := range []string{"path", "size=3", "share=x"} {
		_, err = ParseKind(text)
		assert.Error(t, err, text)
	}
	_, err = Run(t.Context(), Options{Direct: true, Rate: -1, Kinds: []Kind{{Name: "x", Path: "y"}}})
	for _, part := range []string{"rate", "duration", "kind x", "shares", "upstreams"} {
		assert.ErrorContains(t, err, part)
	}
}

// Guards against a tool that measures something else than the installation: all kinds through entries and direct, with
// whole responses, and every order run exactly once.
func TestAgainstAnInstallation(t *testing.T) {
	text, err := os.ReadFile("../../examples/yeux-clairs.yaml")
	require.NoError(t, err)
	inv, findings := inventory.Check("", []byte(strings.NewReplacer("127.0.1.", "127.0.53.").Replace(string(text))), time.Now())
	require.Empty(t, findings)
	in, err := dev.Start(t.Context(), dev.Options{Inventory: inv, Seed: 1})
	require.NoError(t, err)
	defer func() {
		stopping, cancel := context.WithTimeout(context.Background(), 25*time.Second)
		defer cancel()
		assert.NoError(t, in.Stop(stopping))
	}()
	snapshot := inventory.NewSnapshot(1, inv)
	service, _ := snapshot.Service("bench-orders")
	o := Options{
		Service: service.Name, Entries: in.CallerAddresses(), Kinds: KindsOf(service), Rate: 100, WarmUp: 500 * time.Millisecond,
		Duration: 2 * time.Second, Seed: 3, Records: true, Customers: []string{"opticians"},
	}
	require.Len(t, o.Kinds, 3)
	for _, u := range service.Upstreams {
		o.Upstreams = append(o.Upstreams, u.Address)
	}
	var out bytes.Buffer
	var reports []*Report
	for _, direct := range []bool{true, false} {
		o.Direct = direct
		r, err := Run(t.Context(), o)
		require.NoError(t, err)
		reports = append(reports, r)
		require.NoError(t, r.WriteText(&out))
		for _, k := range r.Kinds {
			assert.NotZero(t, k.Done, k.Name)
			assert.Zero(t, k.Wrong+k.Failed+k.Unknown, fmt.Sprint(k.Name, k.Reasons))
		}
		require.NotNil(t, r.Records, r.RecordsOf)
		assert.NotZero(t, r.Records.Calls)
		assert.Zero(t, r.Records.Lost+r.Records.Doubled+r.Records.FalseNot, out.String())
	}
	require.NoError(t, Compare(&out, reports[0], reports[1]))
	assert.Contains(t, out.String(), "p99 added ms")
}
