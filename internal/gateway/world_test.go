package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// noLapse says that no record lapsed in an outage.
var noLapse time.Time

var start = time.Unix(1_700_000_000, 0)

func upstreamUpdate(offset int64, u Upstream) Update {
	return Update{Key: u.ID, Offset: offset, Up: &u}
}

func records(source Source, updates ...Update) Batch {
	end := int64(0)
	for _, u := range updates {
		end = max(end, u.Offset+1)
	}
	return Batch{Source: source, Updates: updates, End: end}
}

// Guards against a configuration that goes back, by an older record or by a record that arrives late.
func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewView()
		newest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "records") {
			version := uint64(rapid.IntRange(1, 20).Draw(t, "version"))
			offset := int64(rapid.IntRange(0, 50).Draw(t, "offset"))
			w.Apply(start, records(Operators, Update{Key: ConfigKey, Offset: offset, Config: &Config{Version: version}}), noLapse)
			if w.Config.Version < newest {
				t.Fatalf("version %d after %d", w.Config.Version, newest)
			}
			newest = w.Config.Version
		}
	})
}

// Guards against old heartbeats, restarts under the same ID, and records that can't be read.
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
		{"a record that can't be read names no upstream", Update{Key: "u", Offset: 1}, nil, true},
		{"a record that was seen already", upstreamUpdate(0, with(func(u *Upstream) { u.Draining = true; u.Seq = 9 })), &base, false},
		{"removed", Update{Key: "u", Offset: 1, Removed: true}, nil, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := NewView()
			w.Apply(start, records(Upstreams, upstreamUpdate(0, base)), noLapse)
			changed := w.Apply(start, records(Upstreams, test.second), noLapse)
			assert.Equal(t, test.changed, len(changed.Updates) > 0)
			got, known := w.Upstreams["u"]
			assert.Equal(t, test.want != nil, known)
			if test.want != nil {
				assert.Equal(t, *test.want, got)
			}
		})
	}
}

func ptr[T any](v T) *T { return &v }

// Guards against a draining process that serves again because an older heartbeat arrives after its report.
func TestDrainingIsFinalForAProcess(t *testing.T) {
	w := NewView()
	u := Upstream{ID: "u", Seq: 1, Born: 1, Draining: true}
	w.Apply(start, records(Upstreams, upstreamUpdate(0, u)), noLapse)
	u.Seq, u.Draining = 2, false
	w.Apply(start, records(Upstreams, upstreamUpdate(1, u)), noLapse)
	assert.True(t, w.Upstreams["u"].Draining)
}

// Guards against keys that stay after a snapshot without them, and against a record newer than the snapshot that it drops.
func TestSnapshotDropsWhatItLacks(t *testing.T) {
	w := NewView()
	w.Apply(start, records(Upstreams, upstreamUpdate(0, Upstream{ID: "a"}), upstreamUpdate(1, Upstream{ID: "b"}), upstreamUpdate(9, Upstream{ID: "late"})), noLapse)
	snapshot := records(Upstreams, upstreamUpdate(1, Upstream{ID: "b"}))
	snapshot.Snapshot, snapshot.End = true, 5
	w.Apply(start, snapshot, start.Add(time.Second))
	assert.NotContains(t, w.Upstreams, "a")
	assert.Equal(t, start.Add(time.Second), w.Tombstones["a"].GraceEnd)
	assert.Contains(t, w.Upstreams, "b")
	assert.Contains(t, w.Upstreams, "late")
}

// Guards against a lapsed upstream that comes back and keeps its tombstone.
func TestAReturningUpstreamLosesItsTombstone(t *testing.T) {
	w := NewView()
	w.Apply(start, records(Upstreams, upstreamUpdate(0, Upstream{ID: "a", Seq: 1})), noLapse)
	w.Apply(start, records(Upstreams, Update{Key: "a", Offset: 1, Removed: true}), start.Add(time.Second))
	assert.Contains(t, w.Tombstones, "a")
	w.Apply(start, records(Upstreams, upstreamUpdate(2, Upstream{ID: "a", Seq: 2})), noLapse)
	assert.NotContains(t, w.Tombstones, "a")
}

// Guards against entries that believe different things after the same records, whichever way these took.
func TestASnapshotCarriesTheWholeWorld(t *testing.T) {
	w := NewView()
	w.Apply(start, records(Operators,
		Update{Key: ConfigKey, Offset: 0, Config: &Config{Version: 3}},
		Update{Key: MoveKey + "s", Offset: 1, Move: &Move{Service: "s", Version: "v2", Duration: time.Second}},
		Update{Key: EvacuateKey + "z", Offset: 2, Evacuate: "z"},
		Update{Key: EvacuateKey + "y", Offset: 3, Evacuate: "y"},
		Update{Key: EvacuateKey + "y", Offset: 4, Removed: true}), noLapse)
	w.Apply(start, records(Upstreams, upstreamUpdate(0, Upstream{ID: "u"})), noLapse)
	w.Apply(start, records(Statuses, Update{Key: MoveKey + "s", Offset: 0, Status: &MoveStatus{Service: "s", Version: "v2", State: MoveRunning}}), noLapse)
	w.Apply(start, records(Entries, Update{Key: "e", Offset: 0, Entry: &Entry{Name: "e"}}), noLapse)
	other := NewView()
	for source := range sourceCount {
		b := w.SnapshotOf(start.Add(5*time.Second), source)
		other.Apply(start.Add(5*time.Second), b, noLapse)
	}
	assert.Equal(t, w.Config, other.Config)
	assert.Equal(t, w.Upstreams, other.Upstreams)
	assert.Equal(t, map[string]bool{"z": true}, other.Evacuated)
	assert.Equal(t, w.Moves, other.Moves)
	assert.Equal(t, w.MoveSeen, other.MoveSeen, "a leader that joined later knows how much time a move has left")
	assert.Equal(t, w.Statuses, other.Statuses)
	assert.Equal(t, w.Entries, other.Entries)
	assert.Equal(t, w.Ends, other.Ends)
}

// Guards against a shorter prefix that wins, and prefixes of other hosts.
func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
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
