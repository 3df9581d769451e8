package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// poolModel checks the invariants of a pool under random operations against its own record of the calls.
type poolModel struct {
	t              *rapid.T
	pool           *Pool
	now            time.Time
	id             uint64
	spec           Spec
	open           map[uint64]string // "" while queued, else the upstream
	ended          map[uint64]bool
	running        map[string]int
	grantedCalls   []uint64 // IDs in the order of the grants
	confirmedUntil time.Time
	probes         map[string]time.Time
}

func (l *poolModel) recordEvents(ev Events) {
	for _, r := range ev.Refusals {
		if at, open := l.open[r.RequestID]; !open || at != "" {
			l.t.Fatalf("call %d refused with state %q, open %v", r.RequestID, at, open)
		}
		l.end(r.RequestID)
	}
	for _, g := range ev.Grants {
		if at, open := l.open[g.RequestID]; !open || at != "" {
			l.t.Fatalf("call %d granted with state %q, open %v", g.RequestID, at, open)
		}
		if l.spec.Closed {
			l.t.Fatalf("grant in a closed pool")
		}
		l.open[g.RequestID] = g.Upstream
		l.grantedCalls = append(l.grantedCalls, g.RequestID)
		l.running[g.Upstream]++
		u := l.pool.upstreamByName[g.Upstream]
		if u.leaving() || u.ejected() || l.running[g.Upstream] > u.limit() {
			l.t.Fatalf("grant to %s: %d running, limit %d", g.Upstream, l.running[g.Upstream], u.limit())
		}
		if g.Cold && !l.now.Before(l.confirmedUntil) {
			l.t.Fatalf("grant to a cold upstream without a confirmed view")
		}
	}
	l.check()
}

func (l *poolModel) end(id uint64) {
	if l.ended[id] {
		l.t.Fatalf("call %d ended twice", id)
	}
	l.ended[id] = true
	delete(l.open, id)
}

// check compares the pool's counts with the model's.
func (l *poolModel) check() {
	if len(l.open) != len(l.pool.calls) || l.pool.queued+l.pool.inFlight != len(l.open) {
		l.t.Fatalf("%d calls open, pool holds %d: %d queued, %d running", len(l.open), len(l.pool.calls), l.pool.queued,
			l.pool.inFlight)
	}
	ejected, slots := 0, 0
	for _, u := range l.pool.upstreams {
		if u.inFlight != l.running[u.spec.Name] || u.inFlight > u.spec.Slots {
			l.t.Fatalf("%s runs %d calls, ledger %d, slots %d", u.spec.Name, u.inFlight, l.running[u.spec.Name],
				u.spec.Slots)
		}
		if u.ejected() {
			ejected++
		}
		slots += u.countedSlots
	}
	total := 0
	for _, g := range l.pool.groups {
		total += g.capacity(true)
	}
	if ejected != l.pool.ejected || ejected*2 > len(l.pool.upstreams) || slots != total {
		l.t.Fatalf("%d of %d ejected, pool counts %d; %d slots, groups count %d", ejected, len(l.pool.upstreams),
			l.pool.ejected, slots, total)
	}
}

func (l *poolModel) submit(t *rapid.T) {
	l.id++
	r := Request{
		ID:       l.id,
		Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Class:    rapid.SampledFrom([]string{"urgent", "ordinary", "bulk"}).Draw(t, "class"),
		Route:    rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "route"),
		Version:  rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
		Hedge:    rapid.IntRange(0, 9).Draw(t, "hedge") == 0,
		Deadline: l.now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.IntRange(0, 3).Draw(t, "retry") == 0 {
		r.Exclude = []string{"u000"}
	}
	l.open[r.ID] = ""
	l.recordEvents(l.pool.Submit(l.now, r))
}

func (l *poolModel) finish(t *rapid.T) {
	if len(l.grantedCalls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(l.grantedCalls)-1).Draw(t, "call")
	id := l.grantedCalls[i]
	l.grantedCalls = append(l.grantedCalls[:i], l.grantedCalls[i+1:]...)
	l.running[l.open[id]]--
	l.end(id)
	o := Outcome{
		Kind:    OutcomeKind(rapid.IntRange(int(Success), int(Cancelled)).Draw(t, "kind")),
		Latency: time.Duration(rapid.IntRange(0, 100).Draw(t, "latency")) * time.Millisecond,
	}
	if rapid.Bool().Draw(t, "report") {
		o.Report = &LoadReport{
			InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"),
			Cold:     rapid.IntRange(0, 9).Draw(t, "cold") == 0,
			Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 0,
			Seq:      rapid.Uint64Range(0, 200).Draw(t, "seq"),
		}
	}
	l.recordEvents(l.pool.Finish(l.now, id, o))
}

func (l *poolModel) cancel(t *rapid.T) {
	if l.id == 0 {
		return
	}
	id := rapid.Uint64Range(1, l.id).Draw(t, "id")
	if at, open := l.open[id]; open {
		l.end(id)
		if at != "" {
			l.running[at]--
			for i, other := range l.grantedCalls {
				if other == id {
					l.grantedCalls = append(l.grantedCalls[:i], l.grantedCalls[i+1:]...)
					break
				}
			}
		}
	}
	l.recordEvents(l.pool.Cancel(l.now, id))
}

func (l *poolModel) tick(t *rapid.T) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	ev, probes := l.pool.Tick(l.now)
	for _, name := range probes {
		if last, ok := l.probes[name]; ok && l.now.Sub(last) < probeInterval || !l.now.Before(l.confirmedUntil) {
			l.t.Fatalf("probe of %s out of budget or without a confirmed view", name)
		}
		l.probes[name] = l.now
	}
	l.recordEvents(ev)
	for _, name := range append([]string(nil), probes...) {
		l.recordEvents(l.pool.ProbeResult(l.now, name, rapid.Bool().Draw(t, "probe"), time.Millisecond, nil))
	}
}

func (l *poolModel) confirm(t *rapid.T) {
	l.confirmedUntil = l.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "confirmed")) * time.Millisecond)
	l.pool.SetConfirmed(l.now, l.confirmedUntil)
}

func (l *poolModel) configure(t *rapid.T) {
	l.spec = randomSpec(t)
	l.recordEvents(l.pool.Configure(l.now, l.spec))
}

// randomSpec draws a Spec. The slots of each upstream are the same in every Spec, so that no running call exceeds them.
func randomSpec(t *rapid.T) Spec {
	spec := testSpec(0, 3)
	for i := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
		spec.Upstreams = append(spec.Upstreams, UpstreamSpec{
			Name:    fmt.Sprintf("u%03d", i),
			Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			Slots:   1 + i%4,
			Leaving: rapid.IntRange(0, 5).Draw(t, "leaving") == 0,
			Cold:    rapid.IntRange(0, 3).Draw(t, "cold") == 0,
		})
	}
	spec.Closed = rapid.IntRange(0, 9).Draw(t, "closed") == 0
	spec.MaxQueued = rapid.IntRange(1, 20).Draw(t, "max queued")
	return spec
}

// randomStart draws the options for a new owner: a takeover, a handover or none.
func randomStart(t *rapid.T) []Option {
	switch rapid.IntRange(0, 3).Draw(t, "start") {
	case 0:
		return []Option{WithTakeover(testStart, testStart.Add(-2*time.Second))}
	case 1:
		h := Handover{Upstreams: []UpstreamHandover{
			{Name: "u000", Running: 1, RunningMs: 100, EjectedMs: 1, Ejections: 1},
			{Name: "u001", Cold: true, Allowance: 1, Running: 2, RunningMs: 1000},
			{Name: "u002", EjectedMs: 700, Ejections: 3},
		}}
		return []Option{WithHandover(testStart, h)}
	}
	return nil
}

// Guards against exceeded slots or cold allowances, calls that end never or twice, grants to cold upstreams or probes
// without a confirmed view, and inconsistent counts, under any order of operations.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &poolModel{
			t: t, now: testStart, spec: randomSpec(t),
			open: map[uint64]string{}, ended: map[uint64]bool{}, running: map[string]int{},
			probes: map[string]time.Time{},
		}
		l.pool = New(l.spec, rand.New(rand.NewSource(1)), randomStart(t)...)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
			case n < 45:
				l.submit(t)
			case n < 75:
				l.finish(t)
			case n < 82:
				l.cancel(t)
			case n < 93:
				l.tick(t)
			case n < 97:
				l.confirm(t)
			default:
				l.configure(t)
			}
		}
		// Each remaining call must expire or end with its outcome.
		for len(l.grantedCalls) > 0 {
			l.finish(t)
		}
		l.now = l.now.Add(time.Minute)
		ev, _ := l.pool.Tick(l.now)
		l.recordEvents(ev)
		for len(l.grantedCalls) > 0 {
			l.finish(t)
		}
		if len(l.open) != 0 {
			t.Fatalf("%d calls have no end", len(l.open))
		}
	})
}

// Guards against a hard limit that admits more than its rate and burst, for any arrivals.
func TestHardLimitIsEnforced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		spec := testSpec(600, 6)
		spec.Limits = []LimitSpec{{Customer: "a", Rate: rate, Burst: burst}}
		p := New(spec, rand.New(rand.NewSource(1)))
		now, granted := testStart, 0
		for id := range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			r := Request{ID: uint64(id), Customer: "a", Class: "urgent", Deadline: now.Add(time.Second)}
			granted += len(p.Submit(now, r).Grants)
			if maxGranted := burst + rate*now.Sub(testStart).Seconds() + 1e-6; float64(granted) > maxGranted {
				t.Fatalf("%d calls passed, at most %f may", granted, maxGranted)
			}
		}
	})
}

// Guards against starvation: for any shares, weights and order, every class and customer with queued calls is served
// within a bounded number of grants.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0.02, 0.3).Draw(t, "share")
		spec := testSpec(1, 1)
		for i := range spec.Classes {
			spec.Classes[i].MinShare = share
		}
		spec.Customers = []CustomerSpec{{Name: "a", Weight: rapid.Float64Range(0.2, 5).Draw(t, "weight")}}
		p := New(spec, rand.New(rand.NewSource(1)))
		kind, id, running := map[uint64]string{}, uint64(0), uint64(0)
		submit := func(class, customer string) {
			id++
			kind[id] = class + customer
			ev := p.Submit(testStart, Request{
				ID: id, Class: class, Customer: customer, Deadline: testStart.Add(24 * time.Hour),
			})
			for _, g := range ev.Grants {
				running = g.RequestID
			}
		}
		last := map[string]int{}
		for grant := range 2000 {
			for _, class := range []string{"urgent", "ordinary", "bulk"} {
				for _, customer := range []string{"a", "b"} {
					if grant == 0 || kind[running] == class+customer {
						submit(class, customer)
						submit(class, customer)
					}
				}
			}
			if ev := p.Finish(testStart, running, Outcome{Latency: time.Millisecond}); len(ev.Grants) == 1 {
				running = ev.Grants[0].RequestID
			}
			last[kind[running]] = grant
			// A class waits at most 1/share grants, counted once for each other class. A customer of weight 0.2 waits 6 rounds
			// of its class.
			for name, at := range last {
				if wait := float64(grant - at); wait > 2*3*6/share+10 {
					t.Fatalf("%s was not served for %.0f grants", name, wait)
				}
			}
		}
		if len(last) != 6 {
			t.Fatalf("only %v were served", last)
		}
	})
}
