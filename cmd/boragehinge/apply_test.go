package main

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice/standin"
	"boragehinge.example/boragehinge/internal/operators"
	"boragehinge.example/boragehinge/inventory"
)

// fakeEntry follows the stand-in's log; behind is the number of versions that its second member lags.
type fakeEntry struct {
	log    *standin.Server
	behind bool
	left   []operators.Leaving
}

func (f *fakeEntry) Ready() (bool, string)         { return true, "" }
func (f *fakeEntry) Snapshot() *inventory.Snapshot { return nil }
func (f *fakeEntry) Candidates(string, string) []operators.Candidate {
	return nil
}
func (f *fakeEntry) Leave(_ context.Context, l operators.Leaving) (operators.LeaveResult, error) {
	f.left = append(f.left, l)
	return operators.LeaveResult{DataCentre: l.DataCentre, Told: 1, Logged: true}, nil
}
func (f *fakeEntry) State() operators.State {
	s := operators.State{Now: time.Now(), Self: operators.Self{Host: "a", DataCentre: "te-1"}}
	fold, err := configlog.Load(context.Background(), f.log)
	if err != nil {
		return s
	}
	v := fold.Current().Offset
	s.Configuration = operators.Configuration{Version: v, LowestVersion: v}
	s.Members = []operators.Member{{Host: "a", Version: v}, {Host: "b", Version: v}}
	if f.behind {
		s.Members[1].Version--
		s.Configuration.LowestVersion--
	}
	return s
}

type bench struct {
	log   *standin.Server
	entry *fakeEntry
	flags []string
	file  string
	text  string
}

func newBench(t *testing.T) *bench {
	log := standin.New(nil)
	entry := &fakeEntry{log: log}
	platform := httptest.NewServer(log.Handler())
	port := httptest.NewServer(operators.New(operators.Settings{Source: entry}))
	t.Cleanup(platform.Close)
	t.Cleanup(port.Close)
	data, err := os.ReadFile("../../examples/yeux-clairs.yaml")
	require.NoError(t, err)
	b := &bench{log: log, entry: entry, file: filepath.Join(t.TempDir(), "inventory.yaml"), text: string(data)}
	b.flags = []string{"apply", b.file, "--platform-url", platform.URL, "--operators", port.URL, "--operator", "ana"}
	b.write(t, "", "")
	return b
}

// write writes the example with one edit.
func (b *bench) write(t *testing.T, old, replacement string) {
	text := strings.Replace(b.text, old, replacement, 1)
	require.NoError(t, os.WriteFile(b.file, []byte(text), 0o600))
}

func (b *bench) apply(t *testing.T, more ...string) (applyResult, error) {
	out, err := run("", append(append(b.flags[:len(b.flags):len(b.flags)], "-o", "json"), more...)...)
	var r applyResult
	if out != "" {
		require.NoError(t, json.Unmarshal([]byte(out), &r), out)
	}
	return r, err
}

// Guards against an edit that is reported in force before all entries have it, and against one applied twice.
func TestApplyWaitsUntilInForceEverywhere(t *testing.T) {
	b := newBench(t)
	r, err := b.apply(t)
	require.NoError(t, err)
	assert.Equal(t, "in force", r.State)
	assert.Equal(t, 2, r.Entries)
	assert.Contains(t, r.Explanation, "is in force on all 2 entries")

	again, err := b.apply(t)
	require.NoError(t, err)
	assert.Equal(t, "unchanged", again.State)
	assert.Equal(t, r.Version, again.Version)

	b.entry.behind = true
	b.write(t, "weight: 4", "weight: 5")
	r, err = b.apply(t, "--timeout", "400ms")
	assert.ErrorIs(t, err, exitUndecided)
	assert.Equal(t, []string{"b (has 1)"}, r.WaitsFor)
	assert.Equal(t, "accepted", r.State)
	assert.NotEmpty(t, r.Changes)
}

// Guards against a broken inventory that reaches the log, or whose findings are cut short.
func TestApplyRefusesFindings(t *testing.T) {
	b := newBench(t)
	b.flags[1] = "../../examples/broken.yaml"
	r, err := b.apply(t)
	assert.ErrorIs(t, err, errReported)
	assert.GreaterOrEqual(t, len(r.Findings), 22)
	assert.Zero(t, b.log.Counters().Appends)
}

// Guards against a lost race that overwrites the winner, or hides who won and what differs.
func TestApplyReportsTheWinner(t *testing.T) {
	b := newBench(t)
	first, err := b.apply(t)
	require.NoError(t, err)
	b.write(t, "weight: 4", "weight: 5")
	winner, err := b.apply(t, "--operator", "badr")
	require.NoError(t, err)
	b.write(t, "weight: 2", "weight: 3")
	r, err := b.apply(t, "--base", "1")
	require.Equal(t, int64(1), first.Version)
	assert.ErrorIs(t, err, exitLost)
	require.NotNil(t, r.Winner)
	assert.Equal(t, winner.ChangeID, r.Winner.ChangeID)
	assert.Contains(t, r.Explanation, "badr was first")
	assert.NotEmpty(t, r.Differs)
	fold, err := configlog.Load(t.Context(), b.log)
	require.NoError(t, err)
	assert.Equal(t, winner.Version, fold.Current().Offset)
}

// Guards against "not applied" for a change whose append took effect, and against a repeat that takes effect twice.
func TestApplyWithLostAnswers(t *testing.T) {
	b := newBench(t)
	_, err := b.apply(t)
	require.NoError(t, err)
	b.log.SetFaults(standin.Faults{LoseAppends: -1})
	b.write(t, "weight: 4", "weight: 5")
	r, err := b.apply(t, "--timeout", "500ms")
	assert.ErrorIs(t, err, exitUndecided)
	assert.Equal(t, "unknown", r.State)
	b.log.SetFaults(standin.Faults{LoseAnswers: 1})
	again, err := b.apply(t, "--change-id", r.ChangeID, "--base", "1")
	require.NoError(t, err)
	assert.Equal(t, "in force", again.State)
	repeated, err := b.apply(t, "--change-id", r.ChangeID, "--base", "1")
	require.NoError(t, err)
	assert.Equal(t, again.Version, repeated.Version)

	b.log.SetFaults(standin.Faults{LogOutage: true})
	_, err = b.apply(t, "--timeout", "500ms")
	assert.ErrorContains(t, err, "the log cannot be read")
}

// Guards against a watch that repeats itself with each figure, or hides a new statement behind the pause for figures.
func TestWatchPrintsWhatChanged(t *testing.T) {
	b := newBench(t)
	var out strings.Builder
	w := &statusWatcher{client: &operators.Client{Addresses: []string{b.flags[5]}}, here: true, output: "text", out: &out}
	require.NoError(t, w.show(t.Context()))
	assert.Contains(t, out.String(), "no configuration is in force")
	out.Reset()
	require.NoError(t, w.show(t.Context()))
	assert.Empty(t, out.String())
	_, err := b.apply(t)
	require.NoError(t, err)
	require.NoError(t, w.show(t.Context()))
	assert.Contains(t, out.String(), "configuration 1 is in force on all 2 entries")

	now := time.Now()
	p := printed{operators.Statement{Phase: operators.InProgress, Change: "leaving", Text: "9 calls"}, now}
	assert.False(t, p.due(now.Add(time.Second), operators.Statement{Phase: operators.InProgress, Change: "leaving", Text: "8 calls"}))
	assert.True(t, p.due(now.Add(repeatFigures), operators.Statement{Phase: operators.InProgress, Change: "leaving", Text: "8 calls"}))
	assert.True(t, p.due(now, operators.Statement{Phase: operators.Done, Change: "leaving", Text: "9 calls"}))
	out.Reset()
	w.client.Addresses = []string{"127.0.0.1:1"}
	require.NoError(t, w.show(t.Context()), "an entry that doesn't answer is asked again")
	assert.Contains(t, out.String(), "no entry answers")
}

// Guards against commands that send something else than their flags say, or print what programs cannot read.
func TestAskingCommands(t *testing.T) {
	b := newBench(t)
	port := []string{"--operators", "127.0.0.1:1," + b.flags[5]}
	ask := func(args ...string) (string, error) { return run("", append(args, port...)...) }
	out, err := ask("leave", "te-2", "--reason", "smoke", "--operator", "ana")
	require.NoError(t, err)
	assert.Contains(t, out, "te-2 leaves at once (smoke)")
	assert.Equal(t, []operators.Leaving{{DataCentre: "te-2", Reason: "smoke", Operator: "ana"}}, b.entry.left)
	_, err = ask("leave", "te-2")
	assert.ErrorContains(t, err, "--reason is missing")
	out, err = ask("status")
	require.NoError(t, err)
	assert.Contains(t, out, "no configuration is in force")
	out, err = ask("status", "-o", "json")
	require.NoError(t, err)
	assert.True(t, json.Valid([]byte(out)))
	out, err = ask("explain", "/bench/lookups/1", "--customer", "workbenches")
	require.NoError(t, err)
	assert.Contains(t, out, "no configuration is in force")
	_, err = ask("explain", "bench")
	assert.ErrorContains(t, err, "path must start with /")
	out, err = ask("history", "--since", "1h")
	require.NoError(t, err)
	assert.Contains(t, out, "no event matches")
	_, err = run("", "status", "--operators", "127.0.0.1:1")
	assert.ErrorContains(t, err, "no entry answers")
}

// Guards against a data centre that stays out because the file, which says that it is active, changes nothing else.
func TestApplyEndsUrgentLeavings(t *testing.T) {
	b := newBench(t)
	first, err := b.apply(t)
	require.NoError(t, err)
	for _, dc := range []string{"te-2", "te-3"} {
		data, err := configlog.Encode(configlog.Record{Kind: configlog.KindLeaving, Leaving: &configlog.Leaving{
			DataCentre: dc, Base: first.Version, Operator: "ana", Reason: "smoke"}})
		require.NoError(t, err)
		_, err = b.log.Append(t.Context(), data)
		require.NoError(t, err)
	}
	r, err := b.apply(t)
	require.NoError(t, err)
	assert.Equal(t, "in force", r.State)
	assert.Equal(t, []string{"Data centre te-3: the urgent leaving (smoke) ends; its state is active."}, r.Changes)
	fold, err := configlog.Load(t.Context(), b.log)
	require.NoError(t, err)
	assert.Contains(t, fold.View().Leaving, "te-2", "the file doesn't name its state")
	assert.NotContains(t, fold.View().Leaving, "te-3")
	again, err := b.apply(t)
	require.NoError(t, err)
	assert.Equal(t, "unchanged", again.State)
}

// Guards against a shown inventory that cannot be applied again or differs from the one in the log.
func TestShowPrintsWhatApplyTakes(t *testing.T) {
	b := newBench(t)
	_, err := run("", "show", "--platform-url", b.flags[3])
	assert.ErrorContains(t, err, "no configuration yet")
	for _, example := range []string{"../../examples/yeux-clairs.yaml", "../../examples/kitami-hokusei-move.yaml"} {
		b.flags[1] = example
		applied, err := b.apply(t)
		require.NoError(t, err)
		out, err := run("", "show", "--platform-url", b.flags[3])
		require.NoError(t, err)
		assert.Contains(t, out, "with --base "+strconv.FormatInt(applied.Version, 10))
		require.NoError(t, os.WriteFile(b.file, []byte(out), 0o600))
		b.flags[1] = b.file
		again, err := b.apply(t)
		require.NoError(t, err)
		assert.Equal(t, "unchanged", again.State, again.Changes)
	}
}
