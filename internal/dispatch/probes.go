package dispatch

import "time"

// probeInterval is the shortest time between two probes of an upstream, and the time without calls before one is due.
const probeInterval = time.Second

// probeDue reports whether the upstream is to be probed now, and counts the probe. Only idle upstreams are probed, so
// that a cold one never runs a probe beside its calls.
func (p *Pool) probeDue(now time.Time, u *upstream) bool {
	if p.spec.Closed || u.spec.Leaving || u.inFlight > 0 || !now.Before(p.confirmedUntil) {
		return false
	}
	if now.Sub(u.lastCall) < probeInterval || now.Sub(u.lastProbe) < probeInterval {
		return false
	}
	// The spread keeps an owner of many idle upstreams from probing all of them at the same moment.
	u.lastProbe = now.Add(time.Duration(p.rng.Int63n(int64(probeInterval / 8))))
	return true
}

// ProbeResult records the result of a probe that Tick asked for.
func (p *Pool) ProbeResult(now time.Time, upstream string, ok bool, latency time.Duration, rep *LoadReport) Events {
	p.begin()
	u := p.byName[upstream]
	if u == nil {
		return p.ev
	}
	u.probeFailed = !ok
	if ok {
		u.unreachable, u.refusedConns = time.Time{}, 0
		p.observeReport(now, u, rep, 0)
		u.observeSettled(rep)
	} else {
		p.becomeCold(u, "probe failed")
		// A failed probe alone keeps no calls away: health endpoints mislead.
		if u.refusedConns > 0 {
			p.observeRefusedConnection(now, u)
		}
	}
	p.relink(u)
	p.dispatchQueued(now)
	return p.ev
}
