package ingress

import (
	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/membudget"
)

// Metrics are the counters and histograms of a Server.
type Metrics struct {
	connections   prometheus.Counter
	responses     *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	refusals      *prometheus.CounterVec
	hedges        *prometheus.CounterVec
	hedgeUse      hedgeMetrics
	latency       prometheus.Histogram
	placementWait prometheus.Histogram
	evictions     *prometheus.CounterVec
	refusedConns  prometheus.Counter
	tries         *prometheus.CounterVec
	registerer    prometheus.Registerer
}

// latencyBuckets, in seconds, range from fast lookups to the longest deadlines.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .15, .25, .4, .6, 1, 1.5, 2.5, 6}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		connections: prometheus.NewCounter(prometheus.CounterOpts{Name: "boragehinge_caller_connections_total", Help: "Connections of callers."}),
		responses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_responses_total",
			Help: "Responses to callers by status."}, []string{"status"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_attempts_total",
			Help: "Attempts at upstreams by outcome."}, []string{"outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_refusals_total",
			Help: "Requests that were refused without an attempt, by reason."}, []string{"reason"}),
		hedges: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_hedges_total",
			Help: "Requests with two attempts beside each other, by the one that answered first."}, []string{"winner"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "boragehinge_response_seconds",
			Help: "Time from the first byte of a request to its response.", Buckets: latencyBuckets}),
		placementWait: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "boragehinge_placement_wait_seconds",
			Help: "Time that a request waited for an upstream.", Buckets: latencyBuckets}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_caller_evictions_total",
			Help: "Requests and connections that were ended because callers used all memory or connections, by state."}, []string{"state"}),
		refusedConns: prometheus.NewCounter(prometheus.CounterOpts{Name: "boragehinge_caller_connections_refused_total",
			Help: "Connections of callers that were closed at once because there was no room."}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_caller_tries_total",
			Help: "Requests with a deadline by whether they are the caller's first try or a retry."}, []string{"try"}),
		registerer: r,
	}
	m.hedgeUse = newHedgeMetrics(r)
	r.MustRegister(m.tries, m.evictions, m.refusedConns, m.connections, m.responses, m.attempts, m.refusals, m.hedges, m.latency, m.placementWait)
	return m
}

func (m *Metrics) countTry(first bool) {
	try := "retry"
	if first {
		try = "first"
	}
	m.tries.WithLabelValues(try).Inc()
}

// observe registers gauges of what callers hold at present.
func (m *Metrics) observe(b *membudget.Budget) {
	gauge := func(name, help string, value func(membudget.Stats) float64) {
		m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 { return value(b.Stats()) }))
	}
	gauge("boragehinge_caller_memory_bytes", "Memory reserved for connections, requests and responses of callers.",
		func(s membudget.Stats) float64 { return float64(s.Bytes) })
	gauge("boragehinge_caller_connections", "Open connections of callers.", func(s membudget.Stats) float64 { return float64(s.Conns) })
}
