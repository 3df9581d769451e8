package operators

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/inventory"
)

type source struct {
	state    State
	notReady string
	snapshot *inventory.Snapshot
	left     []Leaving
	leaveErr error
}

func (s *source) Ready() (bool, string)         { return s.notReady == "", s.notReady }
func (s *source) State() State                  { return s.state }
func (s *source) Snapshot() *inventory.Snapshot { return s.snapshot }
func (s *source) Candidates(service, version string) []Candidate {
	return []Candidate{
		{Pool: service + "/te-1/0", OwnerHere: true, Slots: 3, InFlight: 2, WeightPercent: 75,
			Waits: []dispatch.WaitSummary{{Class: "urgent", Wait: time.Millisecond, Queued: 4}}},
		{Pool: service + "/te-2/0", Owner: "b", Excluded: "no upstream of version " + version},
	}
}
func (s *source) Leave(_ context.Context, l Leaving) (LeaveResult, error) {
	s.left = append(s.left, l)
	return LeaveResult{DataCentre: l.DataCentre, Told: 2, Logged: true, Base: 7}, s.leaveErr
}

func newSource(t *testing.T) *source {
	data, err := os.ReadFile("../../examples/yeux-clairs.yaml")
	require.NoError(t, err)
	inv, findings := inventory.Check("yeux-clairs.yaml", data, at)
	require.Empty(t, findings)
	return &source{
		snapshot: inventory.NewSnapshot(7, inv),
		state:    State{Now: at, Self: Self{Host: "a", DataCentre: "te-1", ViewConfirmed: true}, Configuration: Configuration{Version: 7, LowestVersion: 7}, Members: members(7)},
	}
}

func request(p http.Handler, method, target, accept, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Header.Set("Accept", accept)
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return w
}

// Guards against an entry that is restarted because it isn't ready, or gets callers before it is.
func TestHealthAndReadiness(t *testing.T) {
	s := newSource(t)
	p := New(Settings{Source: s})
	assert.Equal(t, 200, request(p, "GET", "/readyz", "", "").Code)
	s.notReady = "no configuration"
	w := request(p, "GET", "/readyz", "", "")
	assert.Equal(t, 503, w.Code)
	assert.Equal(t, "not ready: no configuration\n", w.Body.String())
	assert.Equal(t, 200, request(p, "GET", "/healthz", "", "").Code)
}

// Guards against a format that depends on chance: ?format goes before Accept, and an unknown format is refused.
func TestFormats(t *testing.T) {
	p := New(Settings{Source: newSource(t)})
	for _, c := range []struct {
		target, accept, kind string
		code                 int
	}{
		{"/v1/status", "", "text/plain", 200},
		{"/v1/status", "text/html, application/json;q=0.9", "application/json", 200},
		{"/v1/status?format=text", "application/json", "text/plain", 200},
		{"/v1/status?format=json", "", "application/json", 200},
		{"/v1/history?format=xml", "", "text/plain", 400},
		{"/v1/history?limit=-1", "", "text/plain", 400},
		{"/v1/history?since=yesterday", "", "text/plain", 400},
		{"/v1/explain?path=bench", "application/json", "application/json", 400},
		{"/v1/leave", "", "", 405},
	} {
		w := request(p, "GET", c.target, c.accept, "")
		assert.Equal(t, c.code, w.Code, c.target)
		assert.Contains(t, w.Header().Get("Content-Type"), c.kind, c.target)
	}
	var st Status
	require.NoError(t, json.Unmarshal(request(p, "GET", "/v1/status?format=json", "", "").Body.Bytes(), &st))
	assert.True(t, st.Ready)
	assert.Contains(t, request(p, "GET", "/v1/status", "", "").Body.String(), "configuration 7 is in force on the only entry")
}

// Guards against a history that changing figures push everything else out of, that grows without bound, or that drops
// the end of a state.
func TestHistory(t *testing.T) {
	s := newSource(t)
	now := at
	p := New(Settings{Source: s, Now: func() time.Time { return now }})
	s.state.DataCentres = []DataCentre{{Name: "te-2", Leaving: true, RunningCalls: 9}}
	p.Observe()
	begin := p.history.next
	s.state.DataCentres[0].RunningCalls = 4
	p.Observe()
	assert.Equal(t, begin, p.history.next, "a count changed")
	s.state.DataCentres[0].RunningCalls = 0
	now = now.Add(time.Hour)
	p.Observe()
	s.state.DataCentres = nil
	p.Observe()
	var h History
	require.NoError(t, json.Unmarshal(request(p, "GET", "/v1/history?format=json&since=30m&subject=te-2", "", "").Body.Bytes(), &h))
	require.Len(t, h.Events, 2)
	assert.Equal(t, Done, h.Events[0].Statement.Phase)
	assert.Contains(t, h.Events[1].Statement.Text, "no longer names data centre te-2")

	for i := range HistoryLength + 10 {
		s.state.Configuration.Version = int64(100 + i)
		s.state.Configuration.LowestVersion = int64(100 + i)
		p.Observe()
	}
	h = p.history.query(HistoryQuery{})
	assert.Len(t, h.Events, HistoryLength)
	assert.Equal(t, h.Oldest, h.Dropped+1)
	assert.Equal(t, h.Oldest, h.Events[0].Number)
	assert.Contains(t, h.Events[HistoryLength-1].Statement.Text, fmt.Sprint("configuration ", 100+HistoryLength+9))
	assert.GreaterOrEqual(t, HistoryLength, 2000)
	last := p.history.query(HistoryQuery{Limit: 3, Kind: KindConfiguration})
	assert.Len(t, last.Events, 3)
}

// Guards against an urgent leaving without a reason, of a place that doesn't exist, or sent by a page in a browser.
func TestLeave(t *testing.T) {
	for _, c := range []struct {
		body string
		kind string
		err  error
		code int
		says string
	}{
		{`{"dataCentre":"te-2","reason":"a fire"}`, "application/json", nil, 200, "te-2 leaves at once (a fire)"},
		{`{"dataCentre":"te-2","reason":"a fire"}`, "text/plain", nil, 400, "application/json"},
		{`{"dataCentre":"te-2","reason":" "}`, "application/json", nil, 400, "reason is missing"},
		{`{"reason":"x"}`, "application/json", nil, 400, "dataCentre is missing"},
		{`{"dataCentre":"te-2","reason":"a\nb"}`, "application/json", nil, 400, "control"},
		{`{"dataCentre":"te-2","why":"a"}`, "application/json", nil, 400, "unknown field"},
		{`{"dataCentre":"te-2","reason":"` + strings.Repeat("x", 301) + `"}`, "application/json", nil, 400, "at most"},
		{`{"dataCentre":"` + strings.Repeat("x", maxLeaveBody) + `"}`, "application/json", nil, 400, "cannot be read"},
		{`{"dataCentre":"te-9","reason":"x"}`, "application/json", ErrUnknownDataCentre, 404, "te-9: the configuration"},
		{`{"dataCentre":"te-2","reason":"x"}`, "application/json", fmt.Errorf("full"), 503, "full"},
	} {
		s := newSource(t)
		s.leaveErr = c.err
		r := httptest.NewRequest(http.MethodPost, "/v1/leave", strings.NewReader(c.body))
		r.Header.Set("Content-Type", c.kind)
		w := httptest.NewRecorder()
		New(Settings{Source: s}).ServeHTTP(w, r)
		assert.Equal(t, c.code, w.Code, c.body)
		assert.Contains(t, w.Body.String(), c.says)
		assert.Equal(t, c.code == 400, len(s.left) == 0, c.body)
	}
}

// Guards against an explanation that contradicts the ingress: the version's share, priority, limits or pools.
func TestExplain(t *testing.T) {
	s := newSource(t)
	p := New(Settings{Source: s})
	get := func(query string) Explanation {
		var e Explanation
		require.NoError(t, json.Unmarshal(request(p, "GET", "/v1/explain?format=json&"+query, "", "").Body.Bytes(), &e))
		return e
	}
	e := get("customer=workbenches&path=/bench/lookups/7")
	assert.Equal(t, "bench-orders", e.Service)
	assert.Equal(t, "lookups", e.Route)
	assert.Equal(t, "urgent", e.Class)
	assert.True(t, e.Idempotent)
	text := strings.Join(e.Sentences, "\n")
	assert.Contains(t, text, "customer workbenches has weight 4 and moves up 1")
	assert.Contains(t, text, "pool bench-orders/te-1/0 is choice 1: owned by this entry, expected wait 1ms with 4 queued, 2 of 3 slots in use, 75 % of the calls")
	assert.Contains(t, text, "pool bench-orders/te-2/0 is not tried")

	s.state.Moves = []rollout.Status{{Service: "bench-orders", Move: "spring", From: "4.1", To: "4.2", State: rollout.InProgress, Percent: 100}}
	assert.Equal(t, "4.2", get("path=/bench/x&requestId=r1").Version)
	e = get("path=/bench/x&method=post")
	assert.Contains(t, strings.Join(e.Sentences, "\n"), "version 4.2 for 100 % of the calls and 4.1 for the others")
	assert.Len(t, e.Pools, 4)
	assert.False(t, e.Idempotent)
	s.state.Moves[0].State = rollout.RolledBack
	assert.Equal(t, "4.1", get("path=/bench/x&requestId=r1").Version)

	assert.False(t, get("path=/nothing").Matched)
	assert.Contains(t, get("path=/bench/x&class=none").Sentences[1], "refused as invalid")
	assert.NotEmpty(t, get("path=/archive/photos/1&customer=archive-readers").Limits)
	s.snapshot = nil
	assert.Contains(t, get("path=/bench/x").Sentences[0], "no configuration")
}
