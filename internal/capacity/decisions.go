package capacity

import (
	"context"
	"errors"
	"math/rand"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/adapter"
	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/inventory"
)

// poolTick is the interval of dispatch.Pool.Tick, as in package entry.
const poolTick = 10 * time.Millisecond

// farFuture confirms the view of the only owner for the whole run.
const farFuture = 24 * time.Hour

// directory resolves requests by a snapshot.
type directory struct{ snap *inventory.Snapshot }

func (d directory) Resolve(r *http.Request) (proxy.Target, bool) {
	s, route, ok := d.snap.Match(r.Host, r.Method, r.URL.Path)
	if !ok {
		return proxy.Target{}, false
	}
	idempotent := route.Idempotent(r.Method)
	return proxy.Target{Service: s.Name, Route: route.Name, Class: route.Class, Idempotent: &idempotent}, true
}

func (d directory) Class(name string) (proxy.Class, bool) {
	c, ok := d.snap.Class(name)
	return proxy.Class{Name: c.Name, Priority: c.Priority, Deadline: c.Deadline}, ok
}

func (d directory) KnownCustomer(string) bool { return true }

// fixedPools spreads calls evenly over pools that all have one owner.
type fixedPools struct {
	ids   []string
	owner string
	next  atomic.Uint64
}

func (p *fixedPools) Choose(_ time.Time, _ *proxy.Call, tried []proxy.FailedAttempt) (proxy.Pool, bool) {
	if len(tried) > 0 {
		return proxy.Pool{}, false
	}
	n := p.next.Add(1) % uint64(len(p.ids))
	return proxy.Pool{ID: p.ids[n], Owner: p.owner}, true
}

func (*fixedPools) UpdateSummary(time.Time, proxy.Pool, string) {}

// noRetries allows no attempt beyond the first, so that each call is counted once.
type noRetries struct{}

func (noRetries) MayRetry(time.Time, *proxy.Call, proxy.FailedAttempt) bool { return false }

func (noRetries) HedgeAfter(time.Time, *proxy.Call) (time.Duration, bool) { return 0, false }

func (noRetries) MayHedge(time.Time, *proxy.Call) bool { return false }

func (noRetries) Observe(time.Time, *proxy.Call, proxy.Outcome, time.Duration) {}

type noPoison struct{}

func (noPoison) Blocked(time.Time, string) bool { return false }

func (noPoison) ConnectionLost(time.Time, string, string) {}

// registrar adapts the registry for first attempts; the measurements send no resends.
type registrar struct{ registry *idempotency.Registry }

func (r registrar) Begin(now time.Time, c *proxy.Call) proxy.Verdict {
	if r.registry.Begin(now, c.RequestID).Kind == idempotency.Run {
		return proxy.Verdict{Kind: proxy.VerdictRun}
	}
	return proxy.Verdict{Kind: proxy.VerdictUnknown}
}

func (r registrar) Finish(now time.Time, c *proxy.Call, a proxy.Answer) {
	r.registry.Finish(now, c.RequestID, adapter.RecordedOutcome(a))
}

// slots grants upstreams of the pools that the process owns, each under its own lock as in package entry.
type slots map[string]*ownedPool

type ownedPool struct {
	mu      sync.Mutex
	pool    *dispatch.Pool
	nextID  uint64
	waiting map[uint64]chan<- any
	granted map[uint64]time.Time
}

func newOwnedPool(spec dispatch.Spec) *ownedPool {
	o := &ownedPool{
		pool:    dispatch.New(spec, rand.New(rand.NewSource(1))), //nolint:gosec // spreads probes only
		waiting: map[uint64]chan<- any{}, granted: map[uint64]time.Time{},
	}
	now := time.Now()
	o.pool.SetConfirmed(now, now.Add(farFuture))
	return o
}

func (o *ownedPool) act(now time.Time, ev dispatch.Events) {
	for _, g := range ev.Grants {
		o.granted[g.RequestID] = now
		o.waiting[g.RequestID] <- g
		delete(o.waiting, g.RequestID)
	}
	for _, r := range ev.Refusals {
		o.waiting[r.RequestID] <- adapter.Refusal(r)
		delete(o.waiting, r.RequestID)
	}
}

func (o *ownedPool) submit(c *proxy.Call) (uint64, <-chan any) {
	ch := make(chan any, 1)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.nextID++
	o.waiting[o.nextID] = ch
	o.act(now, o.pool.Submit(now, adapter.Request(o.nextID, c)))
	return o.nextID, ch
}

// tick ends expired calls. Probes are left out: their rate is fixed by the policy, not by the load.
func (o *ownedPool) tick(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ev, _ := o.pool.Tick(now)
	o.act(now, ev)
}

func (s slots) Acquire(ctx context.Context, pool string, c *proxy.Call) (proxy.Grant, error) {
	o := s[pool]
	if o == nil {
		return proxy.Grant{}, &proxy.Refusal{Reason: proxy.ReasonWrongOwner}
	}
	id, ch := o.submit(c)
	select {
	case d := <-ch:
		if refusal, refused := d.(*proxy.Refusal); refused {
			return proxy.Grant{}, refusal
		}
		g, ok := d.(dispatch.Grant)
		if !ok {
			return proxy.Grant{}, errors.New("unexpected decision")
		}
		return proxy.Grant{ID: id, Pool: pool, Upstream: g.Upstream, Address: g.Address, Cold: g.Cold}, nil
	case <-ctx.Done():
		o.mu.Lock()
		defer o.mu.Unlock()
		now := time.Now()
		delete(o.waiting, id)
		delete(o.granted, id)
		o.act(now, o.pool.Cancel(now, id))
		return proxy.Grant{}, ctx.Err()
	}
}

func (s slots) Finish(g proxy.Grant, _ *proxy.Call, r proxy.Result) {
	o := s[g.Pool]
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	outcome := adapter.Outcome(now, o.granted[g.ID], r)
	delete(o.granted, g.ID)
	o.act(now, o.pool.Finish(now, g.ID, outcome))
}

func (slots) Summary(string) string { return "slots=75,in-flight=60,queued=0,wait-us=0" }
