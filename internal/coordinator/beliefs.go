package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/placement"
)

// beliefInterval is how often the leader looks for upstreams that it judges anew. A spell that begins and ends between two
// looks is not logged; the placement lines show its pace.
const beliefInterval = 500 * time.Millisecond

// belief is what the leader holds of an upstream.
type belief struct{ usable, cold, closed bool }

// logBeliefs writes a line for each upstream that is judged anew, with the figures behind it.
func (l *leadership) logBeliefs(now time.Time) {
	seen := make(map[string]bool, len(l.beliefs))
	for _, service := range l.coordinator.Services() {
		l.coordinator.WithPool(service, func(p *placement.Pool) {
			for _, u := range p.Upstreams(now) {
				seen[u.ID] = true
				l.logBelief(service, &u)
			}
		})
	}
	for id := range l.beliefs {
		if !seen[id] {
			delete(l.beliefs, id)
			l.log.Info().Str("event", "upstream").Str("upstream", id).Bool("known", false).Msg("belief changed")
		}
	}
}

func (l *leadership) logBelief(service string, u *placement.Status) {
	held := belief{usable: u.Usable, cold: u.Cold, closed: u.Closed}
	if before, known := l.beliefs[u.ID]; known && before == held {
		return
	}
	l.beliefs[u.ID] = held
	l.log.Info().Str("event", "upstream").Str("upstream", u.ID).Str("service", service).Str("version", u.Version).
		Str("data_centre", u.DataCentre).Bool("usable", u.Usable).Bool("cold", u.Cold).Bool("closed", u.Closed).
		Float64("failures", u.Failures).Float64("pace", u.Pace).Float64("slowdown", u.Slowdown).Int("running", u.Running).
		Msg("belief changed")
}
