package dispatch

import "time"

// probeInterval is the minimum time between two probes of an upstream, and the time without calls after which a probe
// is due.
const probeInterval = time.Second

// probeDue reports whether the upstream should be probed now, and if so records the probe. Only idle upstreams are
// probed, so that a cold one never handles a probe and a call concurrently.
func (p *Pool) probeDue(now time.Time, u *upstream) bool {
	if p.spec.Closed || u.spec.Leaving || u.inFlight > 0 || !now.Before(p.confirmedUntil) {
		return false
	}
	if now.Sub(u.lastCall) < probeInterval || now.Sub(u.lastProbe) < probeInterval {
		return false
	}
	// Jitter keeps an owner of many idle upstreams from probing all of them at the same moment.
	u.probeSent = now
	u.lastProbe = now.Add(time.Duration(p.rng.Int63n(int64(probeInterval / 8))))
	return true
}

// ProbeResult records the result of a probe that Tick requested.
func (p *Pool) ProbeResult(now time.Time, upstream string, ok bool, latency time.Duration, rep *LoadReport) Events {
	p.resetEvents()
	u := p.upstreamByName[upstream]
	if u == nil {
		return p.events
	}
	u.probeFailed = !ok
	if ok {
		u.unreachableUntil, u.consecutiveRefusedConns = time.Time{}, 0
		p.observeReport(now, u, receivedReport{LoadReport: rep, probe: true, sentAt: u.probeSent, coldWhenSent: u.cold})
	} else {
		p.becomeCold(u, "probe failed")
		// A failed probe alone does not block calls, because a health endpoint may fail while calls succeed.
		if u.consecutiveRefusedConns > 0 {
			p.observeRefusedConnection(now, u)
		}
	}
	p.updateFreeList(u)
	p.dispatchQueued(now)
	return p.events
}
