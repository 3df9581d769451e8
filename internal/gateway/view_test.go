package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// noGrace is the graceEnd of batches without a preceding outage: missing records don't come back.
var noGrace time.Time

var start = time.Unix(1_700_000_000, 0)

func upstreamUpdate(offset int64, u Upstream) Update {
	return Update{Key: u.ID, Offset: offset, Up: &u}
}

func newBatch(source Source, updates ...Update) Batch {
	end := int64(0)
	for _, u := range updates {
		end = max(end, u.Offset+1)
	}
	return Batch{Source: source, Updates: updates, End: end}
}

// Guards against a rollback of the configuration by a record with an older version or by a delayed record.
func TestConfigVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		newest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			version := uint64(rapid.IntRange(1, 20).Draw(t, "version"))
			offset := int64(rapid.IntRange(0, 50).Draw(t, "offset"))
			v.Apply(start, newBatch(Operators, Update{Key: ConfigKey, Offset: offset, Config: &Config{Version: version}}), noGrace)
			if v.Config.Version < newest {
				t.Fatalf("version %d after %d", v.Config.Version, newest)
			}
			newest = v.Config.Version
		}
	})
}

// Guards against mishandled old heartbeats, restarts under the same ID and invalid records.
func TestUpstreamRecords(t *testing.T) {
	base := Upstream{ID: "u", Service: "s", Address: "a:1", Slots: 3, Seq: 5, Born: 100}
	with := func(change func(*Upstream)) Upstream {
		u := base
		change(&u)
		return u
	}
	tests := []struct {
		name    string
		second  Update
		want    *Upstream
		changed bool
	}{
		{"a later heartbeat changes nothing", upstreamUpdate(1, with(func(u *Upstream) { u.Seq = 6 })), ptr(with(func(u *Upstream) { u.Seq = 6 })), false},
		{"an older heartbeat is ignored", upstreamUpdate(1, with(func(u *Upstream) { u.Seq = 4; u.Address = "b:1" })), &base, false},
		{"an earlier process is ignored", upstreamUpdate(1, with(func(u *Upstream) { u.Born = 50; u.Seq = 9; u.Draining = true })), &base, false},
		{"a new process under the same ID", upstreamUpdate(1, with(func(u *Upstream) { u.Born = 200; u.Seq = 0 })), ptr(with(func(u *Upstream) { u.Born = 200; u.Seq = 0 })), true},
		{"draining", upstreamUpdate(1, with(func(u *Upstream) { u.Seq = 6; u.Draining = true })), ptr(with(func(u *Upstream) { u.Seq = 6; u.Draining = true })), true},
		{"an invalid record removes the upstream", Update{Key: "u", Offset: 1}, nil, true},
		{"a duplicate record is ignored", upstreamUpdate(0, with(func(u *Upstream) { u.Draining = true; u.Seq = 9 })), &base, false},
		{"removed", Update{Key: "u", Offset: 1, Removed: true}, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := NewView()
			v.Apply(start, newBatch(Upstreams, upstreamUpdate(0, base)), noGrace)
			changed := v.Apply(start, newBatch(Upstreams, test.second), noGrace)
			assert.Equal(t, test.changed, len(changed.Updates) > 0)
			got, known := v.Upstreams["u"]
			assert.Equal(t, test.want != nil, known)
			if test.want != nil {
				assert.Equal(t, *test.want, got)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against a draining process that receives requests again because of a later heartbeat without the draining flag.
func TestDrainingIsFinal(t *testing.T) {
	v := NewView()
	u := Upstream{ID: "u", Seq: 1, Born: 1, Draining: true}
	v.Apply(start, newBatch(Upstreams, upstreamUpdate(0, u)), noGrace)
	u.Seq, u.Draining = 2, false
	v.Apply(start, newBatch(Upstreams, upstreamUpdate(1, u)), noGrace)
	assert.True(t, v.Upstreams["u"].Draining)
}

// Guards against keeping keys that a snapshot lacks, and against removing a record that is newer than the snapshot.
func TestSnapshotRemovesMissingKeys(t *testing.T) {
	v := NewView()
	v.Apply(start, newBatch(Upstreams, upstreamUpdate(0, Upstream{ID: "a"}), upstreamUpdate(1, Upstream{ID: "b"}), upstreamUpdate(9, Upstream{ID: "late"})), noGrace)
	snapshot := newBatch(Upstreams, upstreamUpdate(1, Upstream{ID: "b"}))
	snapshot.Snapshot, snapshot.End = true, 5
	v.Apply(start, snapshot, start.Add(time.Second))
	assert.NotContains(t, v.Upstreams, "a")
	assert.Equal(t, start.Add(time.Second), v.Tombstones["a"].GraceEnd)
	assert.Contains(t, v.Upstreams, "b")
	assert.Contains(t, v.Upstreams, "late")
}

// Guards against an upstream that comes back but keeps its tombstone.
func TestReturningUpstreamClearsTombstone(t *testing.T) {
	v := NewView()
	v.Apply(start, newBatch(Upstreams, upstreamUpdate(0, Upstream{ID: "a", Seq: 1})), noGrace)
	v.Apply(start, newBatch(Upstreams, Update{Key: "a", Offset: 1, Removed: true}), start.Add(time.Second))
	assert.Contains(t, v.Tombstones, "a")
	v.Apply(start, newBatch(Upstreams, upstreamUpdate(2, Upstream{ID: "a", Seq: 2})), noGrace)
	assert.NotContains(t, v.Tombstones, "a")
}

// Guards against entries whose views differ although they received the same records, as updates or as a snapshot.
func TestSnapshotRoundTrip(t *testing.T) {
	v := NewView()
	v.Apply(start, newBatch(Operators,
		Update{Key: ConfigKey, Offset: 0, Config: &Config{Version: 3}},
		Update{Key: MoveKey + "s", Offset: 1, Move: &Move{Service: "s", Version: "v2", Duration: time.Second}},
		Update{Key: EvacuateKey + "z", Offset: 2, Evacuate: "z"},
		Update{Key: EvacuateKey + "y", Offset: 3, Evacuate: "y"},
		Update{Key: EvacuateKey + "y", Offset: 4, Removed: true}), noGrace)
	v.Apply(start, newBatch(Upstreams, upstreamUpdate(0, Upstream{ID: "u"})), noGrace)
	v.Apply(start, newBatch(Statuses, Update{Key: MoveKey + "s", Offset: 0, Status: &MoveStatus{Service: "s", Version: "v2", State: MoveRunning}}), noGrace)
	v.Apply(start, newBatch(Entries, Update{Key: "e", Offset: 0, Entry: &Entry{Name: "e"}}), noGrace)
	other := NewView()
	for source := range sourceCount {
		b := v.SnapshotOf(start.Add(5*time.Second), source)
		other.Apply(start.Add(5*time.Second), b, noGrace)
	}
	assert.Equal(t, v.Config, other.Config)
	assert.Equal(t, v.Upstreams, other.Upstreams)
	assert.Equal(t, map[string]bool{"z": true}, other.Evacuated)
	assert.Equal(t, v.Moves, other.Moves)
	assert.Equal(t, v.MoveSeen, other.MoveSeen, "a leader that joined later knows the remaining time of a move")
	assert.Equal(t, v.Statuses, other.Statuses)
	assert.Equal(t, v.Entries, other.Entries)
	assert.Equal(t, v.LogEnds, other.LogEnds)
}

// Guards against matching a shorter prefix, or a prefix of another host.
func TestMatchLongestPrefix(t *testing.T) {
	c := &Config{Routes: []Route{{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "g", Prefix: "/a/b/c/"}}}
	c.Index()
	for path, want := range map[string]string{"/a/x": "short", "/a/b/c/d": "long", "/a/b": "short", "/b/": "", "/a": ""} {
		got := ""
		if r := c.Match("H:80", path); r != nil {
			got = r.Name
		}
		assert.Equal(t, want, got, path)
	}
}
