package entry

import "time"

// updateMetrics sets the gauges.
func (e *Entry) updateMetrics() {
	now := time.Now()
	view := e.node.View()
	e.metrics.Peers.Set(float64(len(view.Members) - 1))
	confirmed := 0.0
	if now.Before(view.ConfirmedUntil) {
		confirmed = 1
	}
	e.metrics.ViewConfirmed.Set(confirmed)
	type key struct{ service, dataCentre string }
	type sum struct{ slots, inFlight, queued int }
	sums := map[key]sum{}
	for _, o := range e.ownership.all() {
		f := o.figures(now).summary
		k := key{o.id.Service, o.id.DataCentre}
		s := sums[k]
		sums[k] = sum{s.slots + f.Slots, s.inFlight + f.InFlight, s.queued + f.Queued}
	}
	for k, s := range sums {
		e.metrics.Pool(k.service, k.dataCentre, s.slots, s.inFlight, s.queued)
	}
}
