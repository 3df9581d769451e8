package ingress

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/placement"
)

// hedgeMetrics tell what hedges cost and gain.
type hedgeMetrics struct {
	sent, won, wasted prometheus.Counter
	wastedSeconds     prometheus.Counter
}

func newHedgeMetrics(r prometheus.Registerer) hedgeMetrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	return hedgeMetrics{
		sent:   counter("boragehinge_hedges_sent_total", "Hedges sent to an upstream."),
		won:    counter("boragehinge_hedges_won_total", "Hedges whose response went to the caller."),
		wasted: counter("boragehinge_hedges_wasted_total", "Attempts, first ones or hedges, that were ended because the other one answered first."),
		wastedSeconds: counter("boragehinge_hedges_wasted_seconds_total",
			"Time for which the attempts had run that were ended because the other one answered first."),
	}
}

func (m *Metrics) hedgeSent() { m.hedgeUse.sent.Inc() }

// hedgeAnswered counts the attempt of a hedged request that is used.
func (m *Metrics) hedgeAnswered(a *attempt) {
	if a.err == nil && !a.upstreamFailed() && placement.IsHedge(a.placed.Ask) {
		m.hedgeUse.won.Inc()
	}
}

// hedgeWasted counts an attempt that was ended after the given time.
func (m *Metrics) hedgeWasted(ran time.Duration) {
	m.hedgeUse.wasted.Inc()
	m.hedgeUse.wastedSeconds.Add(ran.Seconds())
}
