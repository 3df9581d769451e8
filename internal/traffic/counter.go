package traffic

import "sync/atomic"

// Counter counts bytes in both directions of a host's network link. The zero value is ready for use, and so is a nil pointer, which
// counts nothing. It is safe for concurrent use.
type Counter struct {
	received, sent atomic.Int64
}

// Received adds n bytes read from a connection.
func (c *Counter) Received(n int) {
	if c != nil {
		c.received.Add(int64(n))
	}
}

// Sent adds n bytes written to a connection.
func (c *Counter) Sent(n int64) {
	if c != nil {
		c.sent.Add(n)
	}
}

// Totals returns the bytes of both directions since the start.
func (c *Counter) Totals() (received, sent int64) {
	if c == nil {
		return 0, 0
	}
	return c.received.Load(), c.sent.Load()
}
