package entry

import (
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
)

// gaugeKey identifies the gauges of a service in a data centre.
type gaugeKey struct{ service, dataCentre string }

// gaugeSums are the sums over the owned pools of a gaugeKey.
type gaugeSums struct{ slots, inFlight, queued, cold, ejected, ejections int }

// gauges holds what the last update published. Only the housekeeping goroutine uses it.
type gauges struct {
	published map[gaugeKey]bool
	ejected   map[string]time.Time // by upstream: the end of the last ejection that was counted
}

// updateMetrics publishes the gauges and removes those of pools that are no longer owned.
func (e *Entry) updateMetrics() {
	now := time.Now()
	view := e.node.View()
	e.metrics.Peers.Set(float64(len(view.Members) - 1))
	confirmed := 0.0
	if now.Before(view.ConfirmedUntil) {
		confirmed = 1
	}
	e.metrics.ViewConfirmed.Set(confirmed)
	sums := map[gaugeKey]gaugeSums{}
	for _, o := range e.ownership.all() {
		if o.lostAt.Load() == 0 {
			key := gaugeKey{o.id.Service, o.id.DataCentre}
			sums[key] = e.gauges.add(now, sums[key], o)
		}
	}
	published := map[gaugeKey]bool{}
	for k, s := range sums {
		published[k] = true
		e.metrics.Pool(k.service, k.dataCentre, s.slots, s.inFlight, s.queued)
		e.metrics.Upstreams(k.service, k.dataCentre, s.cold, s.ejected)
		e.metrics.Ejections(k.service, s.ejections)
	}
	for k := range e.gauges.published {
		if !published[k] {
			e.metrics.ForgetPool(k.service, k.dataCentre)
		}
	}
	e.gauges.published = published
}

// add returns s plus the values of one pool.
func (g *gauges) add(now time.Time, s gaugeSums, o *ownedPool) gaugeSums {
	f := o.poolLoad(now).summary
	s.slots, s.inFlight, s.queued = s.slots+f.Slots, s.inFlight+f.InFlight, s.queued+f.Queued
	o.mu.Lock()
	status := o.pool.Upstreams(now)
	o.mu.Unlock()
	if g.ejected == nil {
		g.ejected = map[string]time.Time{}
	}
	for _, u := range status {
		switch u.Health {
		case dispatch.Cold:
			s.cold++
		case dispatch.Ejected:
			s.ejected++
			if !u.EjectedUntil.Equal(g.ejected[u.Name]) {
				g.ejected[u.Name] = u.EjectedUntil
				s.ejections++
			}
		default:
			delete(g.ejected, u.Name)
		}
	}
	return s
}
