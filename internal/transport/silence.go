package transport

import (
	"slices"
	"time"
)

// silentMemory is the time after which earlier silent connections no longer count towards SilentLimit.
const silentMemory = 10 * time.Second

// progressed notes that c received bytes.
func (p *path) progressed(c *conn, at time.Time) {
	p.mu.Lock()
	if p.lastProgress[0].conn != c {
		p.lastProgress[1] = p.lastProgress[0]
	}
	p.lastProgress[0] = progress{c, at}
	p.mu.Unlock()
}

// responded notes the time between the start of a call and its response's header.
func (p *path) responded(c *conn, at time.Time, latency time.Duration) {
	p.mu.Lock()
	c.lastResponse = at
	c.route.add(at.Add(-latency), latency)
	p.mu.Unlock()
}

// sweep retires silent connections and closes expired idle ones.
func (p *path) sweep(now time.Time) {
	p.mu.Lock()
	var silent, expired []*conn
	for c := range p.busy {
		if p.isSilent(c, now) {
			silent = append(silent, c)
		}
	}
	expired, p.idle = splitExpired(p.idle, now.Add(-p.cfg.IdleTimeout))
	bulk := p.countSilent(now, len(silent))
	p.mu.Unlock()
	for _, c := range silent {
		c.silent.Store(true)
		p.discard(c)
	}
	for _, c := range expired {
		p.discard(c)
	}
	if bulk {
		p.retire()
	}
}

// isSilent reports whether the call's connection is dead: its call has waited for the upstream for the floor or longer,
// other connections progressed, and either the kernel gets no acknowledgement or the call was overtaken and has taken
// longer than any call of its route. A call that is merely slow meets none of the two.
func (p *path) isSilent(c *conn, now time.Time) bool {
	since, blocked := c.blockedSince()
	if !blocked || now.Sub(since) <= p.cfg.SilentFloor || !p.othersProgressed(c, since) {
		return false
	}
	if p.cfg.pathLost(c.nc) {
		return true
	}
	limit, known := c.route.silentAfter(p.cfg.SilentFloor)
	return known && now.Sub(since) > limit && c.route.overtaken(since)
}

// othersProgressed reports whether a connection other than c received bytes after since.
func (p *path) othersProgressed(c *conn, since time.Time) bool {
	for _, pr := range p.lastProgress {
		if pr.conn != nil && pr.conn != c && pr.at.After(since) {
			return true
		}
	}
	return false
}

// countSilent adds silent connections and reports whether the idle ones are to be retired in bulk.
func (p *path) countSilent(now time.Time, n int) bool {
	if n == 0 {
		return false
	}
	if now.Sub(p.lastSilent) > silentMemory {
		p.silentRecent = 0
	}
	p.lastSilent = now
	p.silentRecent += n
	p.counters.Silent += uint64(n)
	if p.silentRecent < p.cfg.SilentLimit {
		return false
	}
	p.silentRecent = 0
	return true
}

// splitExpired separates the connections whose last response is older than before. The input is ordered by it.
func splitExpired(idle []*conn, before time.Time) (expired, kept []*conn) {
	n := 0
	for n < len(idle) && idle[n].lastResponse.Before(before) {
		n++
	}
	return slices.Clone(idle[:n]), slices.Delete(idle, 0, n)
}
