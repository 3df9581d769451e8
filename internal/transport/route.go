package transport

import (
	"context"
	"slices"
	"time"
)

const (
	// maxRoutes bounds the routes of an upstream with statistics of their own; further routes share one.
	maxRoutes = 32
	// latencySamples is the number of recent latencies kept for each route.
	latencySamples = 128
	// minSamples is the number of latencies required to derive a silence threshold for a route.
	minSamples = 20
	// minOvertakingCalls is the number of calls of the same route that must start later than a call and be answered
	// before it.
	minOvertakingCalls = 3
)

type routeKey struct{}

// WithRoute returns a context that assigns its calls to a route. Latency statistics are kept per route, since calls of
// one route take similar times. Calls without a route share one set of statistics.
func WithRoute(ctx context.Context, route string) context.Context {
	return context.WithValue(ctx, routeKey{}, route)
}

func routeFromContext(ctx context.Context) string {
	name, _ := ctx.Value(routeKey{}).(string)
	return name
}

// route holds the recent latencies of one route to one upstream. It is guarded by connPool.mu.
type route struct {
	latencies    []time.Duration // ring buffer
	samples      int
	latestStarts [minOvertakingCalls]time.Time // latest start times of answered calls, ascending
}

// route returns the statistics of a route. The caller holds p.mu.
func (p *connPool) route(name string) *route {
	if r := p.routes[name]; r != nil {
		return r
	}
	if len(p.routes) >= maxRoutes {
		return &p.overflowRoute
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
	if start.After(r.latestStarts[0]) {
		r.latestStarts[0] = start
		slices.SortFunc(r.latestStarts[:], time.Time.Compare)
	}
}

// silenceThreshold returns the time without progress after which a call of the route isn't considered merely slow: the
// largest of floor, 4 times the p99 latency and twice the highest latency. It is unknown below minSamples samples.
func (r *route) silenceThreshold(floor time.Duration) (limit time.Duration, known bool) {
	n := len(r.latencies)
	if n < minSamples {
		return 0, false
	}
	sorted := slices.Clone(r.latencies)
	slices.Sort(sorted)
	return max(floor, 4*sorted[n*99/100], 2*sorted[n-1]), true
}

// overtaken reports whether minOvertakingCalls calls that started after since were answered.
func (r *route) overtaken(since time.Time) bool { return r.latestStarts[0].After(since) }
