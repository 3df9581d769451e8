// Package pause waits for a time or the end of a context.
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
