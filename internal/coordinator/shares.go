package coordinator

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"boragehinge.example/boragehinge/internal/placement"
)

var (
	accountsDesc  = prometheus.NewDesc("boragehinge_active_accounts", "Client accounts that sent requests lately, at the leader.", []string{"service"}, nil)
	displacedDesc = prometheus.NewDesc("boragehinge_displaced_requests_total",
		"Queued requests refused in favour of accounts that had used less, at the leader since it leads.", []string{"service"}, nil)
)

func collectShares(ch chan<- prometheus.Metric, service string, s placement.ShareStatus) {
	ch <- prometheus.MustNewConstMetric(accountsDesc, prometheus.GaugeValue, float64(s.Accounts), service)
	ch <- prometheus.MustNewConstMetric(displacedDesc, prometheus.CounterValue, float64(s.Displaced), service)
}

// loggedAccounts is the number of accounts of a service that a line names, so that its length is bounded.
const loggedAccounts = 3

// shareLogger logs which accounts send most while requests of some are refused in favour of others. It is used by the goroutine of
// runMaintenance only.
type shareLogger struct {
	leadership *leadership
	displaced  map[string]uint64 // by service, at the last call of log
}

// log writes a line for each service in which requests were displaced since the last call.
func (d *shareLogger) log(now time.Time) {
	c := d.leadership.coordinator
	for _, service := range c.Services() {
		var status placement.ShareStatus
		var largest []placement.AccountLoad
		c.WithPool(service, func(p *placement.Pool) {
			if status = p.Shares(); status.Displaced != d.displaced[service] {
				largest = p.LargestAccounts(now, loggedAccounts)
			}
		})
		if status.Displaced == d.displaced[service] {
			continue
		}
		names, rates, served := make([]string, 0, len(largest)), make([]float64, 0, len(largest)), make([]float64, 0, len(largest))
		for _, a := range largest {
			names, rates, served = append(names, a.Account), append(rates, hundredths(a.PerSecond)), append(served, hundredths(a.Served))
		}
		d.leadership.log.Info().Str("event", "shares").Str("service", service).Uint64("displaced", status.Displaced-d.displaced[service]).
			Int("accounts", status.Accounts).Strs("largest", names).Floats64("per_second", rates).Floats64("served", served).
			Msg("capacity is shared between accounts")
		d.displaced[service] = status.Displaced
	}
}

func hundredths(v float64) float64 { return math.Round(v*100) / 100 }
