package coordinator

import (
	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/probeplan"
)

var (
	probedUpstreamsDesc = prometheus.NewDesc("boragehinge_probed_upstreams",
		"Upstreams by the data centre of the entry that probes them, with --probe-by-data-centre.", []string{"data_centre"}, nil)
	probeReportsDesc = prometheus.NewDesc("boragehinge_probe_reports_total",
		"Results of probes that followers have reported to this leader.", nil, nil)
	probesTakenBackDesc = prometheus.NewDesc("boragehinge_probes_taken_back_total",
		"Delegated upstreams that this leader started to probe itself, by cause: unanswered, silent, left, overload or minority.", []string{"cause"}, nil)
)

// collect reports who probes, and the counts since the start of the leadership.
func (d *delegation) collect(ch chan<- prometheus.Metric) {
	if d == nil {
		return
	}
	d.mu.Lock()
	status, received, takenBack := d.plan.Status(), d.received, d.plan.TakenBack()
	d.mu.Unlock()
	for dataCentre, s := range status {
		ch <- prometheus.MustNewConstMetric(probedUpstreamsDesc, prometheus.GaugeValue, float64(s.Upstreams), dataCentre)
	}
	ch <- prometheus.MustNewConstMetric(probeReportsDesc, prometheus.CounterValue, float64(received))
	for cause, n := range takenBack {
		ch <- prometheus.MustNewConstMetric(probesTakenBackDesc, prometheus.CounterValue, float64(n), probeplan.Cause(cause).String()) //nolint:gosec // a few causes
	}
}
