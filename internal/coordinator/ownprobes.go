package coordinator

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/probeplan"
)

// probeRun is the probing of one upstream.
type probeRun struct {
	target  ProbeTarget
	service string
	cancel  context.CancelFunc // nil while only a follower probes the upstream
}

func (p *probeRun) stop() {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
}

// configureProbes starts to probe new upstreams, stops to probe those that are gone, and reports whether there were any.
func (l *leadership) configureProbes(wanted map[string]ProbeTarget, services map[string]string) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, p := range l.probes {
		if wanted[id] != p.target {
			p.stop()
			delete(l.probes, id)
			l.coordinator.probeWakes.Delete(id)
			changed = true
		}
	}
	for id, target := range wanted {
		if l.probes[id] == nil && !l.stopping {
			l.node.probed.Store(int64(len(l.probes) + 1))
			p := &probeRun{target: target, service: services[id]}
			l.probes[id] = p
			l.runProbe(p)
			changed = true
		}
	}
	return changed
}

// runProbe starts to probe an upstream. The caller holds l.mu.
func (l *leadership) runProbe(run *probeRun) {
	ctx, cancel := context.WithCancel(context.Background())
	run.cancel = cancel
	target, service := run.target, run.service
	target.Wake = l.coordinator.probeWake(target.ID)
	go l.node.o.Probe(ctx, target, func(p placement.Probe) {
		l.node.o.Metrics.probed(p)
		if p.Leaving {
			l.node.markLeaving(LeavingUpstream{Upstream: target.ID, Born: target.Born})
		}
		if now := time.Now(); l.delegation.ownResult(now, p) {
			l.coordinator.Probe(now, service, p)
		}
	})
}

// setOwnProbes starts and ends the leader's own probing of upstreams.
func (l *leadership) setOwnProbes(orders []probeplan.Own) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, o := range orders {
		p := l.probes[o.Upstream]
		switch {
		case p == nil:
		case !o.Probe:
			p.stop()
		case p.cancel == nil:
			l.runProbe(p)
		}
	}
}

// probeTargets returns the upstreams of a view for the plan of the probes.
func probeTargets(v *gateway.View) []probeplan.Target {
	out := make([]probeplan.Target, 0, len(v.Upstreams))
	for id, u := range v.Upstreams {
		if s, ok := v.Config.Services[u.Service]; ok {
			out = append(out, probeplan.Target{ID: id, Service: u.Service, DataCentre: u.DataCentre, Address: u.Address, HealthPath: s.HealthPath, Born: u.Born})
		}
	}
	return out
}
