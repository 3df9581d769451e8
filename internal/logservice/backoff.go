package logservice

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between attempts: doubling from Min to Max, each drawn evenly from the upper half of its
// range so that clients which failed together don't return together. The zero value uses 100 ms to 5 s. It isn't safe
// for concurrent use.
type Backoff struct {
	Min, Max time.Duration
	attempt  int
}

// Next returns the next delay.
func (b *Backoff) Next() time.Duration {
	lo, hi := b.Min, b.Max
	if lo <= 0 {
		lo = 100 * time.Millisecond
	}
	if hi < lo {
		hi = max(lo, 5*time.Second)
	}
	d := lo
	for range b.attempt {
		d *= 2
		if d >= hi {
			d = hi
			break
		}
	}
	b.attempt++
	return d/2 + rand.N(d/2+1)
}

// Reset starts again from the shortest delay.
func (b *Backoff) Reset() { b.attempt = 0 }
