package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture drives a pool in virtual time.
type fixture struct {
	t          *testing.T
	pool       *Pool
	rng        *rand.Rand
	now        time.Time
	id         uint64
	grants     map[string]int
	refused    map[Reason]int
	reportFrom func(upstream string) *LoadReport
}

func newFixture(t *testing.T, spec Spec) *fixture {
	f := &fixture{
		t: t, rng: rand.New(rand.NewSource(2)), now: testStart, grants: map[string]int{}, refused: map[Reason]int{},
	}
	f.pool = New(spec, rand.New(rand.NewSource(1)))
	f.confirm()
	return f
}

// confirm sets a confirmed view for the rest of the test.
func (f *fixture) confirm() { f.pool.SetConfirmed(f.now, f.now.Add(time.Hour)) }

func (f *fixture) record(ev Events) Events {
	for _, g := range ev.Grants {
		f.grants[g.Upstream]++
	}
	for _, r := range ev.Refusals {
		f.refused[r.Reason]++
	}
	return ev
}

// submit adds a request, with a deadline in 10 s unless it has one.
func (f *fixture) submit(r Request) Events {
	f.id++
	r.ID = f.id
	if r.Deadline.IsZero() {
		r.Deadline = f.now.Add(10 * time.Second)
	}
	return f.record(f.pool.Submit(f.now, r))
}

func (f *fixture) advance(d time.Duration) []string {
	f.now = f.now.Add(d)
	ev, probes := f.pool.Tick(f.now)
	f.record(ev)
	return probes
}

// responseFunc returns how an upstream ends a call of a route, and after what time.
type responseFunc func(upstream, route string) (OutcomeKind, time.Duration)

// normalResponse is a success after 10 ms.
func normalResponse(string, string) (OutcomeKind, time.Duration) {
	return Success, 10 * time.Millisecond
}

// runTraffic submits one call of each route per millisecond for the given time, and ends granted calls as respond says.
func (f *fixture) runTraffic(d time.Duration, respond responseFunc, routes ...string) {
	if len(routes) == 0 {
		routes = []string{"r"}
	}
	type runningCall struct {
		id   uint64
		o    Outcome
		at   time.Time
		name string
	}
	var running []runningCall
	routeOf := map[uint64]string{}
	startGranted := func(ev Events) {
		for _, g := range ev.Grants {
			kind, latency := respond(g.Upstream, routeOf[g.RequestID])
			running = append(running, runningCall{
				g.RequestID, Outcome{Kind: kind, Latency: latency}, f.now.Add(latency), g.Upstream,
			})
		}
	}
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(time.Millisecond) {
		ev, _ := f.pool.Tick(f.now)
		startGranted(f.record(ev))
		for i := 0; i < len(running); i++ {
			if r := running[i]; !r.at.After(f.now) {
				running = append(running[:i], running[i+1:]...)
				i--
				if f.reportFrom != nil {
					r.o.Report = f.reportFrom(r.name)
				}
				startGranted(f.record(f.pool.Finish(f.now, r.id, r.o)))
			}
		}
		// A random order prevents a fixed pattern between routes and the rotation of the upstreams.
		for _, i := range f.rng.Perm(len(routes)) {
			name := routes[i]
			routeOf[f.id+1] = name
			startGranted(f.submit(Request{Class: "ordinary", Customer: "a", Route: name}))
		}
	}
	for _, r := range running {
		f.pool.Finish(f.now, r.id, Outcome{Kind: Cancelled})
	}
	f.resetGrants()
}

func (f *fixture) resetGrants() {
	f.grants = map[string]int{}
}

func (f *fixture) status(name string) UpstreamStatus {
	for _, s := range f.pool.Upstreams(f.now) {
		if s.Name == name {
			return s
		}
	}
	require.Fail(f.t, "no such upstream", name)
	return UpstreamStatus{}
}

func (f *fixture) ejected() int {
	n := 0
	for _, s := range f.pool.Upstreams(f.now) {
		if s.Health == Ejected {
			n++
		}
	}
	return n
}

// onlyUpstream returns a responseFunc that differs from normalResponse for one upstream.
func onlyUpstream(name string, kind OutcomeKind, latency time.Duration) responseFunc {
	return func(u, r string) (OutcomeKind, time.Duration) {
		if u == name {
			return kind, latency
		}
		return normalResponse(u, r)
	}
}
