package ingress

import (
	"slices"
	"sync"
	"time"
)

const (
	// firstTryMinShare is the fraction of a route's usual deadline below which a request counts as a retry. A caller that retries has
	// already waited and sends only the time that is left. The deadlines of first tries differ by up to 15 %, and some milliseconds pass
	// before they are sent.
	firstTryMinShare = 0.82
	// firstTryMeanShare is the mean deadline of first tries, as a fraction of the usual one.
	firstTryMeanShare = 0.925
	// recentDeadlines is the number of a route's last deadlines from which its usual one is taken.
	recentDeadlines = 32
	// ignoredDeadlines is the number of the longest ones among them that are ignored, so that a few callers which wait for much longer
	// don't make the others count as retries.
	ignoredDeadlines = 2
	// maxTrackedRoutes bounds the memory of the detector, since configurations add and remove routes.
	maxTrackedRoutes = 4096
)

// retryDetector distinguishes the first try of a request from a retry by the remaining time that the caller sends. It relies on most
// callers of a route using about the same deadline for first tries. It is safe for concurrent use.
type retryDetector struct {
	mu     sync.Mutex
	recent map[string]*deadlineRing // by route
}

// deadlineRing holds the last deadlines of a route.
type deadlineRing struct {
	deadlines [recentDeadlines]time.Duration
	count     int // of all deadlines so far
}

// observe records the time that a caller will wait, and reports whether the request is a first try. For a retry, spent is the expected
// time since the first try.
func (r *retryDetector) observe(route string, wait time.Duration) (firstTry bool, spent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ring := r.recent[route]
	if ring == nil {
		if r.recent == nil || len(r.recent) >= maxTrackedRoutes {
			r.recent = map[string]*deadlineRing{}
		}
		ring = &deadlineRing{}
		r.recent[route] = ring
	}
	ring.add(wait)
	usual := float64(ring.usual())
	if float64(wait) >= firstTryMinShare*usual {
		return true, 0
	}
	return false, time.Duration(firstTryMeanShare*usual) - wait
}

func (r *deadlineRing) add(wait time.Duration) {
	r.deadlines[r.count%recentDeadlines] = wait
	r.count++
}

// usual returns the longest of the last deadlines but for ignoredDeadlines, or the longest one while there are few.
func (r *deadlineRing) usual() time.Duration {
	known := min(r.count, recentDeadlines)
	if known <= recentDeadlines/2 {
		return slices.Max(r.deadlines[:known])
	}
	var longest [ignoredDeadlines + 1]time.Duration // in descending order
	for _, d := range r.deadlines[:known] {
		for i := range longest {
			if d > longest[i] {
				d, longest[i] = longest[i], d
			}
		}
	}
	return longest[ignoredDeadlines]
}
