package ingress

import (
	"context"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/pause"
)

// unreadInterval is the time between two checks of what callers have not read. It is long against the time in which an ordinary caller
// reads a response, so that few checks find anything.
const unreadInterval = 250 * time.Millisecond

// unreadConns are the connections with bytes in the kernel's send buffer at the last check, or written to since.
type unreadConns struct {
	mu  sync.Mutex
	all map[*conn]struct{}
}

// add includes a connection in the next check.
func (u *unreadConns) add(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.all == nil {
		u.all = map[*conn]struct{}{}
	}
	u.all[c] = struct{}{}
}

// take returns the connections and empties the set.
func (u *unreadConns) take() map[*conn]struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := u.all
	u.all = nil
	return all
}

// wrote accounts for a response that was written, which stays in the kernel's send buffer until the caller reads it.
func (c *conn) wrote(n int) {
	if n > maxJoinedBody {
		c.s.budget.SetUnread(time.Now(), c.account, int64(min(n, sendBuffer)))
		c.s.unread.add(c)
	}
}

// watchUnread updates what callers have not read until ctx ends.
func (s *Server) watchUnread(ctx context.Context) {
	pause.Every(ctx, unreadInterval, func(now time.Time) {
		for c := range s.unread.take() {
			n := unreadBytes(c.nc)
			s.budget.SetUnread(now, c.account, n)
			if n > 0 {
				s.unread.add(c)
			}
		}
	})
}
