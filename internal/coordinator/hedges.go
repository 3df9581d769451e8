package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/placement"
)

var (
	hedgesGrantedDesc = prometheus.NewDesc("boragehinge_hedges_granted_total",
		"Hedges that this leader has granted, by trigger: probe or slowness.", []string{"service", "trigger"}, nil)
	hedgesRefusedDesc = prometheus.NewDesc("boragehinge_hedges_refused_total",
		"Calls that this leader did not hedge because of the hedge limit.", []string{"service"}, nil)
)

// restrictedHedgeLimit is the hedge limit of an entry beside which others may place requests. It is 0 if the operator has set a limit,
// because the others may use it.
func restrictedHedgeLimit(limit *float64) *float64 {
	if limit == nil {
		return nil
	}
	return new(float64)
}

// collectHedges reports the counts of hedges since the start of the leadership.
func (l *leadership) collectHedges(ch chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, n uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	for service, use := range l.coordinator.hedgeUse(time.Now()) {
		counter(hedgesGrantedDesc, use.Granted-use.BySlowness, service, "probe")
		counter(hedgesGrantedDesc, use.BySlowness, service, "slowness")
		counter(hedgesRefusedDesc, use.RefusedByLimit, service)
	}
}

// hedgeUse returns the counts of hedges by service.
func (c *Coordinator) hedgeUse(now time.Time) map[string]placement.HedgeUse {
	return readPools(c, func(p *placement.Pool) placement.HedgeUse { return p.HedgeUse(now) })
}

// newHedgeLogger returns a logger of the decisions on hedges.
func newHedgeLogger(l *leadership) *statsLogger[placement.HedgeUse, placement.HedgeStats] {
	return &statsLogger[placement.HedgeUse, placement.HedgeStats]{
		read:   l.coordinator.hedgeUse,
		counts: func(use placement.HedgeUse) placement.HedgeStats { return use.HedgeStats },
		write: func(service string, use placement.HedgeUse, before placement.HedgeStats) {
			e := l.log.Info().Str("event", "hedges").Str("service", service).Uint64("granted", use.Granted-before.Granted).
				Uint64("by_slowness", use.BySlowness-before.BySlowness).Uint64("refused_by_limit", use.RefusedByLimit-before.RefusedByLimit).
				Float64("window_hedges", use.Sent).Float64("window_requests", use.Requests)
			if use.Limit != nil {
				e = e.Float64("limit", *use.Limit)
			}
			e.Msg("hedges of the leader")
		},
	}
}
