package operators

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// observeInterval is the time between two looks at the source. Shorter states are missed by the history.
const observeInterval = time.Second

// Event is a statement that was new at a time. Numbers start at 1 and rise by 1 since the start of the entry.
type Event struct {
	Number    uint64    `json:"number"`
	At        time.Time `json:"at"`
	Statement Statement `json:"statement"`
}

// history keeps the last events in a ring. It is safe for concurrent use.
type history struct {
	mu   sync.Mutex
	ring []Event
	next uint64 // number of the next event, from 1
	last map[string]Statement
}

func newHistory(length int) *history {
	return &history{ring: make([]Event, length), next: 1, last: map[string]Statement{}}
}

// observe records the statements that changed since the last call, and those that are no longer made.
func (h *history) observe(now time.Time, statements []Statement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := make(map[string]bool, len(statements))
	for _, s := range statements {
		seen[s.key()] = true
		old, ok := h.last[s.key()]
		if !ok || old.Change != s.Change || old.Phase != s.Phase {
			h.add(now, s)
		}
		h.last[s.key()] = s
	}
	var gone []string
	for key := range h.last {
		if !seen[key] {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		h.add(now, goneStatement(h.last[key]))
		delete(h.last, key)
	}
}

func (h *history) add(now time.Time, s Statement) {
	h.ring[(h.next-1)%uint64(len(h.ring))] = Event{Number: h.next, At: now, Statement: s}
	h.next++
}

// HistoryQuery selects events. Zero fields select all.
type HistoryQuery struct {
	Since   time.Time
	Kind    Kind
	Subject string // part of the subject or of the text
	Limit   int    // the last ones
}

func (q HistoryQuery) takes(e Event) bool {
	if e.At.Before(q.Since) || q.Kind != "" && e.Statement.Kind != q.Kind {
		return false
	}
	return strings.Contains(e.Statement.Subject, q.Subject) || strings.Contains(e.Statement.Text, q.Subject)
}

// History is the answer of /v1/history, oldest event first.
type History struct {
	Host    string  `json:"host"`
	Events  []Event `json:"events"`
	Oldest  uint64  `json:"oldest"`  // number of the oldest event that is kept; 0 without events
	Dropped uint64  `json:"dropped"` // events that are no longer kept
}

func (h *history) query(q HistoryQuery) History {
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := uint64(1)
	if n := uint64(len(h.ring)); h.next > n {
		oldest = h.next - n
	}
	out := History{Events: []Event{}, Dropped: oldest - 1}
	if h.next > 1 {
		out.Oldest = oldest
	}
	for n := oldest; n < h.next; n++ {
		if e := h.ring[(n-1)%uint64(len(h.ring))]; q.takes(e) {
			out.Events = append(out.Events, e)
		}
	}
	if q.Limit > 0 && len(out.Events) > q.Limit {
		out.Events = out.Events[len(out.Events)-q.Limit:]
	}
	return out
}
