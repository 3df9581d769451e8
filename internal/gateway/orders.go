package gateway

import (
	"slices"
	"time"
)

// IsOrder reports whether an update is an operator's order: the evacuation of a data centre or the move of a service.
func (u Update) IsOrder() bool { return u.Move != nil || u.Evacuate != "" }

// OrdersMissingIn returns the orders in force that a snapshot of another entry lacks, because the store has lost them and that entry has
// started since. The snapshot must have been applied to this view before. Orders that this entry knows to be withdrawn are not in force.
func (v *View) OrdersMissingIn(now time.Time, snapshot Batch) (missing Batch, found bool) {
	missing.Source = Operators
	inEpoch := snapshot.Epoch != 0 && snapshot.Epoch == v.Epochs[Operators]
	if !inEpoch || !snapshot.Snapshot || snapshot.Source != Operators || !now.Before(v.epochs.graceEnd[Operators]) {
		return missing, false
	}
	for _, u := range v.SnapshotOf(now, Operators).Updates {
		carried := func(other Update) bool { return other.Key == u.Key && other.Offset < 0 }
		if u.Offset < 0 && u.IsOrder() && !slices.ContainsFunc(snapshot.Updates, carried) {
			missing.Updates = append(missing.Updates, u)
		}
	}
	return missing, len(missing.Updates) > 0
}

// adoptOrder takes over an order that another entry knows from an earlier epoch and that the restored log lacks. It stays in force until
// the grace period of this entry ends. It doesn't replace what this entry knows from an earlier epoch itself, nor a record that the
// restored log shows to be newer: one that was not in its first snapshot, or at an offset above the highest that the key had.
func (v *View) adoptOrder(now time.Time, u Update) bool {
	e := &v.epochs
	if !now.Before(e.graceEnd[Operators]) {
		return false
	}
	if highest, known := e.highest[Operators][u.Key]; known && u.Highest <= highest {
		return false
	}
	if last, stored := v.offsets[Operators][u.Key]; stored {
		move, ordered := v.Moves[moveService(u)]
		if !ordered || move == *u.Move || last >= e.firstEnd[Operators] || last >= u.Highest {
			return false
		}
		e.held[Operators][u.Key] = Update{Key: u.Key, Offset: last, Move: &move}
		delete(v.offsets[Operators], u.Key)
	}
	e.highest[Operators][u.Key] = u.Highest
	e.carried[Operators][u.Key] = struct{}{}
	return v.setRecord(now, Operators, u, time.Time{})
}

// moveService returns the service of the order of a move, or an empty string.
func moveService(u Update) string {
	if u.Move == nil {
		return ""
	}
	return u.Move.Service
}
