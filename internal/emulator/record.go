package emulator

import (
	"net/http"
	"sync"
)

// Execution counts the runs of one request ID.
type Execution struct {
	Begun     int `json:"begun"`
	Completed int `json:"completed"` // ran to the end of the response's header
	Cancelled int `json:"cancelled"` // the connection was closed during the run
}

// record counts executions. It survives crashes.
type record struct {
	mu    sync.Mutex
	byID  map[string]Execution
	total Execution
	shed  int
}

func (r *record) count(id string, change func(*Execution)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.total)
	if id != "" {
		e := r.byID[id]
		change(&e)
		r.byID[id] = e
	}
}

// Executions returns the runs of one request ID.
func (s *Server) Executions(id string) Execution {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.byID[id]
}

// AllExecutions returns a copy of the runs by request ID.
func (s *Server) AllExecutions() map[string]Execution {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	all := make(map[string]Execution, len(s.record.byID))
	for id, e := range s.record.byID {
		all[id] = e
	}
	return all
}

// Totals returns the runs of all requests, with or without an ID, and the number of shed ones.
func (s *Server) Totals() (runs Execution, shed int) {
	s.record.mu.Lock()
	defer s.record.mu.Unlock()
	return s.record.total, s.record.shed
}

func (s *Server) countShed() {
	s.record.mu.Lock()
	s.record.shed++
	s.record.mu.Unlock()
}

func (s *Server) serveExecutions(w http.ResponseWriter, r *http.Request) {
	if id := r.URL.Query().Get("id"); id != "" {
		writeJSON(w, s.Executions(id))
		return
	}
	if r.URL.Query().Has("all") {
		writeJSON(w, s.AllExecutions())
		return
	}
	runs, shed := s.Totals()
	writeJSON(w, struct {
		Execution
		Shed int `json:"shed"`
	}{runs, shed})
}
