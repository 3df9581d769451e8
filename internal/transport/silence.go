package transport

import (
	"slices"
	"time"
)

// silentWindow is the time without silent connections after which earlier ones no longer count towards
// BulkRetireThreshold.
const silentWindow = 10 * time.Second

// recordProgress records that c received bytes.
func (p *connPool) recordProgress(c *conn, at time.Time) {
	p.mu.Lock()
	if p.lastProgress[0].conn != c {
		p.lastProgress[1] = p.lastProgress[0]
	}
	p.lastProgress[0] = progress{c, at}
	p.mu.Unlock()
}

// recordResponse records the time of a response header.
func (p *connPool) recordResponse(c *conn, at time.Time) {
	p.mu.Lock()
	c.lastResponse = at
	p.mu.Unlock()
}

// sweep closes silent connections and expired idle ones.
func (p *connPool) sweep(now time.Time) {
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

// isSilent reports whether a busy connection is taken as dead: its call has been waiting for the upstream for more than
// MinSilence, other connections made progress, and the peer acknowledges nothing. That later calls were answered first proves
// nothing, because the work of a single call may take much longer than that of the others.
func (p *connPool) isSilent(c *conn, now time.Time) bool {
	since, blocked := c.blockedSince()
	if !blocked || now.Sub(since) <= p.cfg.MinSilence || !p.othersProgressed(c, since) {
		return false
	}
	return p.cfg.peerUnreachable(c.nc)
}

// othersProgressed reports whether a connection other than c received bytes after since.
func (p *connPool) othersProgressed(c *conn, since time.Time) bool {
	for _, pr := range p.lastProgress {
		if pr.conn != nil && pr.conn != c && pr.at.After(since) {
			return true
		}
	}
	return false
}

// countSilent counts n silent connections and reports whether to retire the idle ones in bulk.
func (p *connPool) countSilent(now time.Time, n int) bool {
	if n == 0 {
		return false
	}
	if now.Sub(p.lastSilent) > silentWindow {
		p.recentSilent = 0
	}
	p.lastSilent = now
	p.recentSilent += n
	p.counters.Silent += uint64(n)
	if p.recentSilent < p.cfg.BulkRetireThreshold {
		return false
	}
	p.recentSilent = 0
	return true
}

// splitExpired separates the connections whose last response is before the given time. idle is ordered by last response.
func splitExpired(idle []*conn, before time.Time) (expired, kept []*conn) {
	n := 0
	for n < len(idle) && idle[n].lastResponse.Before(before) {
		n++
	}
	return slices.Clone(idle[:n]), slices.Delete(idle, 0, n)
}
