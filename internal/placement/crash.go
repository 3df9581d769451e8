package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxCrashes is the number of crashed upstream processes at which a request is refused.
	maxCrashes = 3
	// crashRetryInterval is the time after which a request that is refused for its crashes is tried again, to learn whether it is
	// harmless by now.
	crashRetryInterval = 60 * time.Second
	// maxCrashRetries is the number of such attempts. A request that crashes upstreams may be retried three times at most after its
	// third crash; one is left for a second leader at the same time.
	maxCrashRetries = 2
	// crashMemory is how long a request that has crashed upstreams is remembered after it was last seen.
	crashMemory = 10 * time.Minute
	// maxCrashHistories bounds the requests that are remembered.
	maxCrashHistories = 4096
	// maxSharedCrashes bounds the crash histories that are passed to another pool.
	maxSharedCrashes = 64
	// suspectWindow is the time after a lost connection within which an upstream that is unreachable or has started anew counts as crashed
	// by the request.
	suspectWindow = 600 * time.Millisecond
)

// CrashHistory tells which upstream processes a request has crashed.
type CrashHistory struct {
	Fingerprint uint64            // of the request, see Ask
	Processes   []UpstreamProcess // without duplicates
	Age         time.Duration     // since the last crash, or the last attempt after it
	Retries     int               `cbor:",omitempty"` // attempts since it is refused
}

// UpstreamProcess is one start of an upstream.
type UpstreamProcess struct {
	ID   string
	Born int64 // see UpstreamSpec
}

// crashHistory is a CrashHistory with times instead of its age.
type crashHistory struct {
	processes []UpstreamProcess
	last      time.Time // last crash, or last attempt after it
	lastSeen  time.Time // last crash or arrival
	retries   int       // attempts since it is refused
}

// refused reports whether the request has crashed so many processes that it is refused.
func (h *crashHistory) refused() bool { return len(h.processes) >= maxCrashes }

// mayRetry reports whether a refused request may be tried once more.
func (h *crashHistory) mayRetry(now time.Time) bool {
	return h.retries < maxCrashRetries && now.Sub(h.last) > crashRetryInterval
}

func (h *crashHistory) add(p UpstreamProcess) {
	if !slices.Contains(h.processes, p) {
		h.processes = append(h.processes, p)
	}
}

func (h *crashHistory) expired(now time.Time) bool { return now.Sub(h.lastSeen) > crashMemory }

// suspect is a request that may have crashed the process of an upstream.
type suspect struct {
	fingerprint uint64
	process     UpstreamProcess
	at          time.Time
}

// refusesCrasher reports whether a request is refused because it has crashed several upstreams. Without a leader it isn't tried again,
// because each entry would do so.
func (p *Pool) refusesCrasher(now time.Time, fingerprint uint64) bool {
	h, known := p.crashes[fingerprint]
	if fingerprint == 0 || !known || !h.refused() {
		return false
	}
	h.lastSeen = now
	retry := !p.spec.AllowUnprobed && h.mayRetry(now)
	if retry {
		h.last = now
		h.retries++
		p.decisions.CrashesChanged = true
	}
	p.crashes[fingerprint] = h
	return !retry
}

// crashedUpstream reports whether the request of a call has crashed an upstream. A second attempt could crash another one.
func (p *Pool) crashedUpstream(c *call) bool {
	_, crashed := p.crashes[c.ask.Fingerprint]
	return crashed && c.ask.Fingerprint != 0
}

// trackCrashSuspect records a request whose connection was lost as a possible cause of a crash. It counts as a crash once the
// upstream can't be reached or another process answers. A success clears the history of the request.
func (p *Pool) trackCrashSuspect(now time.Time, c *call, e End) {
	u := c.target
	switch e.Outcome {
	case Success:
		delete(p.crashes, c.ask.Fingerprint)
	case Lost:
		if c.ask.Fingerprint == 0 {
			return
		}
		u.suspects = append(u.suspects, suspect{c.ask.Fingerprint, UpstreamProcess{u.spec.ID, c.born}, now})
		if !u.reachable || u.wrongInstance || u.spec.Born != c.born {
			p.attributeCrash(now, 0, u)
		}
	case ConnectFailed:
		// Without a leader there is no probe that would find the crash.
		p.attributeCrash(now, 0, u)
	default:
	}
}

// attributeCrash attributes the crash of an upstream to the requests whose connections were lost within suspectWindow before. Queued
// copies of a request that is refused from now on are refused too. age is the time since the evidence of the crash, 0 unless a follower has
// reported it.
func (p *Pool) attributeCrash(now time.Time, age time.Duration, u *upstream) {
	p.resolveLosses(now, u, func(time.Time) ProcessEvidence { return ProcessGone })
	refused := false
	for _, s := range u.suspects {
		if now.Add(-age).Sub(s.at) > suspectWindow {
			continue
		}
		h := p.crashes[s.fingerprint]
		h.add(s.process)
		h.last, h.lastSeen = now, now
		p.storeCrashes(s.fingerprint, h)
		p.decisions.CrashesChanged = true
		refused = refused || h.refused()
	}
	u.suspects = u.suspects[:0]
	if refused {
		p.refuseQueuedCrashers(now)
	}
}

func (p *Pool) refuseQueuedCrashers(now time.Time) {
	p.dequeue(func(c *call) bool {
		if !p.refusesCrasher(now, c.ask.Fingerprint) {
			return false
		}
		p.refuse(now, c, ReasonCrashes)
		return true
	})
}

// storeCrashes stores a history. If there are too many, the one that was not seen for the longest time is dropped.
func (p *Pool) storeCrashes(fingerprint uint64, h crashHistory) {
	if _, known := p.crashes[fingerprint]; !known && len(p.crashes) >= maxCrashHistories {
		oldest := fingerprint
		for f, other := range p.crashes {
			if oldest == fingerprint || other.lastSeen.Before(p.crashes[oldest].lastSeen) {
				oldest = f
			}
		}
		delete(p.crashes, oldest)
	}
	p.crashes[fingerprint] = h
}

func (p *Pool) expireCrashes(now time.Time) {
	for f, h := range p.crashes {
		if h.expired(now) {
			delete(p.crashes, f)
		}
	}
}

// Crashes returns the crash histories that another pool of the service needs most: those with the most crashes, and of these the latest.
func (p *Pool) Crashes(now time.Time) []CrashHistory {
	out := make([]CrashHistory, 0, len(p.crashes))
	for f, h := range p.crashes {
		out = append(out, CrashHistory{Fingerprint: f, Processes: slices.Clone(h.processes), Age: now.Sub(h.last), Retries: h.retries})
	}
	slices.SortFunc(out, func(a, b CrashHistory) int {
		crashes := func(h CrashHistory) int { return min(maxCrashes, len(h.Processes)) }
		return cmp.Or(cmp.Compare(crashes(b), crashes(a)), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out[:min(maxSharedCrashes, len(out))]
}

// ReplaceCrashes replaces the crash histories by those of another pool of the service.
func (p *Pool) ReplaceCrashes(now time.Time, histories []CrashHistory) {
	clear(p.crashes)
	p.AdoptCrashes(now, histories)
}

// AdoptCrashes adds crash histories of another pool of the service to those of this one.
func (p *Pool) AdoptCrashes(now time.Time, histories []CrashHistory) {
	for _, adopted := range histories {
		h := p.crashes[adopted.Fingerprint]
		for _, process := range adopted.Processes {
			h.add(process)
		}
		if last := now.Add(-adopted.Age); last.After(h.last) {
			h.last = last
		}
		if h.lastSeen.Before(h.last) {
			h.lastSeen = h.last
		}
		h.retries = max(h.retries, adopted.Retries)
		p.storeCrashes(adopted.Fingerprint, h)
	}
}
