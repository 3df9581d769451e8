package configlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
)

// Snapshot encodes the state as a record that can be appended to the log or sent to a peer.
func (f *Fold) Snapshot() ([]byte, error) {
	raw, err := json.Marshal(f.exportState())
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return Encode(Record{Kind: KindSnapshot, Snapshot: &Snapshot{
		Through: f.next - 1, Length: len(raw), Checksum: checksum(raw), State: raw,
	}})
}

// SnapshotDue reports whether, at the time now, the oldest record that a new reader needs is older than half the
// retention period.
func (f *Fold) SnapshotDue(now time.Time, retention time.Duration) bool {
	if f.oldestNeeded.IsZero() || retention <= 0 {
		return false
	}
	return now.Sub(f.oldestNeeded) > retention/2
}

func checksum(raw []byte) string { return strconv.FormatUint(xxhash.Sum64(raw), 16) }

func (f *Fold) applySnapshot(e logservice.Entry, s *Snapshot) Result {
	res := Result{Offset: e.Offset, Kind: KindSnapshot}
	st, inv, err := readSnapshot(e, s)
	if err == nil && s.Through >= f.next && st.Offset < f.version.Offset {
		err = fmt.Errorf("its version %d is older than %d", st.Offset, f.version.Offset)
	}
	switch {
	case err == nil && s.Through >= f.next:
		f.restore(e, st, inv)
		res.Outcome = Restored
		return res
	case e.Offset > f.next && err == nil:
		res.Outcome, res.Reason = Gap, fmt.Sprintf("records from %d on are missing", f.next)
		return res
	case e.Offset == f.next:
		f.advance(e)
	}
	if err != nil {
		f.counters.Corrupt++
		res.Outcome, res.Reason = Corrupt, err.Error()
		return res
	}
	f.recordSnapshot(e, st)
	res.Outcome = Noted
	return res
}

func (f *Fold) restore(e logservice.Entry, st state, inv *model.Inventory) {
	logTime := f.logTime
	f.importState(st, inv)
	if logTime.After(f.logTime) {
		f.logTime = logTime
	}
	if st.Through < e.Offset {
		f.recordSnapshot(e, st)
	}
}

// recordSnapshot updates the oldest log time that a new reader needs: that of the snapshot record, or that of the state in
// the snapshot if other records lie between them.
func (f *Fold) recordSnapshot(e logservice.Entry, st state) {
	oldestNeeded := e.Time
	if st.Through+1 < e.Offset {
		oldestNeeded = st.LogTime
	}
	if oldestNeeded.After(f.oldestNeeded) {
		f.oldestNeeded = oldestNeeded
	}
}

// readSnapshot decodes a snapshot and verifies its length, checksum and offsets. Through equals the offset only in a
// snapshot that a peer sent of its own state.
func readSnapshot(e logservice.Entry, s *Snapshot) (state, *model.Inventory, error) {
	var st state
	if len(s.State) != s.Length {
		return st, nil, fmt.Errorf("length %d, expected %d", len(s.State), s.Length)
	}
	if checksum(s.State) != s.Checksum {
		return st, nil, errors.New("wrong checksum")
	}
	if err := json.Unmarshal(s.State, &st); err != nil {
		return st, nil, err
	}
	if st.Through != s.Through || st.Through > e.Offset || st.Through < 0 || st.Offset > st.Through || st.Offset < 0 {
		return st, nil, fmt.Errorf("offsets %d, %d and %d don't fit", st.Through, st.Offset, e.Offset)
	}
	if st.Offset == 0 {
		st.Raw = nil
		return st, nil, nil
	}
	inv, err := decodeInventory(st.Raw)
	return st, inv, err
}
