package simulate

import (
	"math/rand"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000_000, 0)

const (
	tickInterval = 10 * time.Millisecond
	// summaryInterval is the period at which the expected waits, by which a pool is chosen, are refreshed.
	summaryInterval = 10 * time.Millisecond
	maxPoolsTried   = 3
)

// ownedPool is a pool with its owner entry.
type ownedPool struct {
	pool           *dispatch.Pool
	dataCentre     int
	owner          int
	expectedWaits  [3]time.Duration
	avoidUntil     time.Duration       // other pools are preferred until then, after a refusal
	pending        map[uint64]*forward // by attempt ID
	upstreamByName map[string]*upstream
}

// forward is an attempt of a call at a pool, and records the pools that were tried.
type forward struct {
	j          *job
	extraDelay time.Duration // one-way delay between the ingress and the owner
	poolsTried int
	triedPools [3]bool
}

// ownerPolicy is the policy of this project: each pool is owned by one entry, to which all calls of the pool are
// forwarded.
type ownerPolicy struct {
	e     *engine
	pools []*ownedPool
}

func newOwnerPolicy(e *engine, dataCentres int) *ownerPolicy {
	p := &ownerPolicy{e: e}
	for dc := range dataCentres {
		o := &ownedPool{
			dataCentre: dc, owner: dc, pending: map[uint64]*forward{}, upstreamByName: map[string]*upstream{},
		}
		spec := dispatch.Spec{ServiceTime: meanService}
		for i, c := range classInfo {
			spec.Classes = append(spec.Classes, dispatch.ClassSpec{Name: c.name, Priority: i, MinShare: 0.05})
		}
		for i, u := range e.upstreams {
			if i%dataCentres == dc {
				spec.Upstreams = append(spec.Upstreams, dispatch.UpstreamSpec{Name: u.name, Slots: u.slots})
				o.upstreamByName[u.name] = u
			}
		}
		o.pool = dispatch.New(spec, rand.New(rand.NewSource(e.c.Seed+int64(dc)+2)))
		p.pools = append(p.pools, o)
		e.after(0, func() { p.tick(o) })
		e.after(0, func() { p.refreshWaits(o) })
	}
	return p
}

func (p *ownerPolicy) clock() time.Time { return epoch.Add(p.e.now) }

func (p *ownerPolicy) tick(o *ownedPool) {
	o.pool.SetConfirmed(p.clock(), p.clock().Add(time.Second))
	ev, probes := o.pool.Tick(p.clock())
	for _, name := range append([]string(nil), probes...) {
		p.probe(o, o.upstreamByName[name])
	}
	p.apply(o, ev)
	if p.e.now < p.e.c.Duration+5*time.Second {
		p.e.after(tickInterval, func() { p.tick(o) })
	}
}

// probe requests an upstream's health endpoint, which succeeds even while the upstream fails its calls.
func (p *ownerPolicy) probe(o *ownedPool, u *upstream) {
	if p.e.now < p.e.c.Duration {
		p.e.res.Probes++
	}
	p.e.after(2*netDelay, func() {
		u.seq++
		rep := &dispatch.LoadReport{InFlight: u.running, Cold: u.cold, Seq: u.seq}
		p.apply(o, o.pool.ProbeResult(p.clock(), u.name, !u.down, 2*netDelay, rep))
	})
}

func (p *ownerPolicy) refreshWaits(o *ownedPool) {
	for i, w := range o.pool.Summary(p.clock()).Waits {
		o.expectedWaits[i] = w.Wait
	}
	if p.e.now < p.e.c.Duration {
		p.e.after(summaryInterval, func() { p.refreshWaits(o) })
	}
}

func (p *ownerPolicy) submit(j *job) { p.forward(&forward{j: j}) }

// forward sends the call to the pool with the lowest sum of expected wait and delay, among those not tried yet.
func (p *ownerPolicy) forward(f *forward) {
	var best *ownedPool
	lowest := time.Duration(0)
	for _, o := range p.pools {
		cost := o.expectedWaits[f.j.class] + 2*p.delay(f.j, o)
		if p.e.now < o.avoidUntil {
			cost += time.Second
		}
		if !f.triedPools[o.dataCentre] && (best == nil || cost < lowest) {
			best, lowest = o, cost
		}
	}
	if best == nil || f.poolsTried >= maxPoolsTried {
		p.e.refused(f.j)
		return
	}
	f.poolsTried++
	f.triedPools[best.dataCentre] = true
	f.extraDelay = p.delay(f.j, best)
	p.e.after(f.extraDelay, func() { p.arrive(best, f) })
}

// delay returns the one-way delay between the ingress entry and the owner.
func (p *ownerPolicy) delay(j *job, o *ownedPool) time.Duration {
	switch {
	case j.entry == o.owner:
		return 0
	case j.entry%len(p.pools) == o.dataCentre:
		return forwardDelay
	}
	return forwardDelay + dataCentreDelay
}

func (p *ownerPolicy) arrive(o *ownedPool, f *forward) {
	j := f.j
	o.pending[j.attemptID()] = f
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

// apply executes the pool's decisions.
func (p *ownerPolicy) apply(o *ownedPool, ev dispatch.Events) {
	for _, g := range ev.Grants {
		p.startGranted(o, o.pending[g.RequestID], o.upstreamByName[g.Upstream], g.RequestID)
	}
	for _, r := range ev.Refusals {
		f := o.pending[r.RequestID]
		delete(o.pending, r.RequestID)
		if len(p.pools) > 1 {
			o.avoidUntil = p.e.now + min(r.RetryAfter, 100*time.Millisecond)
		}
		p.e.after(f.extraDelay, func() { p.forward(f) })
	}
}

func (p *ownerPolicy) startGranted(o *ownedPool, f *forward, u *upstream, id uint64) {
	p.e.send(u, f.j, 0, func(out outcome) {
		delete(o.pending, id)
		p.apply(o, o.pool.Finish(p.clock(), id, p.outcome(u, out)))
		p.e.after(f.extraDelay, func() { p.e.attemptEnded(f.j, out) })
	})
}

var outcomeKinds = map[kind]dispatch.OutcomeKind{
	success:       dispatch.Success,
	failure:       dispatch.Failure,
	notRun:        dispatch.NotRun,
	connectFailed: dispatch.ConnectFailed,
	crashed:       dispatch.Crashed,
}

func (p *ownerPolicy) outcome(_ *upstream, out outcome) dispatch.Outcome {
	o := dispatch.Outcome{Kind: outcomeKinds[out.kind], Latency: out.slotTime + 2*netDelay}
	if out.kind != crashed && out.kind != connectFailed {
		r := out.loadReport
		o.Report = &dispatch.LoadReport{InFlight: r.inFlight, Queued: r.queued, Cold: r.cold, Seq: r.seq}
	}
	return o
}
