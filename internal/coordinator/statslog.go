package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// readPools returns what read returns for the pool of each service.
func readPools[T any](c *Coordinator, read func(*placement.Pool) T) map[string]T {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]T, len(c.pools))
	for service, pool := range c.pools {
		out[service] = read(pool)
	}
	return out
}

// statsLogger logs statistics of services at intervals. It is used by the goroutine of runMaintenance only.
type statsLogger[S any, C comparable] struct {
	read   func(now time.Time) map[string]S // by service
	counts func(S) C                        // those of the statistics whose change is logged
	write  func(service string, stats S, before C)
	at     time.Time
	logged map[string]C // by service
}

// log writes one line for each service whose counts have changed since the last line, if loadLogInterval has passed.
func (d *statsLogger[S, C]) log(now time.Time) {
	if now.Sub(d.at) < loadLogInterval {
		return
	}
	logged := map[string]C{}
	for service, stats := range d.read(now) {
		logged[service] = d.counts(stats)
		if before := d.logged[service]; before != logged[service] {
			d.write(service, stats, before)
		}
	}
	d.at, d.logged = now, logged
}
