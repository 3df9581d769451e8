package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/wire"
)

// windowRefreshInterval is the age at which the window of another entry is fetched again.
const windowRefreshInterval = 30 * time.Second

// windows holds the request ID windows of other entries for address responses. Each entry counts its own window. The estimate
// from an older response never exceeds it, because the elapsed time is counted from the arrival of the response.
type windows struct {
	mu    sync.Mutex
	known map[string]knownWindow
}

type knownWindow struct {
	window int64
	at     time.Time
}

// estimate returns the estimated current window of an entry, if known.
func (w *windows) estimate(now time.Time, incarnation string) (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.known[incarnation]
	if !ok || now.Sub(k.at) > retention/2 {
		return 0, false
	}
	return k.window + int64(now.Sub(k.at)/idempotency.DefaultWindow), true
}

// followWindows keeps the windows of the members up to date until ctx ends.
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

// refreshWindows fetches the windows that are unknown or old, and deletes those of members that are gone.
func (e *Entry) refreshWindows(ctx context.Context) {
	now := time.Now()
	live := map[string]bool{}
	for _, m := range e.node.View().Members {
		live[m.Incarnation] = true
		e.windows.mu.Lock()
		k, ok := e.windows.known[m.Incarnation]
		e.windows.mu.Unlock()
		if m.Incarnation == e.Incarnation() || ok && now.Sub(k.at) < windowRefreshInterval {
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
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	var a wire.RequestWindow
	err := e.sendPeerRequest(ctx, address, http.MethodGet, pathWindow, nil, &a)
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
