// Package pause provides sleeps and periodic calls that end with a context.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Sleep is like For, but returns ctx.Err().
func Sleep(ctx context.Context, d time.Duration) error {
	For(ctx, d)
	return ctx.Err()
}

// Every calls f at each interval until ctx is done. As with time.Ticker, ticks are dropped while f is slow.
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
