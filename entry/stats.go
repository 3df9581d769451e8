package entry

import (
	"time"

	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/rollout"
)

// recordOutcome adds a finished call to the statistics of its route, class and version. The caller must hold mu.
func (o *ownedPool) recordOutcome(g *grantedCall, c *proxy.Call, r proxy.Result) {
	key := statKey{route: c.Route, class: c.Class, version: g.version, cold: g.cold}
	s := o.stats[key]
	if s == nil {
		s = &rollout.Sample{Route: c.Route, Class: c.Class, Version: g.version, Cold: g.cold}
		o.stats[key] = s
	}
	switch r.Kind {
	case proxy.ResultCancelled:
		// A cancellation by the caller is no evidence about the version.
	case proxy.ResultNotRun, proxy.ResultConnectFailed:
		s.NotRun++
	case proxy.ResultSuccess:
		s.Calls++
		s.Latency[latencyBucket(r.Latency)]++
	default:
		s.Calls++
		s.Failures++
	}
}

// latencyBucket returns the index of the rollout.Sample bucket for a latency.
func latencyBucket(d time.Duration) int {
	bucket := 0
	for bound := 100 * time.Microsecond; d > bound && bucket < rollout.Buckets-1; bound *= 2 {
		bucket++
	}
	return bucket
}

// drainStats returns the statistics since its last call and resets them.
func (o *ownedPool) drainStats() []rollout.Sample {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]rollout.Sample, 0, len(o.stats))
	for _, s := range o.stats {
		list = append(list, *s)
	}
	clear(o.stats)
	return list
}
