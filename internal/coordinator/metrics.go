package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// storeLatencyBuckets range from fast responses to long polls, in seconds.
var storeLatencyBuckets = []float64{.002, .005, .01, .025, .05, .1, .25, .5, 1, 3.5, 16}

// Metrics holds the metrics of a Node that are updated as events occur. The gauges are computed by Node.Collect.
type Metrics struct {
	storeCalls   *prometheus.CounterVec
	storeSeconds *prometheus.HistogramVec
	placements   *prometheus.CounterVec
	probes       *prometheus.CounterVec
	tickDelay    prometheus.Gauge
	lostOrders   *prometheus.CounterVec
	usageReports *prometheus.CounterVec
	usageHolder  prometheus.Gauge
}

// NewMetrics creates the metrics and registers them with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_store_calls_total",
			Help: "Calls to the platform's store by kind, log and result."}, []string{"call", "source", "result"}),
		storeSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "boragehinge_store_call_seconds",
			Help: "Time of calls to the platform's store, with the wait of long polls.", Buckets: storeLatencyBuckets}, []string{"call"}),
		placements: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_placements_total",
			Help: "Placed attempts by who placed them: leader, follower or alone."}, []string{"mode"}),
		probes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_probes_total",
			Help: "Health probes of upstreams by result."}, []string{"result"}),
		tickDelay: prometheus.NewGauge(prometheus.GaugeOpts{Name: "boragehinge_tick_delay_seconds",
			Help: "Sum of the delays of the leader's ticks over about a second. Above 0.2 it is short of processor and gives way."}),
	}
	m.lostOrders = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_lost_orders_total",
		Help: "Orders that the store has lost in a restore: returned to the leader, or taken over from a follower."}, []string{"result"})
	m.usageReports = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "boragehinge_usage_reports_total",
		Help: "Usage reports by result: sent, repeated or given_up."}, []string{"result"})
	m.usageHolder = prometheus.NewGauge(prometheus.GaugeOpts{Name: "boragehinge_usage_holder",
		Help: "1 while this entry holds the lease for usage reports, as far as it knows."})
	r.MustRegister(m.storeCalls, m.storeSeconds, m.placements, m.probes, m.tickDelay, m.lostOrders, m.usageReports, m.usageHolder)
	return m
}

// probed counts a health probe by its result.
func (m *Metrics) probed(p placement.Probe) {
	result := "healthy"
	switch {
	case !p.Answered:
		result = "unanswered"
	case p.WrongInstance:
		result = "other-process"
	case !p.Healthy:
		result = "unhealthy"
	}
	m.probes.WithLabelValues(result).Inc()
}

// instrumentedStore records the number and duration of calls to a Store, and its epoch.
type instrumentedStore struct {
	Store
	metrics *Metrics
	// learnEpoch is told the epoch of each answer.
	learnEpoch func(epoch uint64)
}

func (s instrumentedStore) observe(call string, source gateway.Source, began time.Time, epoch uint64, err error) {
	s.learnEpoch(epoch)
	s.metrics.storeCalls.WithLabelValues(call, source.String(), resultOf(err)).Inc()
	s.metrics.storeSeconds.WithLabelValues(call).Observe(time.Since(began).Seconds())
}

func resultOf(err error) string {
	if err == nil {
		return "ok"
	}
	for name, target := range relayErrors {
		if errors.Is(err, target) {
			return name
		}
	}
	return "failed"
}

// Newest implements Store.
func (s instrumentedStore) Newest(ctx context.Context, source gateway.Source) (gateway.Batch, []error, error) {
	began := time.Now()
	b, findings, err := s.Store.Newest(ctx, source)
	s.observe("newest", source, began, b.Epoch, err)
	return b, findings, err
}

// Sample implements Store.
func (s instrumentedStore) Sample(ctx context.Context, source gateway.Source) (gateway.Batch, []error, error) {
	began := time.Now()
	b, findings, err := s.Store.Sample(ctx, source)
	s.observe("sample", source, began, b.Epoch, err)
	return b, findings, err
}

// Read implements Store.
func (s instrumentedStore) Read(ctx context.Context, source gateway.Source, from int64, wait time.Duration) (gateway.Batch, []error, error) {
	began := time.Now()
	b, findings, err := s.Store.Read(ctx, source, from, wait)
	s.observe("read", source, began, b.Epoch, err)
	return b, findings, err
}

// Announce implements Store.
func (s instrumentedStore) Announce(ctx context.Context, entries ...gateway.Entry) (epoch uint64, err error) {
	began := time.Now()
	epoch, err = s.Store.Announce(ctx, entries...)
	s.observe("announce", gateway.Entries, began, epoch, err)
	return epoch, err
}

// WriteStatus implements Store.
func (s instrumentedStore) WriteStatus(ctx context.Context, status gateway.MoveStatus, end gateway.Position) (epoch uint64, err error) {
	began := time.Now()
	epoch, err = s.Store.WriteStatus(ctx, status, end)
	s.observe("status", gateway.Statuses, began, epoch, err)
	return epoch, err
}

var (
	leadsDesc     = prometheus.NewDesc("boragehinge_leads", "1 while this entry leads.", nil, nil)
	followersDesc = prometheus.NewDesc("boragehinge_followers", "Entries that follow this one.", nil, nil)
	versionDesc   = prometheus.NewDesc("boragehinge_configuration_version", "Version of the configuration in force.", nil, nil)
	epochDesc     = prometheus.NewDesc("boragehinge_store_epoch", "Newest epoch of the store that this entry knows. It rises when the store is restored from a backup.", nil, nil)
	entriesDesc   = prometheus.NewDesc("boragehinge_known_entries", "Entries with a record in the store.", nil, nil)
	waitingDesc   = prometheus.NewDesc("boragehinge_waiting_requests", "Requests that wait for an upstream, at the leader.", []string{"service"}, nil)
	lateRetryDesc = prometheus.NewDesc("boragehinge_waiting_late_retries", "Late retries among the waiting requests: they start after the requests that can be in time.", []string{"service"}, nil)
	upstreamsDesc = prometheus.NewDesc("boragehinge_upstreams", "Upstreams as the leader judges them.", []string{"service", "state"}, nil)
	workDesc      = prometheus.NewDesc("boragehinge_leader_work_seconds_total", "Time that this entry spent on work for all entries while it led.", []string{"work"}, nil)
	runningDesc   = prometheus.NewDesc("boragehinge_running_requests", "Requests that run on upstreams, at the leader.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (n *Node) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(n, ch) }

// Collect implements prometheus.Collector.
func (n *Node) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, v int, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
	}
	n.mu.Lock()
	l, entries := n.leader, len(n.view.Entries)
	n.mu.Unlock()
	gauge(entriesDesc, entries)
	gauge(epochDesc, int(n.storeEpoch.Load())) //nolint:gosec // epochs are far below the maximum of int
	if c := n.Config(); c != nil {
		gauge(versionDesc, int(c.Version)) //nolint:gosec // versions are far below the maximum of int
	}
	for kind, spent := range n.work.totals() {
		ch <- prometheus.MustNewConstMetric(workDesc, prometheus.CounterValue, spent.Seconds(), workKind(kind).String()) //nolint:gosec // a few kinds
	}
	n.collectTraffic(ch)
	if l == nil {
		gauge(leadsDesc, 0)
		return
	}
	gauge(leadsDesc, 1)
	gauge(followersDesc, len(l.currentFollowers()))
	l.collectHedges(ch)
	l.collectSelections(ch)
	l.collectLosses(ch)
	l.delegation.collect(ch)
	for _, service := range l.coordinator.Services() {
		l.coordinator.WithPool(service, func(p *placement.Pool) {
			running, states := 0, map[string]int{}
			for _, u := range p.Upstreams(time.Now()) {
				running += u.Running
				states[stateOf(&u)]++
			}
			collectShares(ch, service, p.Shares())
			collectRequestBytes(ch, service, p.RequestBytes())
			gauge(waitingDesc, p.Waiting(), service)
			gauge(lateRetryDesc, p.LateRetries(), service)
			gauge(runningDesc, running, service)
			for state, count := range states {
				gauge(upstreamsDesc, count, service, state)
			}
		})
	}
}

func stateOf(u *placement.Status) string {
	switch {
	case u.Closed:
		return "closed"
	case !u.Usable:
		return "unusable"
	case u.Cold:
		return "cold"
	}
	return "usable"
}
