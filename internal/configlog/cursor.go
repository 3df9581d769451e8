package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
)

// readBatch is the number of records per read. With records of the maximum size, a response is about 20 MB, which the
// platform client accepts.
const readBatch = 64

// cursor is the log position from which to read for a fold. It differs from Fold.Next after needed records expired: it
// then scans from the oldest retained record until a snapshot restores the fold.
type cursor struct {
	oldest int64 // oldest retained offset when a read found expired records
	scan   int64 // offset of the scan for a snapshot; 0 if not scanning
}

func (c *cursor) from(next int64) int64 {
	if next >= c.oldest {
		c.scan = 0
	}
	if c.scan > 0 {
		return c.scan
	}
	return next
}

// handleReadError handles the error of a read. It reports whether the read can be retried immediately at another offset.
func (c *cursor) handleReadError(err error) bool {
	var expired logservice.ErrExpired
	if !errors.As(err, &expired) {
		return false
	}
	c.oldest = expired.Oldest
	c.scan = max(c.scan, expired.Oldest)
	return true
}

func (c *cursor) apply(f *Fold, entries []logservice.Entry, each func(logservice.Entry, Result)) {
	for _, e := range entries {
		r := f.Apply(e)
		if each != nil {
			each(e, r)
		}
		if c.scan > 0 {
			c.scan = e.Offset + 1
		}
		if r.Outcome == Restored {
			return // The records after the restored state precede the snapshot in the log; read them next.
		}
	}
}

// missing describes expired records that no snapshot covers; it is empty when there are none.
func (c *cursor) missing(next int64) string {
	if c.scan == 0 || next >= c.oldest {
		return ""
	}
	return fmt.Sprintf("the log's records %d to %d expired and no snapshot covers them", next, c.oldest-1)
}

// Load replays the whole log and returns the resulting fold. It fails if the log can't be read, or if records expired
// and no retained snapshot covers them.
func Load(ctx context.Context, log logservice.Log) (*Fold, error) {
	f, c := NewFold(), &cursor{}
	if err := catchUp(ctx, log, f, c, nil); err != nil {
		return nil, err
	}
	if missing := c.missing(f.Next()); missing != "" {
		return nil, errors.New(missing)
	}
	return f, nil
}

// catchUp reads until the end of the log.
func catchUp(ctx context.Context, log logservice.Log, f *Fold, c *cursor, each func(logservice.Entry, Result)) error {
	for {
		n, err := readOnce(ctx, log, f, c, 0, each)
		if err != nil {
			return err
		}
		if n == 0 {
			return nil
		}
	}
}

// readOnce reads one batch and returns the number of entries. A read at an expired offset counts as one entry, so that
// callers continue.
func readOnce(
	ctx context.Context, log logservice.Log, f *Fold, c *cursor, wait time.Duration, each func(logservice.Entry, Result),
) (int, error) {
	entries, err := log.Read(ctx, c.from(f.Next()), readBatch, wait)
	if c.handleReadError(err) {
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	c.apply(f, entries, each)
	return len(entries), nil
}
