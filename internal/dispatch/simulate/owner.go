package simulate

import (
	"math/rand"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
)

// epoch is the moment at which virtual time starts.
var epoch = time.Unix(1_000_000_000, 0)

const (
	tickInterval = 10 * time.Millisecond
	// summaryInterval is the age of the expected waits that the choice among pools uses.
	summaryInterval = 10 * time.Millisecond
	maxPoolsTried   = 3
)

// owned is one pool with its owner entry.
type owned struct {
	pool    *dispatch.Pool
	zone    int
	owner   int
	waits   [3]time.Duration
	avoid   time.Duration // until then, after a refusal
	waiting map[uint64]*visit
	index   map[string]*upstream
}

// visit is one attempt at one pool.
type visit struct {
	j     *job
	extra time.Duration // one-way delay between the ingress and the owner
	tried int
	seen  [3]bool
}

// owners is the design: each pool is owned by one entry, and calls are forwarded to it.
type owners struct {
	e     *engine
	pools []*owned
}

func newOwners(e *engine, zones int) *owners {
	p := &owners{e: e}
	for z := range zones {
		o := &owned{zone: z, owner: z, waiting: map[uint64]*visit{}, index: map[string]*upstream{}}
		spec := dispatch.Spec{ServiceTime: meanService}
		for i, c := range classInfo {
			spec.Classes = append(spec.Classes, dispatch.ClassSpec{Name: c.name, Priority: i, MinShare: 0.05})
		}
		for i, u := range e.upstreams {
			if i%zones == z {
				spec.Upstreams = append(spec.Upstreams, dispatch.UpstreamSpec{Name: u.name, Slots: u.slots})
				o.index[u.name] = u
			}
		}
		o.pool = dispatch.New(spec, rand.New(rand.NewSource(e.c.Seed+int64(z)+2)))
		p.pools = append(p.pools, o)
		e.after(0, func() { p.tick(o) })
		e.after(0, func() { p.refresh(o) })
	}
	return p
}

func (p *owners) clock() time.Time { return epoch.Add(p.e.now) }

func (p *owners) tick(o *owned) {
	o.pool.SetConfirmed(p.clock(), p.clock().Add(time.Second))
	ev, probes := o.pool.Tick(p.clock())
	for _, name := range append([]string(nil), probes...) {
		p.probe(o, o.index[name])
	}
	p.apply(o, ev)
	if p.e.now < p.e.c.Duration+5*time.Second {
		p.e.after(tickInterval, func() { p.tick(o) })
	}
}

// probe asks an upstream's health endpoint, which answers well even while the upstream fails its calls.
func (p *owners) probe(o *owned, u *upstream) {
	if p.e.now < p.e.c.Duration {
		p.e.res.Probes++
	}
	p.e.after(2*netDelay, func() {
		u.seq++
		rep := &dispatch.LoadReport{InFlight: u.running, Cold: u.cold, Seq: u.seq}
		p.apply(o, o.pool.ProbeResult(p.clock(), u.name, !u.down, 2*netDelay, rep))
	})
}

func (p *owners) refresh(o *owned) {
	for i, w := range o.pool.Summary(p.clock()).Waits {
		o.waits[i] = w.Wait
	}
	if p.e.now < p.e.c.Duration {
		p.e.after(summaryInterval, func() { p.refresh(o) })
	}
}

func (p *owners) submit(j *job) { p.visit(&visit{j: j}) }

// visit forwards the call to the pool with the lowest expected wait plus delay, among those not tried yet.
func (p *owners) visit(v *visit) {
	var best *owned
	lowest := time.Duration(0)
	for _, o := range p.pools {
		cost := o.waits[v.j.class] + 2*p.delay(v.j, o)
		if p.e.now < o.avoid {
			cost += time.Second
		}
		if !v.seen[o.zone] && (best == nil || cost < lowest) {
			best, lowest = o, cost
		}
	}
	if best == nil || v.tried >= maxPoolsTried {
		p.e.refused(v.j)
		return
	}
	v.tried++
	v.seen[best.zone] = true
	v.extra = p.delay(v.j, best)
	p.e.after(v.extra, func() { p.arrive(best, v) })
}

// delay is the one-way delay between the ingress entry and the owner.
func (p *owners) delay(j *job, o *owned) time.Duration {
	switch {
	case j.entry == o.owner:
		return 0
	case j.entry%len(p.pools) == o.zone:
		return forwardDelay
	}
	return forwardDelay + zoneDelay
}

func (p *owners) arrive(o *owned, v *visit) {
	j := v.j
	o.waiting[j.attemptID()] = v
	p.apply(o, o.pool.Submit(p.clock(), dispatch.Request{
		ID:         j.attemptID(),
		Customer:   j.customer,
		Class:      classInfo[j.class].name,
		Route:      "default",
		Deadline:   epoch.Add(j.deadline),
		Idempotent: j.idempotent,
		Exclude:    j.exclude,
	}))
}

// apply carries out the pool's decisions.
func (p *owners) apply(o *owned, ev dispatch.Events) {
	for _, g := range ev.Grants {
		p.run(o, o.waiting[g.RequestID], o.index[g.Upstream], g.RequestID)
	}
	for _, r := range ev.Refusals {
		v := o.waiting[r.RequestID]
		delete(o.waiting, r.RequestID)
		if len(p.pools) > 1 {
			o.avoid = p.e.now + min(r.RetryAfter, 100*time.Millisecond)
		}
		p.e.after(v.extra, func() { p.visit(v) })
	}
}

func (p *owners) run(o *owned, v *visit, u *upstream, id uint64) {
	p.e.send(u, v.j, 0, func(out outcome) {
		delete(o.waiting, id)
		p.apply(o, o.pool.Finish(p.clock(), id, p.outcome(u, out)))
		p.e.after(v.extra, func() { p.e.attemptEnded(v.j, out) })
	})
}

var outcomeKinds = map[kind]dispatch.OutcomeKind{
	success:       dispatch.Success,
	failure:       dispatch.Failure,
	notRun:        dispatch.NotRun,
	connectFailed: dispatch.ConnectFailed,
	crashed:       dispatch.Crashed,
}

func (p *owners) outcome(_ *upstream, out outcome) dispatch.Outcome {
	o := dispatch.Outcome{Kind: outcomeKinds[out.kind], Latency: out.worked + 2*netDelay}
	if out.kind != crashed && out.kind != connectFailed {
		r := out.rep
		o.Report = &dispatch.LoadReport{InFlight: r.inFlight, Queued: r.queued, Cold: r.cold, Seq: r.seq}
	}
	return o
}
