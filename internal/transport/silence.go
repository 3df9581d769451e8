package transport

import (
	"slices"
	"time"
)

// silentMemory is the time after which earlier silent connections no longer count towards SilentLimit.
const silentMemory = 10 * time.Second

// minSamples is the least number of latencies for a usable p99; below it SilentFloor applies alone.
const minSamples = 20

// progressed notes that c received bytes.
func (p *path) progressed(c *conn, at time.Time) {
	p.mu.Lock()
	if p.lastProgress[0].conn != c {
		p.lastProgress[1] = p.lastProgress[0]
	}
	p.lastProgress[0] = progress{c, at}
	p.mu.Unlock()
}

// responded notes the time between the end of the request's header and the response's header.
func (p *path) responded(c *conn, at time.Time, latency time.Duration) {
	p.mu.Lock()
	c.lastResponse = at
	p.latencies[p.samples%latencySamples] = latency
	p.samples++
	p.mu.Unlock()
}

// sweep retires silent connections and closes expired idle ones.
func (p *path) sweep(now time.Time) {
	p.mu.Lock()
	limit := p.silentAfter()
	var silent, expired []*conn
	for c := range p.busy {
		if since, blocked := c.blockedSince(); blocked && now.Sub(since) > limit && p.othersProgressed(c, since) {
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

// silentAfter returns the silence after which a connection is retired: the larger of the floor and 4 x p99.
func (p *path) silentAfter() time.Duration {
	n := min(p.samples, latencySamples)
	if n < minSamples {
		return p.cfg.SilentFloor
	}
	sorted := slices.Clone(p.latencies[:n])
	slices.Sort(sorted)
	return max(p.cfg.SilentFloor, 4*sorted[n*99/100])
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
