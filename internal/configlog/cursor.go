package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
)

// readBatch keeps an answer with records of the largest size near 20 MB, which the platform client accepts.
const readBatch = 64

// cursor is the place in the log from which to read for a fold. It differs from Fold.Next after records expired: then
// it moves on from the oldest kept record until a snapshot restores the fold.
type cursor struct {
	oldest int64 // oldest kept offset when records were found expired
	scan   int64 // place of the scan for a snapshot, 0 while not scanning
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

// failed takes the error of a read. It reports whether reading can go on at once at another place.
func (c *cursor) failed(err error) bool {
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
			return // The records after the restored state come before the snapshot that was just read.
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

// Load reads the whole log and returns its fold. It fails when the log can't be read or its kept part has no state to
// start from.
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

// catchUp reads until there is nothing more to read.
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

// readOnce reads one batch and returns how many entries it had. An expired place counts as one.
func readOnce(
	ctx context.Context, log logservice.Log, f *Fold, c *cursor, wait time.Duration, each func(logservice.Entry, Result),
) (int, error) {
	entries, err := log.Read(ctx, c.from(f.Next()), readBatch, wait)
	if c.failed(err) {
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	c.apply(f, entries, each)
	return len(entries), nil
}
