package emulator

import (
	"net/http"
	"time"
)

// EventKind is what happened to a request at a Server.
type EventKind string

// Kinds of events.
const (
	EventBegun     EventKind = "begun"
	EventCompleted EventKind = "completed" // ran to the end of the response's header
	EventRefused   EventKind = "refused"   // shed or drained without a run
	EventOverload  EventKind = "overload"  // begun above the allowance of a cold server
	EventProbe     EventKind = "probe"
)

// Event is one step of a request. ColdReported says that the response reports a cold server.
type Event struct {
	At           time.Time
	Kind         EventKind
	ID           string
	URI          string
	Draining     bool
	ColdReported bool
}

func (s *Server) observe(kind EventKind, r *http.Request) {
	if s.cfg.Observe == nil {
		return
	}
	e := Event{At: time.Now(), Kind: kind, ID: r.Header.Get(headerRequestID), URI: r.URL.RequestURI()}
	faults := s.faults.Load()
	e.Draining = faults.Draining
	e.ColdReported = (faults.Report == "" || faults.Report == ReportTrue) && s.State().Cold
	s.cfg.Observe(e)
}
