// Package pause waits for a time, once or again and again, or the end of a context.
package pause

import (
	"context"
	"time"
)

// For returns after d, or when ctx ends.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Sleep waits like For and returns the error of ctx if it has ended.
func Sleep(ctx context.Context, d time.Duration) error {
	For(ctx, d)
	return ctx.Err()
}

// Every calls f with the time of each tick until ctx ends. A tick is left out while f still runs.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			f(now)
		}
	}
}
