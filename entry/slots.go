package entry

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/adapter"
	"boragehinge.example/boragehinge/internal/proxy"
)

// slots grants upstreams of the pools that this entry owns.
type slots struct{ e *Entry }

// Acquire implements proxy.Slots. Calls for a pool that this entry doesn't own in its own view are refused as not run, except
// during the handover period, in which other entries may still send calls here.
func (s slots) Acquire(ctx context.Context, pool string, c *proxy.Call) (proxy.Grant, error) {
	o := s.e.ownership.serving(s.e, pool)
	if o == nil {
		s.e.logRefusal(pool, c, string(proxy.ReasonWrongOwner))
		return proxy.Grant{}, &proxy.Refusal{Reason: proxy.ReasonWrongOwner}
	}
	id, result, err := o.submit(c)
	if err != nil {
		return proxy.Grant{}, err
	}
	select {
	case d := <-result:
		return s.handleDecision(o, id, c, d)
	case <-ctx.Done():
		o.cancel(id)
		o.logDecision(time.Now(), c, "", c.Version, "cancelled", ctx.Err().Error())
		return proxy.Grant{}, ctx.Err()
	}
}

func (s slots) handleDecision(o *ownedPool, id uint64, c *proxy.Call, d decision) (proxy.Grant, error) {
	now := time.Now()
	if d.refusal != nil {
		o.logDecision(now, c, "", c.Version, "refused", string(d.refusal.Reason))
		return proxy.Grant{}, adapter.Refusal(*d.refusal)
	}
	g := d.grant
	s.e.metrics.QueueWait(o.id.Service, c.Class, g.Waited.Seconds())
	o.logDecision(now, c, g.Upstream, c.Version, "granted", "")
	return proxy.Grant{ID: id, Pool: o.key, Upstream: g.Upstream, Address: g.Address, Cold: g.Cold}, nil
}

// Finish implements proxy.Slots.
func (s slots) Finish(g proxy.Grant, c *proxy.Call, r proxy.Result) {
	o := s.e.ownership.find(g.Pool)
	if o == nil {
		return
	}
	o.finish(g.ID, c, r)
	if added := time.Since(c.Received) - r.Total; r.Kind == proxy.ResultSuccess && !c.Retried {
		s.e.metrics.AddedLatency(c.Service, max(added, 0).Seconds())
	}
	if r.Kind == proxy.ResultSuccess {
		s.e.poison.recordSuccess(c)
	}
}

// Summary implements proxy.Slots.
func (s slots) Summary(pool string) string {
	o := s.e.ownership.find(pool)
	if o == nil {
		return ""
	}
	return o.poolLoad(time.Now()).headerValue()
}

func (e *Entry) logRefusal(pool string, c *proxy.Call, reason string) {
	o := ownedPool{e: e, key: pool}
	o.logDecision(time.Now(), c, "", c.Version, "refused", reason)
}
