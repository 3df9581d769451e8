package operators

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/rollout"
)

var at = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func members(versions ...int64) []Member {
	var out []Member
	for i, v := range versions {
		out = append(out, Member{Host: string(rune('a' + i)), DataCentre: "te-1", Version: v})
	}
	return out
}

// Guards against a statement that says done too early, lacks the reason, the time or what it waits for, or is worded
// differently in two places.
func TestStatementTexts(t *testing.T) {
	ejected := Upstream{Service: "bench", DataCentre: "te-1", Since: at, UpstreamStatus: dispatch.UpstreamStatus{
		Name: "b-1", Health: dispatch.Ejected, Reason: "it fails fast", EjectedUntil: at.Add(time.Second)}}
	cold := Upstream{Service: "bench", DataCentre: "te-1", UpstreamStatus: dispatch.UpstreamStatus{
		Name: "b-2", Health: dispatch.Cold, Reason: "restart", Allowance: 1, Slots: 3}}
	leaves := Upstream{Service: "bench", DataCentre: "te-1", UpstreamStatus: dispatch.UpstreamStatus{
		Name: "b-3", Health: dispatch.Leaving, Reason: "by configuration", InFlight: 1}}
	left := leaves
	left.InFlight = 0
	config := Configuration{Version: 7, Operator: "ana", Since: at, LowestVersion: 7}
	lags := config
	lags.LowestVersion = 6
	confirmed := Self{Host: "a", DataCentre: "te-1", ViewConfirmed: true}
	for _, c := range []struct {
		name  string
		state State
		kind  Kind
		phase Phase
		text  string
	}{
		{"none", State{Self: confirmed}, KindConfiguration, Waiting, "no configuration is in force; waits for the first change in the log"},
		{"behind elsewhere", State{Configuration: lags, Members: members(7, 0)}, KindConfiguration, InProgress,
			"configuration 7 by ana is in force here since 2026-03-02 08:00:00, not yet on all 2 entries; waits for entries whose version is not known yet"},
		{"everywhere", State{Configuration: config, Members: members(7, 0)}, KindConfiguration, Done,
			"configuration 7 by ana is in force on all 2 entries since 2026-03-02 08:00:00"},
		{"alone", State{Configuration: config, Members: members(7)}, KindConfiguration, Done,
			"configuration 7 by ana is in force on the only entry since 2026-03-02 08:00:00"},
		{"behind", State{Configuration: lags, Members: members(7, 6, 0)}, KindConfiguration, InProgress,
			"configuration 7 by ana is in force here since 2026-03-02 08:00:00, not yet on all 3 entries; waits for b (has 6)"},
		{"many behind", State{Configuration: Configuration{Version: 7}, Members: members(7, 6, 6, 6, 6, 6, 6)}, KindConfiguration,
			InProgress, "configuration 7 is in force here, not yet on all 7 entries; waits for b (has 6), c (has 6), d (has 6), e (has 6), f (has 6) and 1 more"},
		{"log", State{Log: Log{Used: true, LastRead: at, Problem: "connection refused"}}, KindLog, Waiting,
			"the log cannot be read since 2026-03-02 08:00:00 (connection refused); the configuration in force stays, no change is accepted and no move makes a step"},
		{"log never", State{Log: Log{Used: true}}, KindLog, Waiting,
			"the log cannot be read since the start of this entry; the configuration in force stays, no change is accepted and no move makes a step"},
		{"leaving", State{DataCentres: []DataCentre{{Name: "te-2", Leaving: true, Urgent: true, Operator: "ana", Reason: "of a fire", Since: at, RunningCalls: 2, QueuedCalls: 1}}},
			KindDataCentre, InProgress, "data centre te-2 is leaving by the urgent command of ana since 2026-03-02 08:00:00 (of a fire); gets no new calls; waits for 3 calls that still run there"},
		{"other pools", State{DataCentres: []DataCentre{{Name: "te-2", Leaving: true, Reason: "a power test", Pools: 2, KnownPools: 1, RunningCalls: 1}}},
			KindDataCentre, InProgress, "data centre te-2 is leaving (a power test); gets no new calls; this entry sees 1 call in 1 of its 2 pools"},
		{"out", State{DataCentres: []DataCentre{{Name: "te-2", Leaving: true, Reason: "a power test", Since: at}}},
			KindDataCentre, Done, "data centre te-2 is out of service since 2026-03-02 08:00:00 (a power test); no call runs there"},
		{"returning", State{DataCentres: []DataCentre{{Name: "te-2", Returning: true, Upstreams: 3, Cold: 2, Since: at}}},
			KindDataCentre, InProgress, "data centre te-2 returns since 2026-03-02 08:00:00: 1 of 3 upstreams is warm; waits for the others"},
		{"in service", State{DataCentres: []DataCentre{{Name: "te-2", Entries: 1, Upstreams: 3}}},
			KindDataCentre, Done, "data centre te-2 is in service with 1 entry and 3 upstreams"},
		{"move", State{Moves: []rollout.Status{{Service: "bench", Move: "spring", From: "1", To: "2", State: rollout.RolledBack, Since: at, Why: "version 2 is worse than 1", Evidence: "9 of 40 calls failed"}}},
			KindMove, RolledBack, "service bench, move spring: rolled back since 2026-03-02 08:00:00; all traffic is on version 1: version 2 is worse than 1 (9 of 40 calls failed); a move with a new name is needed to try again"},
		{"ejected", State{Upstreams: []Upstream{ejected}}, KindUpstream, InProgress,
			"upstream b-1 of bench in te-1 is ejected since 2026-03-02 08:00:00 (it fails fast); is tried again at 2026-03-02 08:00:01"},
		{"cold", State{Self: confirmed, Upstreams: []Upstream{cold}}, KindUpstream, InProgress,
			"upstream b-2 of bench in te-1 is cold (restart); may run 1 of 3 calls; each series of successes doubles that"},
		{"cold unconfirmed", State{Upstreams: []Upstream{cold}}, KindUpstream, InProgress,
			"upstream b-2 of bench in te-1 is cold (restart); gets no work; waits for a confirmed view"},
		{"upstream leaves", State{Upstreams: []Upstream{leaves}}, KindUpstream, InProgress,
			"upstream b-3 of bench in te-1 is leaving, by configuration; gets no new calls; waits for 1 call that still runs there"},
		{"upstream left", State{Upstreams: []Upstream{left}}, KindUpstream, Done,
			"upstream b-3 of bench in te-1 is out of service, by configuration; no call runs there"},
		{"member", State{Members: []Member{{Host: "a", DataCentre: "te-1", Leaving: true}}}, KindMember, InProgress,
			"entry a in te-1 is leaving; owns no pools and finishes its calls"},
		{"stopping", State{Self: Self{Host: "a", Stopping: true, StopBy: at, RunningCalls: 1}}, KindEntry, InProgress,
			"entry a is stopping as planned; waits for 1 running call and for callers to let go of its address; ends by 2026-03-02 08:00:00"},
		{"view", State{Self: Self{Host: "a", DataCentre: "te-1"}, Configuration: config}, KindEntry, Waiting,
			"entry a gives no work to cold upstreams; waits for a majority of the entries of te-1 to report the same view; warm upstreams are served"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got []Statement
			for _, s := range Statements(c.state) {
				if s.Kind == c.kind {
					got = append(got, s)
				}
			}
			require.Len(t, got, 1)
			assert.Equal(t, c.text, got[0].Text)
			assert.Equal(t, c.phase, got[0].Phase)
		})
	}
}

// Guards against an answer that promises the log's record while the log is out, or hides how the leaving is lifted.
func TestLeaveText(t *testing.T) {
	l := Leaving{DataCentre: "te-2", Reason: "a fire"}
	assert.Equal(t, "data centre te-2 leaves at once (a fire); 1 entry was told; the log does not hold it yet, entries pass it on "+
		"to each other until it does; a configuration after 7 that names the state of the data centre lifts it",
		leaveText(LeaveResult{DataCentre: "te-2", Told: 1, Base: 7}, l))
	assert.Equal(t, "data centre te-2 was leaving already; the log holds it; a configuration after 7 that names the state of the data centre lifts it",
		leaveText(LeaveResult{DataCentre: "te-2", Known: true, Logged: true, Base: 7}, l))
}
