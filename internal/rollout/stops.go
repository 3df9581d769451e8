package rollout

import (
	"slices"
	"strings"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/configlog"
)

// Stop is the fact that a move is taken back.
type Stop struct {
	Service  string
	Move     string
	Version  string // version that gets no more traffic
	Reason   string
	Evidence string
	At       time.Time
}

// maxStops bounds the set against a peer that sends made-up facts: 20 services with several moves each fit many times.
const maxStops = 1024

// Stops is the set of stop facts that an entry knows. It only grows, except that Retain drops facts of moves which no
// configuration names any more. It is safe for concurrent use; a nil set is empty.
type Stops struct {
	mu   sync.RWMutex
	list map[configlog.Move]Stop
}

// Add adds a fact and reports whether it is new and should be passed on.
func (s *Stops) Add(f Stop) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := configlog.Move{Service: f.Service, Name: f.Move}
	if _, known := s.list[key]; known || len(s.list) >= maxStops || f.Service == "" || f.Move == "" {
		return false
	}
	if s.list == nil {
		s.list = map[configlog.Move]Stop{}
	}
	s.list[key] = f
	return true
}

// Stopped reports whether a move is stopped.
func (s *Stops) Stopped(service, move string) bool {
	_, ok := s.Get(service, move)
	return ok
}

// Get returns the fact about a move.
func (s *Stops) Get(service, move string) (Stop, bool) {
	if s == nil {
		return Stop{}, false
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	f, ok := s.list[configlog.Move{Service: service, Name: move}]
	return f, ok
}

// All returns the facts, sorted by service and move.
func (s *Stops) All() []Stop {
	s.mu.RLock()
	defer s.mu.RUnlock()
	list := make([]Stop, 0, len(s.list))
	for _, f := range s.list {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b Stop) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(a.Move, b.Move)
	})
	return list
}

// Retain drops the facts that the log holds, and those older than keep of moves that the configuration doesn't name. The log's own stop stays in force after that.
func (s *Stops) Retain(now time.Time, view configlog.View, keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, f := range s.list {
		m, named := view.Moves[key]
		if named && m.Stopped || !named && now.Sub(f.At) > keep {
			delete(s.list, key)
		}
	}
}
