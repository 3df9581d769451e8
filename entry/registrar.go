package entry

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"boragehinge.example/boragehinge/internal/adapter"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/internal/wire"
)

const (
	// retention is how long at-most-once records are kept.
	retention = idempotency.DefaultWindow * idempotency.DefaultRetainWindows
	// peerRequestTimeout bounds a single request to a peer.
	peerRequestTimeout = time.Second
	// reasonUnconfirmed is the reason for refusing a first attempt while its home has no confirmed membership view.
	reasonUnconfirmed proxy.Reason = "view-unconfirmed"
)

// registrar keeps the at-most-once records of this entry.
type registrar struct {
	e        *Entry
	registry *idempotency.Registry
	homes    *idempotency.Homes
	// dataCentres selects the home data centre of an opaque ID, homes the entry within this data centre.
	dataCentres     homeDataCentres
	memberAgesKnown atomic.Bool // the members lost within the retention period are known

	moved atomic.Pointer[map[string]movedRecords] // by the incarnation that performed a planned stop; copy-on-write

	mu      sync.Mutex
	lookups map[string]*peerLookup
}

// movedRecords identifies the entry that holds the records of a stopped incarnation.
type movedRecords struct {
	to string
	at time.Time
}

// peerLookup is a lookup of an opaque ID at its earlier homes.
type peerLookup struct {
	done  chan struct{}
	state wire.RecordAnswerState // valid once done is closed
}

func newRegistrar(e *Entry) *registrar {
	r := &registrar{
		e: e, registry: e.newRegistry(), homes: idempotency.NewHomes(e.Incarnation(), retention),
		lookups: map[string]*peerLookup{},
	}
	r.moved.Store(&map[string]movedRecords{})
	r.homes.SetMembers(e.started, []string{e.Incarnation()})
	return r
}

// Begin implements proxy.Registrar.
func (r *registrar) Begin(now time.Time, c *proxy.Call) proxy.Verdict {
	id, err := idempotency.ParseID(c.RequestID)
	if err != nil {
		return adapter.Refused(proxy.ReasonInvalid, 0)
	}
	if id.Opaque() {
		return r.beginOpaque(now, c)
	}
	return r.verdict(r.registry.Begin(now, c.RequestID))
}

// beginOpaque registers an opaque ID, one that the caller generated, or forwards the call to the home of the ID.
func (r *registrar) beginOpaque(now time.Time, c *proxy.Call) proxy.Verdict {
	if _, known := r.registry.Lookup(now, c.RequestID); known {
		return r.verdict(r.registry.Begin(now, c.RequestID))
	}
	if v, remote := r.resolveRemoteHome(now, c); remote {
		return v
	}
	place := r.homes.Place(now, c.RequestID, c.FirstAttempt)
	if place.Home != r.e.Incarnation() {
		return r.remote(place.Home)
	}
	if !c.FirstAttempt && (place.Unknown || !r.knowsLostMembers(now)) {
		return proxy.Verdict{Kind: proxy.VerdictUnknown}
	}
	if !now.Before(r.e.node.View().ConfirmedUntil) {
		// Another entry may consider itself the home, and may have run an earlier attempt.
		if !c.FirstAttempt {
			return proxy.Verdict{Kind: proxy.VerdictUnknown}
		}
		return adapter.Refused(reasonUnconfirmed, time.Second)
	}
	if len(place.Ask) > 0 && !c.FirstAttempt {
		if v, earlierVerdict := r.earlierVerdict(c.RequestID, place.Ask); earlierVerdict {
			return v
		}
	}
	return r.verdict(r.registry.Begin(now, c.RequestID))
}

// knowsLostMembers reports whether this entry knows which members were lost within the retention period.
func (r *registrar) knowsLostMembers(now time.Time) bool {
	return r.memberAgesKnown.Load() || now.Sub(r.e.started) >= retention
}

// earlierVerdict returns the verdict that follows from the records at the earlier homes of the ID. It starts a lookup there,
// or joins the one in progress, and returns false once the lookup found that none of them has a record.
func (r *registrar) earlierVerdict(id string, homes []string) (v proxy.Verdict, pending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.lookups[id]
	if q == nil {
		q = &peerLookup{done: make(chan struct{})}
		r.lookups[id] = q
		r.e.background.Add(1)
		go func() {
			defer r.e.background.Done()
			q.state = r.queryHomes(id, homes)
			close(q.done)
		}()
	}
	select {
	case <-q.done:
	default:
		return proxy.Verdict{Kind: proxy.VerdictWait, Done: q.done}, true
	}
	delete(r.lookups, id)
	switch q.state {
	case wire.RecordAnswerStateNone:
		return proxy.Verdict{}, false
	case wire.RecordAnswerStateDone:
		return proxy.Verdict{Kind: proxy.VerdictReplay, Answer: &proxy.Answer{Outcome: proxy.Done, Reason: proxy.ReasonResultGone, Status: http.StatusConflict}}, true
	}
	return proxy.Verdict{Kind: proxy.VerdictUnknown}, true
}

func (r *registrar) queryHomes(id string, homes []string) wire.RecordAnswerState {
	for _, incarnation := range homes {
		m, ok := r.e.memberByIncarnation(incarnation)
		if !ok {
			return wire.RecordAnswerStateUnknown
		}
		ctx, cancel := context.WithTimeout(context.Background(), peerRequestTimeout)
		var a wire.RecordAnswer
		err := r.e.sendPeerRequest(ctx, m.PeerAddress, http.MethodPost, pathLookup, wire.RecordQuestion{ID: id}, &a)
		cancel()
		if err != nil {
			return wire.RecordAnswerStateUnknown
		}
		if a.State != wire.RecordAnswerStateNone {
			return a.State
		}
	}
	return wire.RecordAnswerStateNone
}

// lookup answers the lookup of another entry that is about to register the ID.
func (r *registrar) lookup(now time.Time, id string) wire.RecordAnswerState {
	v, known := r.registry.Lookup(now, id)
	switch {
	case known && (v.Kind == idempotency.Replay || v.Kind == idempotency.DoneWithoutAnswer):
		return wire.RecordAnswerStateDone
	case known:
		return wire.RecordAnswerStateUnknown
	case r.homes.Place(now, id, false).Home == r.e.Incarnation():
		// Both entries consider themselves the home. This one may still run the call.
		return wire.RecordAnswerStateUnknown
	}
	return wire.RecordAnswerStateNone
}

// remote returns the verdict that forwards a call to the entry with the given incarnation, or to the one that took over its
// records. It is unknown if that entry is not a live member or is this one.
func (r *registrar) remote(incarnation string) proxy.Verdict {
	moved := *r.moved.Load()
	for range len(moved) {
		next, ok := moved[incarnation]
		if !ok {
			break
		}
		incarnation = next.to
	}
	m, ok := r.e.memberByIncarnation(incarnation)
	if !ok || incarnation == r.e.Incarnation() {
		return proxy.Verdict{Kind: proxy.VerdictUnknown}
	}
	return proxy.Verdict{Kind: proxy.VerdictForward, Peer: m.PeerAddress}
}

// verdict converts a verdict of the registry to one of the proxy.
func (r *registrar) verdict(v idempotency.Verdict) proxy.Verdict {
	return adapter.Verdict(v, r.remote)
}

// Finish implements proxy.Registrar.
func (r *registrar) Finish(now time.Time, c *proxy.Call, a proxy.Answer) {
	r.registry.Finish(now, c.RequestID, adapter.RecordedOutcome(a))
}

// tick updates the members of the data centre and deletes state older than the retention period.
func (r *registrar) tick(now time.Time) {
	var live []string
	for _, m := range r.e.node.View().Members {
		if m.DataCentre == r.e.settings.DataCentre {
			live = append(live, m.Incarnation)
		}
	}
	r.homes.SetMembers(now, live)
	r.mu.Lock()
	defer r.mu.Unlock()
	for from, m := range *r.moved.Load() {
		if now.Sub(m.at) > retention {
			moved := maps.Clone(*r.moved.Load())
			delete(moved, from)
			r.moved.Store(&moved)
		}
	}
	for id, q := range r.lookups {
		select {
		case <-q.done:
			// The caller that started it is gone; the next one starts a new lookup.
			delete(r.lookups, id)
		default:
		}
	}
}
