package configlog

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"boragehinge.example/boragehinge/internal/logservice"
)

// Guards against two accepted changes on one base, and against a refusal without a reason.
func TestFirstChangeOnABaseWins(t *testing.T) {
	f := newRecordAppender(t)
	require.Equal(t, Accepted, f.add(changeRecord("a", 0, inventoryJSON(3, ""))).Outcome)
	require.Equal(t, Accepted, f.add(changeRecord("b", 1, inventoryJSON(4, ""))).Outcome)
	r := f.add(changeRecord("c", 1, inventoryJSON(6, `{"dataCentres":[{"dataCentre":"dc1","state":"leaving"}]}`)))
	require.Equal(t, Refused, r.Outcome)
	require.Equal(t, &Winner{Offset: 2, ChangeID: "b", Operator: "op-b"}, r.Winner)
	require.Equal(t, []string{"rules.dataCentres", "services[orders].slots"}, r.Differs)
	require.Equal(t, int64(2), f.fold.Current().Offset)
	require.Equal(t, 4, *f.fold.Current().Inventory.Services[0].Slots)
}

// Guards against a change that is sent again after a lost answer and takes effect twice, or is accepted after it was refused.
func TestRepeatedChangeID(t *testing.T) {
	f := newRecordAppender(t)
	f.add(changeRecord("a", 0, inventoryJSON(3, "")))
	r := f.add(changeRecord("a", 1, inventoryJSON(9, "")))
	require.Equal(t, Repeated, r.Outcome)
	require.Equal(t, Accepted, r.First)
	require.Equal(t, int64(1), r.FirstOffset)
	f.add(changeRecord("late", 0, inventoryJSON(5, "")))
	r = f.add(changeRecord("late", 1, inventoryJSON(5, "")))
	require.Equal(t, Refused, r.First)
	require.Equal(t, int64(1), r.Winner.Offset)
	require.Equal(t, int64(1), f.fold.Current().Offset)
}

// Guards against a record of a newer build or a damaged one that stops the reader or changes the state.
func TestUnknownAndMalformedRecords(t *testing.T) {
	cases := map[string]struct {
		data string
		want Outcome
	}{
		"newer schema":      {`{"schema":2,"kind":"change","change":7}`, Unknown},
		"unknown kind":      {`{"schema":1,"kind":"quota","quota":{}}`, Unknown},
		"not JSON":          {`hello`, Malformed},
		"no kind":           {`{"schema":1}`, Malformed},
		"wrong payload":     {`{"schema":1,"kind":"change","lease":{"name":"n","holder":"h","durationMs":1}}`, Malformed},
		"two payloads":      {`{"schema":1,"kind":"change","change":{},"lease":{}}`, Malformed},
		"inventory a list":  {`{"schema":1,"kind":"change","change":{"id":"x","operator":"o","inventory":[]}}`, Malformed},
		"lease without end": {`{"schema":1,"kind":"lease","lease":{"name":"n","holder":"h","durationMs":9000000}}`, Malformed},
		"step over 100":     {`{"schema":1,"kind":"rollout-step","step":{"service":"s","move":"m","lease":"l","percent":101}}`, Malformed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newRecordAppender(t)
			f.add(changeRecord("a", 0, inventoryJSON(3, "")))
			before := f.fold.View()
			require.Equal(t, c.want, f.raw([]byte(c.data)).Outcome)
			after := f.fold.View()
			require.Equal(t, before.Through+1, after.Through)
			require.Equal(t, before.Version, after.Version)
			require.Equal(t, int64(1), f.fold.Counters().Malformed+f.fold.Counters().Unknown)
		})
	}
}

// Guards against a fold that applies records after a gap, or reverts when it receives old ones.
func TestGapAndStale(t *testing.T) {
	f := newRecordAppender(t)
	f.add(changeRecord("a", 0, inventoryJSON(3, "")))
	third := logservice.Entry{Offset: 3, Time: start, Data: encode(t, changeRecord("c", 1, inventoryJSON(5, "")))}
	require.Equal(t, Gap, f.fold.Apply(third).Outcome)
	require.Equal(t, Stale, f.fold.Apply(f.log[0]).Outcome)
	require.Equal(t, int64(2), f.fold.Next())
	f.raw([]byte("x"))
	require.Equal(t, Accepted, f.fold.Apply(third).Outcome)
}

// Guards against a corrupt snapshot that replaces the state, and against a reader stuck behind expired records.
func TestSnapshots(t *testing.T) {
	f := newRecordAppender(t)
	f.add(changeRecord("a", 0, inventoryJSON(3, moveRules("m", start.Add(time.Hour)))))
	f.lease("e1")
	f.step("m", 1, 2)
	good, err := f.fold.Snapshot()
	require.NoError(t, err)
	var r Record
	require.NoError(t, json.Unmarshal(good, &r))
	broken := func(change func(*Snapshot)) []byte {
		s := *r.Snapshot
		change(&s)
		data, err := json.Marshal(Record{Schema: 1, Kind: KindSnapshot, Snapshot: &s})
		require.NoError(t, err)
		return data
	}
	for name, data := range map[string][]byte{
		"truncated":      broken(func(s *Snapshot) { s.Length++ }),
		"bit flipped":    broken(func(s *Snapshot) { s.State = bytes.Replace(s.State, []byte(`"slots":3`), []byte(`"slots":9`), 1) }),
		"no checksum":    broken(func(s *Snapshot) { s.Checksum = "" }),
		"wrong offset":   broken(func(s *Snapshot) { s.Through = 2 }),
		"ahead of place": good,
	} {
		t.Run(name, func(t *testing.T) {
			offset := int64(4)
			if name == "ahead of place" {
				offset = 2
			}
			fresh := NewFold()
			require.Equal(t, Corrupt, fresh.Apply(logservice.Entry{Offset: offset, Time: start, Data: data}).Outcome)
			require.Equal(t, int64(1), fresh.Next())
		})
	}
	require.Equal(t, Noted, f.raw(good).Outcome)
	fresh := NewFold()
	require.Equal(t, Restored, fresh.Apply(f.log[3]).Outcome)
	require.Equal(t, int64(4), fresh.Next())
	require.Equal(t, Noted, fresh.Apply(f.log[3]).Outcome)
	require.Equal(t, f.fold.View(), fresh.View())
	old := NewFold()
	old.Apply(f.log[0])
	oldState, err := old.Snapshot()
	require.NoError(t, err)
	require.Equal(t, Noted, f.raw(oldState).Outcome)
	require.Equal(t, 1.0, f.move("m").Percent)
}

// Guards against snapshots written after the records that a new reader needs have expired, or written too often.
func TestSnapshotDue(t *testing.T) {
	f := newRecordAppender(t)
	require.False(t, f.fold.SnapshotDue(start.Add(time.Hour), time.Hour), "nothing to keep")
	f.add(changeRecord("a", 0, inventoryJSON(3, "")))
	require.False(t, f.fold.SnapshotDue(start.Add(30*time.Minute), time.Hour))
	require.True(t, f.fold.SnapshotDue(start.Add(31*time.Minute), time.Hour))
	data, err := f.fold.Snapshot()
	require.NoError(t, err)
	f.now = start.Add(31 * time.Minute)
	f.raw(data)
	require.False(t, f.fold.SnapshotDue(start.Add(60*time.Minute), time.Hour))
	require.True(t, f.fold.SnapshotDue(start.Add(62*time.Minute), time.Hour))
}

// Guards against a state at its size limits whose snapshot doesn't fit into one record.
func TestSnapshotFitsAtTheLimits(t *testing.T) {
	t.Parallel()
	f := newRecordAppender(t)
	long := func(prefix string, n int) string { return prefix + string(bytes.Repeat([]byte("x"), n-len(prefix))) }
	pad := long("", MaxInventoryBytes-600)
	inv := bytes.Replace(inventoryJSON(3, ""), []byte(`"name":"s"`), []byte(`"name":"`+pad+`"`), 1)
	require.Equal(t, Accepted, f.add(changeRecord("a", 0, inv)).Outcome)
	for i := range maxRememberedChanges + 10 {
		id := long(string(rune('A'+i%26))+string(rune('a'+i/26)), 32)
		f.add(changeRecord(id, 7, inventoryJSON(i, "")))
	}
	for i := range maxRememberedStops + 10 {
		name := long(string(rune('A'+i)), maxNameBytes)
		f.add(Record{Kind: KindStop, Stop: &Stop{Service: name, Move: name, Version: name, Reason: long("", maxReasonBytes)}})
	}
	require.Len(t, f.fold.stops, maxRememberedStops)
	data, err := f.fold.Snapshot()
	require.NoError(t, err)
	require.Equal(t, Noted, f.raw(data).Outcome)
}

// Guards against a paused lease holder whose late step still counts, and against two holders at once.
func TestLeaseFencing(t *testing.T) {
	f := newRecordAppender(t)
	f.add(changeRecord("a", 0, inventoryJSON(3, moveRules("m", start.Add(time.Hour)))))
	require.Equal(t, Accepted, f.lease("e1").Outcome)
	require.Equal(t, Refused, f.lease("e2").Outcome, "e1 still holds it")
	require.Equal(t, Accepted, f.step("m", 1, 2).Outcome)
	f.now = f.now.Add(15 * time.Second)
	require.Equal(t, Refused, f.step("m", 5, 2).Outcome, "expired")
	require.Equal(t, Accepted, f.lease("e2").Outcome)
	require.Equal(t, Refused, f.step("m", 5, 2).Outcome, "older token")
	require.Equal(t, Accepted, f.step("m", 5, 6).Outcome)
	f.now = f.now.Add(-time.Hour)
	require.Equal(t, Refused, f.lease("e1").Outcome, "a log clock that goes back doesn't end or prolong a lease")
	require.Equal(t, 5.0, f.move("m").Percent)
}

// Guards against steps that lower the percentage, a finish before 100 %, and a finish with a log time at or after the
// deadline.
func TestMoveSteps(t *testing.T) {
	f := newRecordAppender(t)
	by := start.Add(time.Minute)
	f.add(changeRecord("a", 0, inventoryJSON(3, moveRules("m", by))))
	f.lease("e1")
	require.Equal(t, Refused, f.step("other", 1, 2).Outcome)
	require.Equal(t, Accepted, f.step("m", 50, 2).Outcome)
	require.Equal(t, Refused, f.step("m", 25, 2).Outcome)
	require.Equal(t, Refused, f.finish("m", 2).Outcome)
	require.Equal(t, Accepted, f.step("m", 100, 2).Outcome)
	token := int64(0)
	f.now = by.Add(-time.Second)
	token = f.lease("e1").Offset
	f.now = by
	require.Equal(t, Refused, f.finish("m", token).Outcome)
	m := f.move("m")
	require.True(t, m.Stopped)
	require.Equal(t, ReasonDeadline, m.Reason)
	f.add(changeRecord("b", 1, inventoryJSON(3, moveRules("m", by.Add(time.Hour)))))
	require.True(t, f.move("m").Stopped, "a later deadline doesn't restart it")
	f.add(changeRecord("c", f.fold.Current().Offset, inventoryJSON(3, moveRules("m2", by.Add(time.Hour)))))
	require.False(t, f.move("m2").Stopped, "a move with a new name starts")
}

// Guards against a configuration change that loses the progress of a running move, or that undoes a stop.
func TestMovesOverChanges(t *testing.T) {
	f := newRecordAppender(t)
	by := start.Add(time.Hour)
	f.add(changeRecord("a", 0, inventoryJSON(3, moveRules("m", by))))
	f.lease("e1")
	f.step("m", 25, 2)
	f.add(changeRecord("b", 1, inventoryJSON(4, moveRules("m", by.Add(time.Hour)))))
	require.Equal(t, 25.0, f.move("m").Percent)
	require.Equal(t, by.Add(time.Hour), f.move("m").By)
	f.add(Record{Kind: KindStop, Stop: &Stop{Service: "orders", Move: "m", Version: "2", Reason: "bad"}})
	require.Equal(t, Refused, f.step("m", 50, 2).Outcome)
	f.add(changeRecord("c", 4, inventoryJSON(4, "")))
	f.add(changeRecord("d", 7, inventoryJSON(4, moveRules("m", by))))
	require.True(t, f.move("m").Stopped, "the name was used before")
}

// Guards against a leaving that is cancelled by an unrelated concurrent change, or that can't be cancelled.
func TestUrgentLeaving(t *testing.T) {
	f := newRecordAppender(t)
	leave := Record{Kind: KindLeaving, Leaving: &Leaving{DataCentre: "dc1", Base: 1, Operator: "o", Reason: "power"}}
	require.Equal(t, Refused, f.add(leave).Outcome, "no configuration yet")
	f.add(changeRecord("a", 0, inventoryJSON(3, "")))
	require.Equal(t, Accepted, f.add(leave).Outcome)
	f.add(changeRecord("b", 2, inventoryJSON(4, "")))
	require.Contains(t, f.fold.View().Leaving, "dc1")
	f.add(changeRecord("c", 4, inventoryJSON(4, `{"dataCentres":[{"dataCentre":"dc1","state":"active"}]}`)))
	require.Empty(t, f.fold.View().Leaving)
}

// Guards against a leaving that is lost during a log outage, or that a peer restores after it was cancelled.
func TestLeavingFacts(t *testing.T) {
	f := newRecordAppender(t)
	f.add(changeRecord("a", 0, inventoryJSON(3, "")))
	var facts LeavingFacts
	fact := LeavingState{DataCentre: "dc1", Base: 1, Reason: "power"}
	require.True(t, facts.Add(fact))
	require.False(t, facts.Add(fact), "known facts aren't forwarded again")
	f.add(changeRecord("b", 1, inventoryJSON(4, "")))
	facts.Observe(f.fold.View())
	require.Equal(t, []LeavingState{fact}, facts.All(f.fold.View()))
	f.add(changeRecord("c", 2, inventoryJSON(4, `{"dataCentres":[{"dataCentre":"dc1","state":"active"}]}`)))
	facts.Observe(f.fold.View())
	require.Empty(t, facts.All(f.fold.View()))
	require.False(t, facts.Add(fact))
	require.True(t, facts.Add(LeavingState{DataCentre: "dc1", Base: 3}), "a new leaving")
}
