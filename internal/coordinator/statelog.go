package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// stateLogInterval is how often the leader checks upstreams for state changes to log. A change that is reverted within one
// interval is not logged, but the log lines of placements show the upstream's pace.
const stateLogInterval = 500 * time.Millisecond

// upstreamState is the state of an upstream as last logged.
type upstreamState struct{ usable, cold, closed bool }

// logUpstreamStates logs each upstream whose state has changed, with the figures that led to it.
func (l *leadership) logUpstreamStates(now time.Time) {
	seen := make(map[string]bool, len(l.loggedStates))
	for _, service := range l.coordinator.Services() {
		l.coordinator.WithPool(service, func(p *placement.Pool) {
			for _, u := range p.Upstreams(now) {
				seen[u.ID] = true
				l.logUpstreamState(service, &u)
			}
		})
	}
	for id := range l.loggedStates {
		if !seen[id] {
			delete(l.loggedStates, id)
			l.log.Info().Str("event", "upstream").Str("upstream", id).Bool("known", false).Msg("belief changed")
		}
	}
}

func (l *leadership) logUpstreamState(service string, u *placement.Status) {
	current := upstreamState{usable: u.Usable, cold: u.Cold, closed: u.Closed}
	if previous, known := l.loggedStates[u.ID]; known && previous == current {
		return
	}
	l.loggedStates[u.ID] = current
	l.log.Info().Str("event", "upstream").Str("upstream", u.ID).Str("service", service).Str("version", u.Version).
		Str("data_centre", u.DataCentre).Bool("usable", u.Usable).Bool("cold", u.Cold).Bool("closed", u.Closed).
		Float64("failures", u.Failures).Float64("pace", u.Pace).Float64("slowdown", u.Slowdown).Int("running", u.Running).
		Msg("belief changed")
}
