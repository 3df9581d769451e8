package ingress

import (
	"sync"
	"time"
)

// returnShare is the part of a route's longest deadline below which a request counts as one that was refused before. Callers
// that come back have waited, and tell the time that is left.
const returnShare = 0.95

// maxReturnRoutes bounds the routes that are remembered, as configurations add and remove routes.
const maxReturnRoutes = 4096

// returns tells first requests from those that come back after a refusal, by the time that their callers still wait. Callers
// of one route wait equally long for a first request. It is safe for concurrent use.
type returns struct {
	mu      sync.Mutex
	longest map[string]time.Duration // by route
}

// observe notes the time that a caller will wait, and reports whether this is its first request.
func (r *returns) observe(route string, wait time.Duration) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) >= maxReturnRoutes {
		r.longest = map[string]time.Duration{}
	}
	if wait > r.longest[route] {
		r.longest[route] = wait
	}
	return float64(wait) >= returnShare*float64(r.longest[route])
}
