package ingress

import (
	"sync"

	"boragehinge.example/boragehinge/internal/gateway"
)

// splits distributes the requests of each route over its services in proportion to their weights. It uses smooth weighted
// round robin, which keeps the proportion over short intervals too.
type splits struct {
	mu     sync.Mutex
	routes map[string]*splitState
}

type splitState struct {
	version uint64
	current []float64
}

func (s *splits) choose(version uint64, r *gateway.Route) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.routes == nil {
		s.routes = map[string]*splitState{}
	}
	state := s.routes[r.Name]
	if state == nil || state.version != version || len(state.current) != len(r.Parts) {
		state = &splitState{version: version, current: make([]float64, len(r.Parts))}
		s.routes[r.Name] = state
	}
	return r.Parts[state.next(r.Parts)].Service
}

func (s *splitState) next(parts []gateway.Part) int {
	var total float64
	best := 0
	for i, p := range parts {
		s.current[i] += p.Weight
		total += p.Weight
		if s.current[i] > s.current[best] {
			best = i
		}
	}
	s.current[best] -= total
	return best
}
