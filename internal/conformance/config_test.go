package conformance

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"boragehinge.example/boragehinge/internal/configlog"
	"boragehinge.example/boragehinge/internal/logservice"
)

var logStart = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func inventoryJSON(rules string) json.RawMessage {
	return json.RawMessage(`{"schemaVersion":1,"sites":[{"name":"s","dataCentres":[{"name":"dc"}]}],` +
		`"classes":[{"name":"urgent","priority":1}],"services":[{"name":"orders","slots":3,"upstreams":[]}],"rules":` + rules + `}`)
}

func encode(t require.TestingT, r configlog.Record) []byte {
	data, err := configlog.Encode(r)
	require.NoError(t, err)
	return data
}

func changeData(t require.TestingT, id string, base int64) []byte {
	return encode(t, configlog.Record{Kind: configlog.KindChange, Change: &configlog.Change{
		ID: id, Base: base, Operator: "op", Inventory: inventoryJSON("{}"),
	}})
}

// memoryLog is the platform's log without delays.
type memoryLog struct {
	entries []logservice.Entry // entries[0] has offset 1
	oldest  int64
}

func (l *memoryLog) add(data []byte) logservice.Entry {
	offset := int64(len(l.entries)) + 1
	e := logservice.Entry{Offset: offset, Time: logStart.Add(time.Duration(offset) * time.Second), Data: data}
	l.entries = append(l.entries, e)
	return e
}

// Append implements logservice.Log.
func (l *memoryLog) Append(_ context.Context, data []byte) (int64, error) {
	return l.add(data).Offset, nil
}

// Read implements logservice.Log.
func (l *memoryLog) Read(_ context.Context, from int64, limit int, _ time.Duration) ([]logservice.Entry, error) {
	if from < l.oldest {
		return nil, logservice.ErrExpired{Oldest: l.oldest}
	}
	rest := l.entries[min(from-1, int64(len(l.entries))):]
	return rest[:min(limit, len(rest))], nil
}

// configRun drives folds and the reference through the same steps.
type configRun struct {
	t       *rapid.T
	log     memoryLog
	ref     *refLog
	folds   []*configlog.Fold
	readers []*refReader
	sent    []refRecord // changes that operators may append again
	written []writtenSnapshot
	through int64 // newest snapshot in the log includes the records up to here
}

type writtenSnapshot struct {
	data []byte
	ref  refRecord
}

func newConfigRun(t *rapid.T, readers int) *configRun {
	r := &configRun{t: t, log: memoryLog{oldest: 1}, ref: newRefLog()}
	for range readers {
		r.folds = append(r.folds, configlog.NewFold())
		r.readers = append(r.readers, &refReader{seen: map[string]bool{}, next: 1})
	}
	return r
}

// change is the operator's append of a new change, made from the current version or from one that it read earlier.
func (r *configRun) change() {
	base := r.ref.version
	if r.ref.next() > 1 && rapid.Bool().Draw(r.t, "outdated") {
		base = r.ref.versionAt[rapid.Int64Range(1, r.ref.next()-1).Draw(r.t, "read at")]
	}
	rec := refRecord{base: base, id: fmt.Sprint("c", len(r.sent))}
	r.sent = append(r.sent, rec)
	r.appendChange(rec)
}

// repeat is the append of a change whose answer was lost.
func (r *configRun) repeat() {
	if len(r.sent) > 0 {
		r.appendChange(rapid.SampledFrom(r.sent).Draw(r.t, "again"))
	}
}

func (r *configRun) appendChange(rec refRecord) {
	r.log.add(changeData(r.t, rec.id, rec.base))
	r.ref.append(rec)
}

// takeSnapshot reads a reader's state; appendSnapshot appends it later, when the writer may be behind.
func (r *configRun) takeSnapshot(k int) {
	data, err := r.folds[k].Snapshot()
	require.NoError(r.t, err)
	e := r.readers[k]
	r.written = append(r.written, writtenSnapshot{data, refRecord{
		snapshot: true, base: e.version, ids: maps.Clone(e.seen), through: e.next - 1,
	}})
}

func (r *configRun) appendSnapshot() {
	if len(r.written) == 0 {
		return
	}
	s := rapid.SampledFrom(r.written).Draw(r.t, "snapshot")
	r.log.add(s.data)
	r.ref.append(s.ref)
	r.through = max(r.through, s.ref.through)
}

// expire removes records. Past the newest snapshot's state, no reader can start.
func (r *configRun) expire() {
	limit := r.through + 1
	if rapid.IntRange(0, 9).Draw(r.t, "beyond") == 0 {
		limit = r.ref.next()
	}
	oldest := rapid.Int64Range(r.log.oldest, max(limit, r.log.oldest)).Draw(r.t, "oldest")
	r.log.oldest, r.ref.oldest = oldest, oldest
}

// read is action read, implemented by Fold.Apply. Records out of place must have no effect.
func (r *configRun) read(k int) {
	fold, e := r.folds[k], r.readers[k]
	if e.next >= r.ref.next() || e.next < r.log.oldest {
		return
	}
	if e.next > 1 && rapid.Bool().Draw(r.t, "stale") {
		require.Equal(r.t, configlog.Stale, fold.Apply(r.log.entries[e.next-2]).Outcome)
	}
	if ahead := e.next + 1; ahead < r.ref.next() && !r.ref.records[ahead].snapshot && rapid.Bool().Draw(r.t, "gap") {
		require.Equal(r.t, configlog.Gap, fold.Apply(r.log.entries[ahead-1]).Outcome)
	}
	res := fold.Apply(r.log.entries[e.next-1])
	isChange := !r.ref.records[e.next].snapshot
	if isChange {
		require.Equal(r.t, r.repeated(e.next), res.Outcome == configlog.Repeated, "%+v", res)
	}
	accepted := e.read(r.ref)
	require.Equal(r.t, accepted, isChange && res.Outcome == configlog.Accepted, "%+v", res)
	r.compare(k)
}

// repeated reports whether the change at an offset is in the log before it.
func (r *configRun) repeated(offset int64) bool {
	return slices.ContainsFunc(r.ref.records[1:offset], func(rec refRecord) bool {
		return !rec.snapshot && rec.id == r.ref.records[offset].id
	})
}

// replace is action replacements followed by start and reads, implemented by Load.
func (r *configRun) replace(k int) {
	fold, err := configlog.Load(context.Background(), &r.log)
	var e refReader
	if !e.start(r.ref) {
		if r.log.oldest < r.ref.next() || err == nil {
			require.Error(r.t, err, "the model finds no place to start from")
		}
		return
	}
	require.NoError(r.t, err)
	for e.next < r.ref.next() {
		e.read(r.ref)
	}
	r.folds[k], r.readers[k] = fold, &e
	r.compare(k)
}

// compare checks one reader against the reference and the reader that saw all records (agreement).
func (r *configRun) compare(k int) {
	fold, e := r.folds[k], r.readers[k]
	require.Equal(r.t, e.next, fold.Next())
	require.Equal(r.t, e.version, fold.Current().Offset)
	require.Equal(r.t, r.ref.versionAt[e.next-1], fold.Current().Offset)
}

// Guards against readers of the log that decide differently, a change that takes effect twice or over a concurrent one,
// and a reader that starts from a place which lacks records: the rules of spec/config.pml.
func TestConfigFoldConformsToModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newConfigRun(t, 3)
		reader := rapid.IntRange(0, 2)
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"change", "change", "repeat", "read", "read", "read", "read", "read",
				"take", "snapshot", "expire", "replace"}).Draw(t, "action") {
			case "change":
				r.change()
			case "repeat":
				r.repeat()
			case "read":
				r.read(reader.Draw(t, "reader"))
			case "take":
				r.takeSnapshot(reader.Draw(t, "reader"))
			case "snapshot":
				r.appendSnapshot()
			case "expire":
				r.expire()
			case "replace":
				r.replace(reader.Draw(t, "reader"))
			}
		}
	})
}
