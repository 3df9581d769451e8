package coordinator

import "github.com/prometheus/client_golang/prometheus"

var (
	transferredDesc = prometheus.NewDesc("boragehinge_transferred_bytes_total",
		"Bytes that this entry has received and sent on the connections of callers and upstreams.", []string{"direction"}, nil)
	advertisedDesc = prometheus.NewDesc("boragehinge_advertised_entries", "Entries advertised to callers, at the leader.", []string{"data_centre"}, nil)
	limitedDesc    = prometheus.NewDesc("boragehinge_entries_limited",
		"Entries by the resource that limits their capacity for callers at the peak load, at the leader.", []string{"resource"}, nil)
	shortDesc = prometheus.NewDesc("boragehinge_entries_short", "Entries that have been short of their link or descriptors lately, at the leader.", nil, nil)
)

// collectTraffic reports what this entry has carried.
func (n *Node) collectTraffic(ch chan<- prometheus.Metric) {
	if n.o.Traffic == nil {
		return
	}
	totals := n.o.Traffic()
	ch <- prometheus.MustNewConstMetric(transferredDesc, prometheus.CounterValue, float64(totals.Received), "received")
	ch <- prometheus.MustNewConstMetric(transferredDesc, prometheus.CounterValue, float64(totals.Sent), "sent")
}

// collectSelections reports the selection of the entries advertised to callers.
func (l *leadership) collectSelections(ch chan<- prometheus.Metric) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var limited [resourceCount]int
	short := 0
	for dataCentre, s := range l.selections {
		ch <- prometheus.MustNewConstMetric(advertisedDesc, prometheus.GaugeValue, float64(len(s.addresses)), dataCentre)
		for r, n := range s.limited {
			limited[r] += n
		}
		short += len(s.short)
	}
	for r, n := range limited {
		ch <- prometheus.MustNewConstMetric(limitedDesc, prometheus.GaugeValue, float64(n), resource(r).String()) //nolint:gosec // a few resources
	}
	ch <- prometheus.MustNewConstMetric(shortDesc, prometheus.GaugeValue, float64(short))
}
