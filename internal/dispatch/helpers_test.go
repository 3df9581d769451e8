package dispatch

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fixture drives a pool whose upstreams answer with a latency chosen per call, in virtual time.
type fixture struct {
	t       *testing.T
	p       *Pool
	rng     *rand.Rand
	now     time.Time
	id      uint64
	grants  map[string]int
	refused map[Reason]int
	report  func(upstream string) *LoadReport
}

func newFixture(t *testing.T, spec Spec) *fixture {
	f := &fixture{t: t, rng: rand.New(rand.NewSource(2)), now: benchStart, grants: map[string]int{}, refused: map[Reason]int{}}
	f.p = New(spec, rand.New(rand.NewSource(1)))
	f.confirm()
	return f
}

// confirm gives the owner a confirmed view for the rest of the test.
func (f *fixture) confirm() { f.p.SetConfirmed(f.now, f.now.Add(time.Hour)) }

func (f *fixture) note(ev Events) Events {
	for _, g := range ev.Grants {
		f.grants[g.Upstream]++
	}
	for _, r := range ev.Refusals {
		f.refused[r.Reason]++
	}
	return ev
}

// submit offers a request with a deadline in 10 s unless it has one.
func (f *fixture) submit(r Request) Events {
	f.id++
	r.ID = f.id
	if r.Deadline.IsZero() {
		r.Deadline = f.now.Add(10 * time.Second)
	}
	return f.note(f.p.Submit(f.now, r))
}

func (f *fixture) advance(d time.Duration) []string {
	f.now = f.now.Add(d)
	ev, probes := f.p.Tick(f.now)
	f.note(ev)
	return probes
}

// answer says how an upstream ends a call of a route.
type answer func(upstream, route string) (OutcomeKind, time.Duration)

// normal is an upstream that takes 10 ms.
func normal(string, string) (OutcomeKind, time.Duration) { return Success, 10 * time.Millisecond }

// play offers one call of each route per millisecond for a time, and ends granted calls as the answer says.
func (f *fixture) play(d time.Duration, how answer, routes ...string) {
	if len(routes) == 0 {
		routes = []string{"r"}
	}
	type end struct {
		id   uint64
		o    Outcome
		at   time.Time
		name string
	}
	var running []end
	route := map[uint64]string{}
	start := func(ev Events) {
		for _, g := range ev.Grants {
			kind, took := how(g.Upstream, route[g.RequestID])
			running = append(running, end{g.RequestID, Outcome{Kind: kind, Latency: took}, f.now.Add(took), g.Upstream})
		}
	}
	for until := f.now.Add(d); f.now.Before(until); f.now = f.now.Add(time.Millisecond) {
		ev, _ := f.p.Tick(f.now)
		start(f.note(ev))
		for i := 0; i < len(running); i++ {
			if r := running[i]; !r.at.After(f.now) {
				running = append(running[:i], running[i+1:]...)
				i--
				if f.report != nil {
					r.o.Report = f.report(r.name)
				}
				start(f.note(f.p.Finish(f.now, r.id, r.o)))
			}
		}
		// A random order keeps a route from falling into step with the rotation of the upstreams.
		for _, i := range f.rng.Perm(len(routes)) {
			name := routes[i]
			route[f.id+1] = name
			start(f.submit(Request{Class: "ordinary", Customer: "a", Route: name}))
		}
	}
	for _, r := range running {
		f.p.Finish(f.now, r.id, Outcome{Kind: Cancelled})
	}
	f.grantsReset()
}

func (f *fixture) grantsReset() {
	f.grants = map[string]int{}
}

func (f *fixture) status(name string) UpstreamStatus {
	for _, s := range f.p.Upstreams(f.now) {
		if s.Name == name {
			return s
		}
	}
	require.Fail(f.t, "no such upstream", name)
	return UpstreamStatus{}
}

func (f *fixture) ejected() int {
	n := 0
	for _, s := range f.p.Upstreams(f.now) {
		if s.Health == Ejected {
			n++
		}
	}
	return n
}

// only returns an answer that differs from normal for one upstream.
func only(name string, kind OutcomeKind, took time.Duration) answer {
	return func(u, r string) (OutcomeKind, time.Duration) {
		if u == name {
			return kind, took
		}
		return normal(u, r)
	}
}
