package ingress

import (
	"sync"
	"time"
)

// firstTryMinShare is the fraction of a route's longest deadline below which a request counts as a retry. A caller that
// retries after a refusal has already waited and sends only the time that is left.
const firstTryMinShare = 0.95

// maxTrackedRoutes bounds the memory of the detector, since configurations add and remove routes.
const maxTrackedRoutes = 4096

// retryDetector distinguishes the first try of a request from a retry after a refusal by the remaining time that the caller
// sends. It relies on all callers of a route using the same deadline for first tries. It is safe for concurrent use.
type retryDetector struct {
	mu      sync.Mutex
	longest map[string]time.Duration // longest deadline by route
}

// observe records the time that a caller will wait, and reports whether the request is a first try.
func (r *retryDetector) observe(route string, wait time.Duration) (firstTry bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil || len(r.longest) >= maxTrackedRoutes {
		r.longest = map[string]time.Duration{}
	}
	if wait > r.longest[route] {
		r.longest[route] = wait
	}
	return float64(wait) >= firstTryMinShare*float64(r.longest[route])
}
