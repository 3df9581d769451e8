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

func (m *poolModel) recordEvents(ev Events) {
	for _, r := range ev.Refusals {
		if at, open := m.open[r.RequestID]; !open || at != "" {
			m.t.Fatalf("call %d refused with state %q, open %v", r.RequestID, at, open)
		}
		m.end(r.RequestID)
	}
	for _, g := range ev.Grants {
		if at, open := m.open[g.RequestID]; !open || at != "" {
			m.t.Fatalf("call %d granted with state %q, open %v", g.RequestID, at, open)
		}
		if m.spec.Closed {
			m.t.Fatalf("grant in a closed pool")
		}
		m.open[g.RequestID] = g.Upstream
		m.grantedCalls = append(m.grantedCalls, g.RequestID)
		m.running[g.Upstream]++
		u := m.pool.upstreamByName[g.Upstream]
		if u.leaving() || u.ejected() || m.running[g.Upstream] > u.limit() {
			m.t.Fatalf("grant to %s: %d running, limit %d", g.Upstream, m.running[g.Upstream], u.limit())
		}
		if g.Cold && !m.now.Before(m.confirmedUntil) {
			m.t.Fatalf("grant to a cold upstream without a confirmed view")
		}
	}
	m.check()
}

func (m *poolModel) end(id uint64) {
	if m.ended[id] {
		m.t.Fatalf("call %d ended twice", id)
	}
	m.ended[id] = true
	delete(m.open, id)
}

// check compares the pool's counts with the model's.
func (m *poolModel) check() {
	if len(m.open) != len(m.pool.calls) || m.pool.queued+m.pool.inFlight != len(m.open) {
		m.t.Fatalf("%d calls open, pool holds %d: %d queued, %d running", len(m.open), len(m.pool.calls), m.pool.queued,
			m.pool.inFlight)
	}
	ejected, slots := 0, 0
	for _, u := range m.pool.upstreams {
		if u.inFlight != m.running[u.spec.Name] || u.inFlight > u.spec.Slots {
			m.t.Fatalf("%s runs %d calls, model %d, slots %d", u.spec.Name, u.inFlight, m.running[u.spec.Name],
				u.spec.Slots)
		}
		if u.ejected() {
			ejected++
		}
		slots += u.countedSlots
	}
	total := 0
	for _, g := range m.pool.groups {
		total += g.capacity(true)
	}
	if ejected != m.pool.ejected || ejected*2 > len(m.pool.upstreams) || slots != total {
		m.t.Fatalf("%d of %d ejected, pool counts %d; %d slots, groups count %d", ejected, len(m.pool.upstreams),
			m.pool.ejected, slots, total)
	}
}

func (m *poolModel) submit(t *rapid.T) {
	m.id++
	r := Request{
		ID:       m.id,
		Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
		Class:    rapid.SampledFrom([]string{"urgent", "ordinary", "bulk"}).Draw(t, "class"),
		Route:    rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "route"),
		Version:  rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "version"),
		Hedge:    rapid.IntRange(0, 9).Draw(t, "hedge") == 0,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 500).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.IntRange(0, 3).Draw(t, "retry") == 0 {
		r.Exclude = []string{"u000"}
	}
	m.open[r.ID] = ""
	m.recordEvents(m.pool.Submit(m.now, r))
}

func (m *poolModel) finish(t *rapid.T) {
	if len(m.grantedCalls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.grantedCalls)-1).Draw(t, "call")
	id := m.grantedCalls[i]
	m.grantedCalls = append(m.grantedCalls[:i], m.grantedCalls[i+1:]...)
	m.running[m.open[id]]--
	m.end(id)
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
	m.recordEvents(m.pool.Finish(m.now, id, o))
}

func (m *poolModel) cancel(t *rapid.T) {
	if m.id == 0 {
		return
	}
	id := rapid.Uint64Range(1, m.id).Draw(t, "id")
	if at, open := m.open[id]; open {
		m.end(id)
		if at != "" {
			m.running[at]--
			for i, other := range m.grantedCalls {
				if other == id {
					m.grantedCalls = append(m.grantedCalls[:i], m.grantedCalls[i+1:]...)
					break
				}
			}
		}
	}
	m.recordEvents(m.pool.Cancel(m.now, id))
}

func (m *poolModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
	ev, probes := m.pool.Tick(m.now)
	for _, name := range probes {
		if last, ok := m.probes[name]; ok && m.now.Sub(last) < probeInterval || !m.now.Before(m.confirmedUntil) {
			m.t.Fatalf("probe of %s out of budget or without a confirmed view", name)
		}
		m.probes[name] = m.now
	}
	m.recordEvents(ev)
	for _, name := range append([]string(nil), probes...) {
		m.recordEvents(m.pool.ProbeResult(m.now, name, rapid.Bool().Draw(t, "probe"), time.Millisecond, nil))
	}
}

func (m *poolModel) confirm(t *rapid.T) {
	m.confirmedUntil = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "confirmed")) * time.Millisecond)
	m.pool.SetConfirmed(m.now, m.confirmedUntil)
}

func (m *poolModel) configure(t *rapid.T) {
	m.spec = randomSpec(t)
	m.recordEvents(m.pool.Configure(m.now, m.spec))
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
		m := &poolModel{
			t: t, now: testStart, spec: randomSpec(t),
			open: map[uint64]string{}, ended: map[uint64]bool{}, running: map[string]int{},
			probes: map[string]time.Time{},
		}
		m.pool = New(m.spec, rand.New(rand.NewSource(1)), randomStart(t)...)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch n := rapid.IntRange(0, 99).Draw(t, "step"); {
			case n < 45:
				m.submit(t)
			case n < 75:
				m.finish(t)
			case n < 82:
				m.cancel(t)
			case n < 93:
				m.tick(t)
			case n < 97:
				m.confirm(t)
			default:
				m.configure(t)
			}
		}
		// Each remaining call must expire or end with its outcome.
		for len(m.grantedCalls) > 0 {
			m.finish(t)
		}
		m.now = m.now.Add(time.Minute)
		ev, _ := m.pool.Tick(m.now)
		m.recordEvents(ev)
		for len(m.grantedCalls) > 0 {
			m.finish(t)
		}
		if len(m.open) != 0 {
			t.Fatalf("%d calls never ended", len(m.open))
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
		callSource, id, running := map[uint64]string{}, uint64(0), uint64(0)
		submit := func(class, customer string) {
			id++
			callSource[id] = class + customer
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
					if grant == 0 || callSource[running] == class+customer {
						submit(class, customer)
						submit(class, customer)
					}
				}
			}
			if ev := p.Finish(testStart, running, Outcome{Latency: time.Millisecond}); len(ev.Grants) == 1 {
				running = ev.Grants[0].RequestID
			}
			last[callSource[running]] = grant
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
