package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/wire"
)

// windowRefresh is the age at which the window of another entry is asked for again.
const windowRefresh = 30 * time.Second

// windows holds the request-ID windows of other entries, which the address answer names. A window is counted by its own
// entry; an estimate from an older answer never exceeds it, because the answer was on its way when the time started.
type windows struct {
	mu    sync.Mutex
	known map[string]knownWindow
}

type knownWindow struct {
	window int64
	at     time.Time
}

// of returns the window of an entry, if known.
func (w *windows) of(now time.Time, incarnation string) (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.known[incarnation]
	if !ok || now.Sub(k.at) > retention/2 {
		return 0, false
	}
	return k.window + int64(now.Sub(k.at)/idempotency.DefaultWindow), true
}

// followWindows keeps the windows of the members known until ctx ends.
func (e *Entry) followWindows(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		e.refreshWindows(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refreshWindows asks the members whose windows are unknown or old.
func (e *Entry) refreshWindows(ctx context.Context) {
	now := time.Now()
	live := map[string]bool{}
	for _, m := range e.node.View().Members {
		live[m.Incarnation] = true
		e.windows.mu.Lock()
		k, ok := e.windows.known[m.Incarnation]
		e.windows.mu.Unlock()
		if m.Incarnation == e.Incarnation() || ok && now.Sub(k.at) < windowRefresh {
			continue
		}
		e.fetchWindow(ctx, m.Incarnation, m.PeerAddress)
	}
	e.windows.mu.Lock()
	defer e.windows.mu.Unlock()
	for incarnation := range e.windows.known {
		if !live[incarnation] {
			delete(e.windows.known, incarnation)
		}
	}
}

func (e *Entry) fetchWindow(ctx context.Context, incarnation, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var a wire.RequestWindow
	err := e.askPeer(ctx, address, http.MethodGet, pathWindow, nil, &a)
	if err != nil || a.Incarnation != incarnation || a.Window < 0 {
		return
	}
	e.windows.mu.Lock()
	defer e.windows.mu.Unlock()
	if e.windows.known == nil {
		e.windows.known = map[string]knownWindow{}
	}
	e.windows.known[incarnation] = knownWindow{window: int64(a.Window), at: time.Now()}
}
