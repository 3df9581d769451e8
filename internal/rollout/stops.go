package rollout

import (
	"slices"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
)

// Stop rolls a move back for good.
type Stop struct {
	Service  string
	Move     string
	Version  string // new version of the move, which gets no more traffic
	Reason   string
	Evidence string
	At       time.Time
}

// maxStops bounds the memory that a faulty peer can use by sending stops of moves that don't exist. It is many times what
// 20 services with several moves each need.
const maxStops = 1024

// Stops is the set of stops that an entry knows, at most one per move. Stops are removed by Retain only. It is safe for
// concurrent use; Get and Stopped treat a nil set as empty.
type Stops struct {
	mu   sync.RWMutex
	list map[configlog.Move]Stop
}

// Add adds a stop and reports whether it is new and should be sent to the peers.
func (s *Stops) Add(stop Stop) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := configlog.Move{Service: stop.Service, Name: stop.Move}
	if _, known := s.list[key]; known || len(s.list) >= maxStops || stop.Service == "" || stop.Move == "" {
		return false
	}
	if s.list == nil {
		s.list = map[configlog.Move]Stop{}
	}
	s.list[key] = stop
	return true
}

// Stopped reports whether a move is stopped.
func (s *Stops) Stopped(service, move string) bool {
	_, ok := s.Get(service, move)
	return ok
}

// Get returns the stop of a move.
func (s *Stops) Get(service, move string) (Stop, bool) {
	if s == nil {
		return Stop{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	stop, ok := s.list[configlog.Move{Service: service, Name: move}]
	return stop, ok
}

// All returns the stops, sorted by service and move.
func (s *Stops) All() []Stop {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Stop, 0, len(s.list))
	for _, stop := range s.list {
		list = append(list, stop)
	}
	slices.SortFunc(list, func(a, b Stop) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.Move, b.Move)
	})
	return list
}

// Retain removes the stops that the log contains, which remain in force through the view, and those older than keep of
// moves that the configuration doesn't name.
func (s *Stops) Retain(now time.Time, view configlog.View, keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, stop := range s.list {
		m, named := view.Moves[key]
		if named && m.Stopped || !named && now.Sub(stop.At) > keep {
			delete(s.list, key)
		}
	}
}
