package dispatch

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ledger checks the invariants of a pool while random operations run on it.
type ledger struct {
	t       *rapid.T
	p       *Pool
	now     time.Time
	id      uint64
	spec    Spec
	open    map[uint64]string // "" while queued, else the upstream
	ended   map[uint64]bool
	running map[string]int
	order   []uint64 // granted calls, oldest first
	until   time.Time
	probes  map[string]time.Time
}

func (l *ledger) note(ev Events) {
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
		l.order = append(l.order, g.RequestID)
		l.running[g.Upstream]++
		u := l.p.byName[g.Upstream]
		if u.leaving() || u.ejected() || l.running[g.Upstream] > u.limit() {
			l.t.Fatalf("grant to %s: %d running, limit %d", g.Upstream, l.running[g.Upstream], u.limit())
		}
		if g.Cold && !l.now.Before(l.until) {
			l.t.Fatalf("grant to a cold upstream without a confirmed view")
		}
	}
	l.check()
}

func (l *ledger) end(id uint64) {
	if l.ended[id] {
		l.t.Fatalf("call %d ended twice", id)
	}
	l.ended[id] = true
	delete(l.open, id)
}

// check compares the pool's counts with the ledger's.
func (l *ledger) check() {
	if len(l.open) != len(l.p.calls) || l.p.queued+l.p.inFlight != len(l.open) {
		l.t.Fatalf("%d calls open, pool holds %d: %d queued, %d running", len(l.open), len(l.p.calls), l.p.queued,
			l.p.inFlight)
	}
	ejected, slots := 0, 0
	for _, u := range l.p.upstreams {
		if u.inFlight != l.running[u.spec.Name] || u.inFlight > u.spec.Slots {
			l.t.Fatalf("%s runs %d calls, ledger %d, slots %d", u.spec.Name, u.inFlight, l.running[u.spec.Name],
				u.spec.Slots)
		}
		if u.ejected() {
			ejected++
		}
		slots += u.counted
	}
	total := 0
	for _, g := range l.p.groups {
		total += g.capacity(true)
	}
	if ejected != l.p.ejected || ejected*2 > len(l.p.upstreams) || slots != total {
		l.t.Fatalf("%d of %d ejected, pool counts %d; %d slots, groups count %d", ejected, len(l.p.upstreams),
			l.p.ejected, slots, total)
	}
}

func (l *ledger) submit(t *rapid.T) {
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
	l.note(l.p.Submit(l.now, r))
}

func (l *ledger) finish(t *rapid.T) {
	if len(l.order) == 0 {
		return
	}
	i := rapid.IntRange(0, len(l.order)-1).Draw(t, "call")
	id := l.order[i]
	l.order = append(l.order[:i], l.order[i+1:]...)
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
	l.note(l.p.Finish(l.now, id, o))
}

func (l *ledger) cancel(t *rapid.T) {
	if l.id == 0 {
		return
	}
	id := rapid.Uint64Range(1, l.id).Draw(t, "id")
	if at, open := l.open[id]; open {
		l.end(id)
		if at != "" {
			l.running[at]--
			for i, other := range l.order {
				if other == id {
					l.order = append(l.order[:i], l.order[i+1:]...)
					break
				}
			}
		}
	}
	l.note(l.p.Cancel(l.now, id))
}

func (l *ledger) tick(t *rapid.T) {
	l.now = l.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	ev, probes := l.p.Tick(l.now)
	for _, name := range probes {
		if last, ok := l.probes[name]; ok && l.now.Sub(last) < probeInterval || !l.now.Before(l.until) {
			l.t.Fatalf("probe of %s out of budget or without a confirmed view", name)
		}
		l.probes[name] = l.now
	}
	l.note(ev)
	for _, name := range append([]string(nil), probes...) {
		l.note(l.p.ProbeResult(l.now, name, rapid.Bool().Draw(t, "probe"), time.Millisecond, nil))
	}
}

func (l *ledger) confirm(t *rapid.T) {
	l.until = l.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "confirmed")) * time.Millisecond)
	l.p.SetConfirmed(l.now, l.until)
}

func (l *ledger) configure(t *rapid.T) {
	l.spec = randomSpec(t)
	l.note(l.p.Configure(l.now, l.spec))
}

// randomSpec keeps the slots of an upstream fixed, so that no running call exceeds them.
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

// randomStart draws what the owner knows about the time before it took over.
func randomStart(t *rapid.T) []Option {
	switch rapid.IntRange(0, 3).Draw(t, "start") {
	case 0:
		return []Option{WithTakeover(benchStart, benchStart.Add(-2*time.Second))}
	case 1:
		h := Handover{Upstreams: []UpstreamHandover{
			{Name: "u000", Running: 1, RunningMs: 100, EjectedMs: 1, Ejections: 1},
			{Name: "u001", Cold: true, Allowance: 1, Running: 2, RunningMs: 1000},
			{Name: "u002", EjectedMs: 700, Ejections: 3},
		}}
		return []Option{WithHandover(benchStart, h)}
	}
	return nil
}

// Guards against slots or cold allowances that are exceeded, calls with no end or two ends, grants to cold upstreams
// or probes without a confirmed view, and counts that drift, under any order of operations.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &ledger{
			t: t, now: benchStart, spec: randomSpec(t),
			open: map[uint64]string{}, ended: map[uint64]bool{}, running: map[string]int{},
			probes: map[string]time.Time{},
		}
		l.p = New(l.spec, rand.New(rand.NewSource(1)), randomStart(t)...)
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
		// Every call that is left ends by itself or by its outcome.
		for len(l.order) > 0 {
			l.finish(t)
		}
		l.now = l.now.Add(time.Minute)
		ev, _ := l.p.Tick(l.now)
		l.note(ev)
		for len(l.order) > 0 {
			l.finish(t)
		}
		if len(l.open) != 0 {
			t.Fatalf("%d calls have no end", len(l.open))
		}
	})
}

// Guards against a hard limit that lets more through than its rate and burst, for any arrivals.
func TestHardLimitIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(t, "rate")
		burst := rapid.Float64Range(1, 20).Draw(t, "burst")
		spec := testSpec(600, 6)
		spec.Limits = []LimitSpec{{Customer: "a", Rate: rate, Burst: burst}}
		p := New(spec, rand.New(rand.NewSource(1)))
		now, granted := benchStart, 0
		for id := range rapid.IntRange(1, 300).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "gap")) * time.Millisecond)
			r := Request{ID: uint64(id), Customer: "a", Class: "urgent", Deadline: now.Add(time.Second)}
			granted += len(p.Submit(now, r).Grants)
			if most := burst + rate*now.Sub(benchStart).Seconds() + 1e-6; float64(granted) > most {
				t.Fatalf("%d calls passed, at most %f may", granted, most)
			}
		}
	})
}

// Guards against starvation: with any shares, weights and order, every class and customer with queued calls is served
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
			ev := p.Submit(benchStart, Request{
				ID: id, Class: class, Customer: customer, Deadline: benchStart.Add(24 * time.Hour),
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
			if ev := p.Finish(benchStart, running, Outcome{Latency: time.Millisecond}); len(ev.Grants) == 1 {
				running = ev.Grants[0].RequestID
			}
			last[kind[running]] = grant
			// A class waits at most 1/share grants, counted once for each other class; a customer of weight 0.2
			// waits 6 turns of its class.
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
