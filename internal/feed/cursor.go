package feed

import "boragehinge.example/boragehinge/internal/gateway"

// snapshotNext is the offset of a cursor whose next read is a snapshot.
const snapshotNext = -1

// cursor is the place at which a log is read next. The offset is valid in one epoch of the store only.
type cursor struct {
	epoch  uint64 // 0 when unknown
	offset int64
}

// in returns the cursor for a read in the epoch known, the newest one that is known. In another epoch than its own, the offset is void.
func (c cursor) in(known uint64) cursor {
	if c.epoch == known {
		return c
	}
	return cursor{epoch: known, offset: snapshotNext}
}

// next returns the cursor after the answer b, and whether b may be used. asked is the epoch that was known when the read was issued,
// newest the one that is known now, that of b included. An answer without an epoch comes from an older store or entry; it counts as one of
// the epoch in which it was asked for.
func (c cursor) next(asked, newest uint64, b gateway.Batch) (next cursor, use bool) {
	epoch := b.Epoch
	if epoch == 0 {
		epoch = asked
	}
	// A snapshot is read without an offset, so it is valid in whatever epoch it was taken; other records follow the cursor's offset.
	if epoch < newest || !b.Snapshot && epoch != c.epoch {
		return cursor{epoch: newest, offset: snapshotNext}, false
	}
	return cursor{epoch: epoch, offset: b.End}, true
}
