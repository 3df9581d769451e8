package operators

import (
	"context"
	"net/http"
	"time"
)

// HistoryLength is the number of statements that are kept. A busy day with 520 changes and their steps makes about
// 3,000 statements.
const HistoryLength = 4096

// Settings of a Port.
type Settings struct {
	Source  Source
	Metrics http.Handler
	// Now is the clock; nil is the system clock.
	Now func() time.Time
}

// Port is the operators' port. It is safe for concurrent use.
type Port struct {
	s       Settings
	router  http.Handler
	history *history
}

// New returns a port. Run must be called for the history to fill.
func New(s Settings) *Port {
	if s.Now == nil {
		s.Now = time.Now
	}
	p := &Port{s: s, history: newHistory(HistoryLength)}
	p.router = p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Port) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.router.ServeHTTP(w, r) }

// Run observes the source once a second and records the statements that changed, until ctx ends.
func (p *Port) Run(ctx context.Context) {
	t := time.NewTicker(observeInterval)
	defer t.Stop()
	for {
		p.Observe()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
