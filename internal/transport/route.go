package transport

import (
	"context"
	"slices"
	"time"
)

const (
	// maxRoutes bounds the routes of an upstream with an estimate of their own; later ones share one.
	maxRoutes = 32
	// latencySamples is the number of latest latencies kept for each route.
	latencySamples = 128
	// minSamples is the least number of latencies that say how long a route may take.
	minSamples = 20
	// laterResponses is the number of calls of the same route that must start later and be answered first.
	laterResponses = 3
)

type routeKey struct{}

// WithRoute returns a context whose calls count as calls of the route. Calls of one route take similar times; without
// a route, all calls to an upstream count as one.
func WithRoute(ctx context.Context, route string) context.Context {
	return context.WithValue(ctx, routeKey{}, route)
}

func routeOf(ctx context.Context) string {
	name, _ := ctx.Value(routeKey{}).(string)
	return name
}

// route is what the calls of one route to one upstream took. It is guarded by path.mu.
type route struct {
	latencies []time.Duration // ring of the latest
	samples   int
	started   [laterResponses]time.Time // latest starts of answered calls, ascending
}

// route returns the estimate of a route. The caller holds the lock.
func (p *path) route(name string) *route {
	if r := p.routes[name]; r != nil {
		return r
	}
	if len(p.routes) >= maxRoutes {
		return &p.otherRoutes
	}
	r := &route{}
	p.routes[name] = r
	return r
}

func (r *route) add(start time.Time, latency time.Duration) {
	if len(r.latencies) < latencySamples {
		r.latencies = append(r.latencies, latency)
	} else {
		r.latencies[r.samples%latencySamples] = latency
	}
	r.samples++
	if start.After(r.started[0]) {
		r.started[0] = start
		slices.SortFunc(r.started[:], time.Time.Compare)
	}
}

// silentAfter returns the silence after which a call of the route can't be a slow one: the largest of the floor, 4 x
// p99 and twice the slowest known call. It is unknown while the route has few samples.
func (r *route) silentAfter(floor time.Duration) (limit time.Duration, known bool) {
	n := len(r.latencies)
	if n < minSamples {
		return 0, false
	}
	sorted := slices.Clone(r.latencies)
	slices.Sort(sorted)
	return max(floor, 4*sorted[n*99/100], 2*sorted[n-1]), true
}

// overtaken reports whether calls that started after since were answered.
func (r *route) overtaken(since time.Time) bool { return r.started[0].After(since) }
