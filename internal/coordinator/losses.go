package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/placement"
)

var lossesDesc = prometheus.NewDesc("boragehinge_lost_connections_total",
	"Connections to upstreams that were lost during a request, by the cause that this leader found: full, idle-dropped, crashed or unknown.",
	[]string{"service", "cause"}, nil)

// lossCounts returns the numbers of lost connections of the services whose upstreams reset connections when they are full.
func (c *Coordinator) lossCounts() map[string]placement.LossCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]placement.LossCounts{}
	for service, pool := range c.pools {
		if c.limits.ResetsWhenFull != nil && c.limits.ResetsWhenFull(service) {
			out[service] = pool.LossCounts()
		}
	}
	return out
}

// SoonestProbe returns the shortest time between two probes of an upstream when one is asked for: minInterval, or longer while other
// leaders may probe it too.
func (n *Node) SoonestProbe(minInterval time.Duration) time.Duration {
	if n.minority.Load() && n.orderedProbeInterval.Load() == 0 {
		return max(minInterval, minorityProbeInterval)
	}
	return minInterval
}

// probeWake returns the channel that receives a value when an upstream is to be probed at once.
func (c *Coordinator) probeWake(upstream string) <-chan struct{} {
	wake, _ := c.probeWakes.LoadOrStore(upstream, make(chan struct{}, 1))
	return wake.(chan struct{})
}

// wakeProbe asks for a probe of an upstream, if one is named.
func (c *Coordinator) wakeProbe(upstream string) {
	if upstream == "" {
		return
	}
	select {
	case c.probeSoon <- upstream: // nil without delegation
	default: // the next usual probe has to do
	}
	wake, known := c.probeWakes.Load(upstream)
	if !known {
		return
	}
	select {
	case wake.(chan struct{}) <- struct{}{}:
	default: // one is already asked for
	}
}

// lossCauses are the classes of lost connections whose numbers are reported.
var lossCauses = []placement.LossClass{placement.LossFull, placement.LossIdle, placement.LossCrashed, placement.LossUnknown}

// collectLosses reports the lost connections since the start of the leadership.
func (l *leadership) collectLosses(ch chan<- prometheus.Metric) {
	for service, counts := range l.coordinator.lossCounts() {
		for _, cause := range lossCauses {
			ch <- prometheus.MustNewConstMetric(lossesDesc, prometheus.CounterValue, float64(counts[cause]), service, cause.String())
		}
	}
}

// newLossLogger returns a logger of the lost connections.
func newLossLogger(l *leadership) *statsLogger[placement.LossCounts, placement.LossCounts] {
	return &statsLogger[placement.LossCounts, placement.LossCounts]{
		read:   func(time.Time) map[string]placement.LossCounts { return l.coordinator.lossCounts() },
		counts: func(counts placement.LossCounts) placement.LossCounts { return counts },
		write: func(service string, counts, before placement.LossCounts) {
			e := l.log.Info().Str("event", "losses").Str("service", service)
			for _, cause := range lossCauses {
				e = e.Uint64(cause.String(), counts[cause]-before[cause])
			}
			e.Msg("lost connections by cause")
		},
	}
}
