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
	// retention is the time for which records are kept.
	retention = idempotency.DefaultWindow * idempotency.DefaultRetainWindows
	// askTimeout bounds the question to one earlier home.
	askTimeout = time.Second
	// reasonUnconfirmed is the reason of a first attempt that is refused because its home has no confirmed view.
	reasonUnconfirmed proxy.Reason = "view-unconfirmed"
)

// registrar keeps the at-most-once record of this entry.
type registrar struct {
	e        *Entry
	registry *idempotency.Registry
	homes    *idempotency.Homes
	// dataCentres chooses the data centre of opaque IDs, homes the entry of the own one.
	dataCentres homeDataCentres
	adopted     atomic.Bool // the members that were lost within the retention are known

	moved atomic.Pointer[map[string]movedRecords] // by incarnation that stopped as planned; changes copy it

	mu   sync.Mutex
	asks map[string]*question
}

// movedRecords says who holds the records of a stopped incarnation.
type movedRecords struct {
	to string
	at time.Time
}

// question is a question to the earlier homes of an opaque ID.
type question struct {
	done  chan struct{}
	state wire.RecordAnswerState // valid once done is closed
}

func newRegistrar(e *Entry) *registrar {
	r := &registrar{
		e: e, registry: e.newRegistry(), homes: idempotency.NewHomes(e.Incarnation(), retention),
		asks: map[string]*question{},
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

// beginOpaque registers an ID that the caller made up, at its home.
func (r *registrar) beginOpaque(now time.Time, c *proxy.Call) proxy.Verdict {
	if _, known := r.registry.Lookup(now, c.RequestID); known {
		return r.verdict(r.registry.Begin(now, c.RequestID))
	}
	if v, elsewhere := r.otherDataCentre(now, c); elsewhere {
		return v
	}
	place := r.homes.Place(now, c.RequestID, c.FirstAttempt)
	if place.Home != r.e.Incarnation() {
		return r.elsewhere(place.Home)
	}
	if !c.FirstAttempt && (place.Unknown || !r.knowsLosses(now)) {
		return proxy.Verdict{Kind: proxy.VerdictUnknown}
	}
	if !now.Before(r.e.node.View().ConfirmedUntil) {
		// Another entry may take itself for the home. An earlier attempt may have run there.
		if !c.FirstAttempt {
			return proxy.Verdict{Kind: proxy.VerdictUnknown}
		}
		return adapter.Refused(reasonUnconfirmed, time.Second)
	}
	if len(place.Ask) > 0 && !c.FirstAttempt {
		if v, ask := r.ask(c.RequestID, place.Ask); ask {
			return v
		}
	}
	return r.verdict(r.registry.Begin(now, c.RequestID))
}

// knowsLosses reports whether this entry knows which members were lost within the retention.
func (r *registrar) knowsLosses(now time.Time) bool {
	return r.adopted.Load() || now.Sub(r.e.started) >= retention
}

// ask puts the question to the earlier homes, or returns false once all of them have no record.
func (r *registrar) ask(id string, homes []string) (v proxy.Verdict, pending bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.asks[id]
	if q == nil {
		q = &question{done: make(chan struct{})}
		r.asks[id] = q
		r.e.background.Add(1)
		go func() {
			defer r.e.background.Done()
			q.state = r.askAll(id, homes)
			close(q.done)
		}()
	}
	select {
	case <-q.done:
	default:
		return proxy.Verdict{Kind: proxy.VerdictWait, Done: q.done}, true
	}
	delete(r.asks, id)
	switch q.state {
	case wire.RecordAnswerStateNone:
		return proxy.Verdict{}, false
	case wire.RecordAnswerStateDone:
		return proxy.Verdict{Kind: proxy.VerdictReplay, Answer: &proxy.Answer{Outcome: proxy.Done, Reason: proxy.ReasonResultGone, Status: http.StatusConflict}}, true
	}
	return proxy.Verdict{Kind: proxy.VerdictUnknown}, true
}

func (r *registrar) askAll(id string, homes []string) wire.RecordAnswerState {
	for _, incarnation := range homes {
		m, ok := r.e.memberOf(incarnation)
		if !ok {
			return wire.RecordAnswerStateUnknown
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		var a wire.RecordAnswer
		err := r.e.askPeer(ctx, m.PeerAddress, http.MethodPost, pathLookup, wire.RecordQuestion{ID: id}, &a)
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

// lookup answers the question of another entry that is about to register the ID.
func (r *registrar) lookup(now time.Time, id string) wire.RecordAnswerState {
	v, known := r.registry.Lookup(now, id)
	switch {
	case known && (v.Kind == idempotency.Replay || v.Kind == idempotency.DoneWithoutAnswer):
		return wire.RecordAnswerStateDone
	case known:
		return wire.RecordAnswerStateUnknown
	case r.homes.Place(now, id, false).Home == r.e.Incarnation():
		// Both entries take themselves for the home. This one may still run the call.
		return wire.RecordAnswerStateUnknown
	}
	return wire.RecordAnswerStateNone
}

func (r *registrar) elsewhere(incarnation string) proxy.Verdict {
	moved := *r.moved.Load()
	for range len(moved) {
		next, ok := moved[incarnation]
		if !ok {
			break
		}
		incarnation = next.to
	}
	m, ok := r.e.memberOf(incarnation)
	if !ok || incarnation == r.e.Incarnation() {
		return proxy.Verdict{Kind: proxy.VerdictUnknown}
	}
	return proxy.Verdict{Kind: proxy.VerdictForward, Peer: m.PeerAddress}
}

// verdict maps the verdicts of the registry to those of the proxy.
func (r *registrar) verdict(v idempotency.Verdict) proxy.Verdict {
	return adapter.Verdict(v, r.elsewhere)
}

// Finish implements proxy.Registrar.
func (r *registrar) Finish(now time.Time, c *proxy.Call, a proxy.Answer) {
	r.registry.Finish(now, c.RequestID, adapter.RecordedOutcome(a))
}

// tick follows the members of the data centre and forgets what is older than the retention.
func (r *registrar) tick(now time.Time) {
	var live []string
	for _, m := range r.e.node.View().Members {
		if m.DataCentre == r.e.set.DataCentre {
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
	for id, q := range r.asks {
		select {
		case <-q.done:
			// Its caller left; another one asks again.
			delete(r.asks, id)
		default:
		}
	}
}
