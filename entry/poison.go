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
	// lossGatherTime is the time within which lost connections of one upstream count as one event.
	lossGatherTime = 30 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt after a lost connection. If the upstream accepts it, the upstream
	// didn't crash.
	crashCheckTimeout = 500 * time.Millisecond
	// crashPropagationTime is the time in which a crash becomes known to the other entries. Retries of the requests that
	// were running at the crash wait for it.
	crashPropagationTime = 100 * time.Millisecond
)

// poisonGuard connects the detector of poison requests, which crash upstreams, with the proxy and the peers.
type poisonGuard struct {
	e             *Entry
	detector      *poison.Detector
	evidenceUntil atomic.Int64 // when the last evidence expires, Unix nanoseconds

	mu   sync.Mutex
	lost map[string]*lostConnections // by upstream, until the crash check begins
	// pending holds the crash checks in progress, by the digest of the requests that wait for them.
	pending      map[string]*lostConnections
	pendingCount atomic.Int64 // length of pending
}

// lostConnections are the requests that ran when connections to one upstream were lost.
type lostConnections struct {
	running   []poison.Fingerprints
	confirmed chan struct{} // closed when the crash check is complete
}

func newPoisonGuard(e *Entry) *poisonGuard {
	return &poisonGuard{e: e, detector: poison.NewDetector(), lost: map[string]*lostConnections{}, pending: map[string]*lostConnections{}}
}

func digest(fingerprint string) poison.Fingerprints {
	sum := sha256.Sum256([]byte(fingerprint))
	return poison.Fingerprints{Content: hex.EncodeToString(sum[:16])}
}

// hasEvidence reports whether there may be unexpired evidence. Without any, calls skip the detector and its shared lock.
func (g *poisonGuard) hasEvidence(now time.Time) bool { return now.UnixNano() < g.evidenceUntil.Load() }

// Blocked implements proxy.Poison.
func (g *poisonGuard) Blocked(now time.Time, fingerprint string) bool {
	if g.pendingCount.Load() > 0 {
		g.mu.Lock()
		l := g.pending[digest(fingerprint).Content]
		g.mu.Unlock()
		if l != nil {
			<-l.confirmed // after at most lossGatherTime, crashCheckTimeout and crashPropagationTime
			now = time.Now()
		}
	}
	if !g.hasEvidence(now) {
		return false
	}
	_, blocked := g.detector.Blocked(now, digest(fingerprint))
	return blocked
}

func (g *poisonGuard) recordSuccess(c *proxy.Call) {
	if g.hasEvidence(time.Now()) {
		g.detector.Succeeded(digest(c.Fingerprint()))
	}
}

// ConnectionLost implements proxy.Poison. The loss counts only once a crash of the upstream is confirmed.
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
	g.pendingCount.Store(int64(len(g.pending)))
	g.mu.Unlock()
	if !known {
		g.e.background.Add(1)
		go func() { defer g.e.background.Done(); g.confirmCrash(upstream, l) }()
	}
}

// confirmCrash tries to connect to the upstream, and records a crash if the connection fails other than by a timeout.
func (g *poisonGuard) confirmCrash(upstream string, l *lostConnections) {
	defer g.releaseWaiting(l)
	time.Sleep(lossGatherTime)
	g.mu.Lock()
	running := l.running
	delete(g.lost, upstream)
	g.mu.Unlock()
	conf := g.e.conf.Load()
	u, ok := conf.snap.Upstream(upstream)
	if !ok {
		return
	}
	o, ok := g.e.ownership.poolsByAddress.Load(u.Address)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := o.(*ownedPool).transport.CheckConnect(ctx, u.Address)
	var failed *transport.Error
	if !errors.As(err, &failed) || failed.Kind != transport.ConnectFailed || failed.Cause == transport.CauseDeadline {
		return
	}
	g.recordCrash(u.Service, upstream, running)
	time.Sleep(crashPropagationTime)
}

// releaseWaiting unblocks the requests that wait for the crash check.
func (g *poisonGuard) releaseWaiting(l *lostConnections) {
	g.mu.Lock()
	for _, d := range l.running {
		if g.pending[d.Content] == l {
			delete(g.pending, d.Content)
		}
	}
	g.pendingCount.Store(int64(len(g.pending)))
	g.mu.Unlock()
	close(l.confirmed)
}

func (g *poisonGuard) recordCrash(service, upstream string, running []poison.Fingerprints) {
	now := time.Now()
	g.evidenceUntil.Store(now.Add(poison.EvidenceTTL).UnixNano())
	list := g.detector.RecordCrash(now, service, upstream, running)
	g.e.log.Warn().Str("service", service).Str("upstream", upstream).Int("requests", len(running)).Msg("upstream crashed")
	for _, f := range list {
		g.e.node.AddFact(wire.Envelope{Type: wire.EnvelopeTypePoisonFact, PoisonFact: &wire.PoisonFact{
			Service: f.Service, Fingerprint: f.Fingerprint, Upstream: f.Upstream, AtMs: int(f.AtMs),
		}})
	}
}

// recordFact records a crash that another entry reported. A fact that this entry raised itself has no effect.
func (g *poisonGuard) recordFact(f wire.PoisonFact) {
	now := time.Now()
	g.evidenceUntil.Store(now.Add(poison.EvidenceTTL).UnixNano())
	g.detector.Observe(now, poison.Fact{Service: f.Service, Fingerprint: f.Fingerprint, Upstream: f.Upstream, AtMs: int64(f.AtMs)})
}
