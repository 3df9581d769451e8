package telemetry

import (
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// OtherLabel stands for the label values beyond the bound of a LabelSet.
const OtherLabel = "other"

// LabelSet bounds the values of a label. It is safe for concurrent use.
type LabelSet struct {
	max   int
	mu    sync.RWMutex
	known map[string]struct{}
}

// NewLabelSet returns a set that admits max distinct values.
func NewLabelSet(max int) *LabelSet { return &LabelSet{max: max, known: map[string]struct{}{}} }

// Value returns the value, or OtherLabel when the set is full without it.
func (s *LabelSet) Value(value string) string {
	s.mu.RLock()
	_, ok := s.known[value]
	s.mu.RUnlock()
	if ok {
		return value
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.known[value]; ok {
		return value
	}
	if len(s.known) >= s.max {
		return OtherLabel
	}
	s.known[value] = struct{}{}
	return value
}

// Bounds of the labels: the design size has 20 services, 9 data centres and three classes.
const (
	maxServices    = 64
	maxClasses     = 16
	maxDataCentres = 32
	maxReasons     = 32
)

// Metrics holds the registry of an entry and its metrics. The vectors are used through the methods, which bound the
// label values.
type Metrics struct {
	Registry *prometheus.Registry

	services, classes, dataCentres, reasons *LabelSet

	requests   *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	added      *prometheus.HistogramVec
	queueWait  *prometheus.HistogramVec
	forwards   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	hedges     *prometheus.CounterVec
	probes     *prometheus.CounterVec
	connects   *prometheus.CounterVec
	slots      *prometheus.GaugeVec
	inFlight   *prometheus.GaugeVec
	queued     *prometheus.GaugeVec
	cold       *prometheus.GaugeVec
	ejected    *prometheus.GaugeVec
	ejections  *prometheus.CounterVec
	frames     *prometheus.CounterVec
	frameBytes *prometheus.CounterVec
	dropped    *prometheus.CounterVec

	// ConfigurationVersion is the log offset of the configuration in force.
	ConfigurationVersion prometheus.Gauge
	// Peers is the number of live peers.
	Peers prometheus.Gauge
	// ViewConfirmed is 1 while the view of the data centre is confirmed.
	ViewConfirmed prometheus.Gauge
}

// durationBuckets spans 0.1 ms to 13 s by factors of two.
var durationBuckets = prometheus.ExponentialBuckets(0.0001, 2, 18)

// NewMetrics returns a registry of its own, with the metrics of the Go runtime and of the process.
func NewMetrics() *Metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "boragehinge", Name: name, Help: help}, labels)
		r.MustRegister(v)
		return v
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "boragehinge", Name: name, Help: help, Buckets: durationBuckets}, labels)
		r.MustRegister(v)
		return v
	}
	gauges := func(name, help string, labels ...string) *prometheus.GaugeVec {
		v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "boragehinge", Name: name, Help: help}, labels)
		r.MustRegister(v)
		return v
	}
	gauge := func(name, help string) prometheus.Gauge { return gauges(name, help).WithLabelValues() }
	return &Metrics{
		Registry: r,
		services: NewLabelSet(maxServices), classes: NewLabelSet(maxClasses), dataCentres: NewLabelSet(maxDataCentres), reasons: NewLabelSet(maxReasons),
		requests:   counter("requests_total", "Calls answered, by outcome.", "service", "class", "outcome"),
		duration:   histogram("request_duration_seconds", "Time from the request header to the end of the response.", "service", "class"),
		added:      histogram("added_latency_seconds", "Part of the time of a call that the entry itself added.", "service"),
		queueWait:  histogram("queue_wait_seconds", "Time of calls in the owner's queue.", "service", "class"),
		forwards:   counter("forwards_total", "Calls forwarded to another entry, by its data centre.", "data_centre"),
		retries:    counter("retries_total", "Further attempts, by the reason of the previous one.", "service", "reason"),
		hedges:     counter("hedges_total", "Hedged attempts.", "service"),
		probes:     counter("probes_total", "Probes sent to upstreams.", "service", "result"),
		connects:   counter("upstream_connections_opened_total", "Connections opened to upstreams.", "service"),
		slots:      gauges("pool_slots", "Usable slots of the pools owned here.", "service", "data_centre"),
		inFlight:   gauges("pool_in_flight", "Calls running in the pools owned here.", "service", "data_centre"),
		queued:     gauges("pool_queued", "Calls waiting in the pools owned here.", "service", "data_centre"),
		cold:       gauges("cold_upstreams", "Upstreams in cold start of the pools owned here.", "service", "data_centre"),
		ejected:    gauges("ejected_upstreams", "Ejected upstreams of the pools owned here.", "service", "data_centre"),
		ejections:  counter("ejections_total", "Ejections of upstreams, as seen once a second.", "service"),
		frames:     counter("peer_frames_total", "Frames sent to peers, by type.", "type"),
		frameBytes: counter("peer_sent_bytes_total", "Bytes sent to peers, by type of frame.", "type"),
		dropped:    counter("peer_frames_dropped_total", "Frames of peers that were dropped.", "reason"),

		ConfigurationVersion: gauge("configuration_version", "Log offset of the configuration in force."),
		Peers:                gauge("peers", "Live peers."),
		ViewConfirmed:        gauge("view_confirmed", "1 while the view of the data centre is confirmed."),
	}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})
}

// ObserveDecisionLog registers the counters of the decision log.
func (m *Metrics) ObserveDecisionLog(l *DecisionLog) {
	counter := func(name, help string, value func() float64) {
		m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: "boragehinge", Name: name, Help: help}, value))
	}
	counter("decisions_total", "Routing and placement decisions.", func() float64 { n, _ := l.Counts(); return float64(n) })
	counter("decision_lines_total", "Log lines of decisions.", func() float64 { _, n := l.Counts(); return float64(n) })
}

// Request counts a call that was answered. Outcome is done, not-run or unknown.
func (m *Metrics) Request(service, class, outcome string, seconds float64) {
	service, class = m.services.Value(service), m.classes.Value(class)
	m.requests.WithLabelValues(service, class, m.reasons.Value(outcome)).Inc()
	m.duration.WithLabelValues(service, class).Observe(seconds)
}

// AddedLatency observes the time that the entry added to a call.
func (m *Metrics) AddedLatency(service string, seconds float64) {
	m.added.WithLabelValues(m.services.Value(service)).Observe(seconds)
}

// QueueWait observes the time of a call in the queue.
func (m *Metrics) QueueWait(service, class string, seconds float64) {
	m.queueWait.WithLabelValues(m.services.Value(service), m.classes.Value(class)).Observe(seconds)
}

// Forward counts a call that was forwarded to an entry in the data centre.
func (m *Metrics) Forward(dataCentre string) {
	m.forwards.WithLabelValues(m.dataCentres.Value(dataCentre)).Inc()
}

// Retry counts a further attempt.
func (m *Metrics) Retry(service, reason string) {
	m.retries.WithLabelValues(m.services.Value(service), m.reasons.Value(reason)).Inc()
}

// Hedge counts a hedged attempt.
func (m *Metrics) Hedge(service string) { m.hedges.WithLabelValues(m.services.Value(service)).Inc() }

// Probe counts a probe. Result is ok or failed.
func (m *Metrics) Probe(service, result string) {
	m.probes.WithLabelValues(m.services.Value(service), m.reasons.Value(result)).Inc()
}

// Connect counts a connection opened to an upstream.
func (m *Metrics) Connect(service string) {
	m.connects.WithLabelValues(m.services.Value(service)).Inc()
}

// Pool sets the load of the pools of a service in a data centre.
func (m *Metrics) Pool(service, dataCentre string, slots, inFlight, queued int) {
	service, dataCentre = m.services.Value(service), m.dataCentres.Value(dataCentre)
	m.slots.WithLabelValues(service, dataCentre).Set(float64(slots))
	m.inFlight.WithLabelValues(service, dataCentre).Set(float64(inFlight))
	m.queued.WithLabelValues(service, dataCentre).Set(float64(queued))
}

// Upstreams sets the states of the upstreams of a service in a data centre.
func (m *Metrics) Upstreams(service, dataCentre string, cold, ejected int) {
	service, dataCentre = m.services.Value(service), m.dataCentres.Value(dataCentre)
	m.cold.WithLabelValues(service, dataCentre).Set(float64(cold))
	m.ejected.WithLabelValues(service, dataCentre).Set(float64(ejected))
}

// Ejections counts ejections of upstreams.
func (m *Metrics) Ejections(service string, n int) {
	m.ejections.WithLabelValues(m.services.Value(service)).Add(float64(n))
}

// ForgetPool drops the gauges of the pools of a service in a data centre, after the last of them got another owner.
func (m *Metrics) ForgetPool(service, dataCentre string) {
	service, dataCentre = m.services.Value(service), m.dataCentres.Value(dataCentre)
	for _, g := range []*prometheus.GaugeVec{m.slots, m.inFlight, m.queued, m.cold, m.ejected} {
		g.DeleteLabelValues(service, dataCentre)
	}
}

// Frame counts a frame sent to a peer.
func (m *Metrics) Frame(kind string, bytes int) {
	kind = m.reasons.Value(kind)
	m.frames.WithLabelValues(kind).Inc()
	m.frameBytes.WithLabelValues(kind).Add(float64(bytes))
}

// DroppedFrame counts a frame of a peer that was dropped.
func (m *Metrics) DroppedFrame(reason string) {
	m.dropped.WithLabelValues(m.reasons.Value(reason)).Inc()
}
