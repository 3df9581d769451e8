package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/poison"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/transport"
	"boragehinge.example/boragehinge/internal/wire"
)

const (
	// gatherLost is the time in which lost connections of one upstream count as one event.
	gatherLost = 30 * time.Millisecond
	// A connection that can be opened again within this time was merely cut.
	confirmTime = 500 * time.Millisecond
	// spreadTime is the time in which the other entries learn of a crash. Requests that crashed an upstream wait for it.
	spreadTime = 100 * time.Millisecond
)

// poisonGuard connects the detector of requests that crash upstreams with the proxy and the peers.
type poisonGuard struct {
	e        *Entry
	detector *poison.Detector
	evidence atomic.Int64 // end of the time in which there may be evidence, Unix nanoseconds

	mu   sync.Mutex
	lost map[string]*lostConnections // by upstream, since the last lost connection was noticed
	// pending has the confirmations that a request waits for, by its digest.
	pending map[string]*lostConnections
	waiting atomic.Int64 // length of pending
}

// lostConnections are the requests that ran when connections to one upstream were lost.
type lostConnections struct {
	running   []poison.Fingerprints
	confirmed chan struct{} // closed when it is known whether the upstream crashed
}

func newPoisonGuard(e *Entry) *poisonGuard {
	return &poisonGuard{e: e, detector: poison.NewDetector(), lost: map[string]*lostConnections{}, pending: map[string]*lostConnections{}}
}

func digest(fingerprint string) poison.Fingerprints {
	sum := sha256.Sum256([]byte(fingerprint))
	return poison.Fingerprints{Content: hex.EncodeToString(sum[:16])}
}

// active reports whether there may be evidence. Without any, calls don't touch the detector, whose lock they share.
func (g *poisonGuard) active(now time.Time) bool { return now.UnixNano() < g.evidence.Load() }

// Blocked implements proxy.Poison.
func (g *poisonGuard) Blocked(now time.Time, fingerprint string) bool {
	if g.waiting.Load() > 0 {
		g.mu.Lock()
		l := g.pending[digest(fingerprint).Content]
		g.mu.Unlock()
		if l != nil {
			<-l.confirmed // at most gatherLost, confirmTime and spreadTime
			now = time.Now()
		}
	}
	if !g.active(now) {
		return false
	}
	_, blocked := g.detector.Blocked(now, digest(fingerprint))
	return blocked
}

func (g *poisonGuard) succeeded(c *proxy.Call) {
	if g.active(time.Now()) {
		g.detector.Succeeded(digest(c.Fingerprint()))
	}
}

// ConnectionLost implements proxy.Poison. The loss counts only once the upstream proves to be gone.
func (g *poisonGuard) ConnectionLost(_ time.Time, fingerprint, upstream string) {
	d := digest(fingerprint)
	g.mu.Lock()
	l, known := g.lost[upstream]
	if !known {
		l = &lostConnections{confirmed: make(chan struct{})}
		g.lost[upstream] = l
	}
	l.running = append(l.running, d)
	g.pending[d.Content] = l
	g.waiting.Store(int64(len(g.pending)))
	g.mu.Unlock()
	if !known {
		g.e.background.Add(1)
		go func() { defer g.e.background.Done(); g.confirm(upstream, l) }()
	}
}

// confirm tries to connect to the upstream, and counts a crash if it refuses.
func (g *poisonGuard) confirm(upstream string, l *lostConnections) {
	defer g.settled(l)
	time.Sleep(gatherLost)
	g.mu.Lock()
	running := l.running
	delete(g.lost, upstream)
	g.mu.Unlock()
	conf := g.e.conf.Load()
	u, ok := conf.snap.Upstream(upstream)
	if !ok {
		return
	}
	o, ok := g.e.ownership.byAddress.Load(u.Address)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTime)
	defer cancel()
	err := o.(*ownedPool).transport.CheckConnect(ctx, u.Address)
	var failed *transport.Error
	if !errors.As(err, &failed) || failed.Kind != transport.ConnectFailed || failed.Cause == transport.CauseDeadline {
		return
	}
	g.crashed(u.Service, upstream, running)
	time.Sleep(spreadTime)
}

// settled lets the requests go on that wait for the confirmation.
func (g *poisonGuard) settled(l *lostConnections) {
	g.mu.Lock()
	for _, d := range l.running {
		if g.pending[d.Content] == l {
			delete(g.pending, d.Content)
		}
	}
	g.waiting.Store(int64(len(g.pending)))
	g.mu.Unlock()
	close(l.confirmed)
}

func (g *poisonGuard) crashed(service, upstream string, running []poison.Fingerprints) {
	now := time.Now()
	g.evidence.Store(now.Add(poison.EvidenceTTL).UnixNano())
	list := g.detector.RecordCrash(now, service, upstream, running)
	g.e.log.Warn().Str("service", service).Str("upstream", upstream).Int("requests", len(running)).Msg("upstream crashed")
	for _, f := range list {
		g.e.node.AddFact(wire.Envelope{Type: wire.EnvelopeTypePoisonFact, PoisonFact: &wire.PoisonFact{
			Service: f.Service, Fingerprint: f.Fingerprint, Upstream: f.Upstream, AtMs: int(f.AtMs),
		}})
	}
}

// observe takes a fact of another entry. An own one that comes back has no effect.
func (g *poisonGuard) observe(f wire.PoisonFact) {
	now := time.Now()
	g.evidence.Store(now.Add(poison.EvidenceTTL).UnixNano())
	g.detector.Observe(now, poison.Fact{Service: f.Service, Fingerprint: f.Fingerprint, Upstream: f.Upstream, AtMs: int64(f.AtMs)})
}
