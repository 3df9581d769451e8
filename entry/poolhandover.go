package entry

import (
	"context"
	"net/http"
	"net/url"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/inventory"
)

// handoverStateTTL is the time for which a pool state from a previous owner is valid. The views of two entries differ for less.
const handoverStateTTL = 5 * time.Second

// poolHandovers holds the states that previous owners sent for pools that this entry hasn't opened yet.
type poolHandovers struct {
	mu    sync.Mutex
	pools map[string]receivedHandover
}

type receivedHandover struct {
	state dispatch.Handover
	at    time.Time
}

func (h *poolHandovers) put(now time.Time, pool string, state dispatch.Handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools == nil {
		h.pools = map[string]receivedHandover{}
	}
	for key, s := range h.pools {
		if now.Sub(s.at) > handoverStateTTL {
			delete(h.pools, key)
		}
	}
	h.pools[pool] = receivedHandover{state, now}
}

func (h *poolHandovers) take(now time.Time, pool string) (dispatch.Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.pools[pool]
	delete(h.pools, pool)
	return s.state, ok && now.Sub(s.at) <= handoverStateTTL
}

// handoverOptions returns the option with the state from the pool's previous owner, or those for a takeover if there is none.
func (e *Entry) handoverOptions(now time.Time, pool string) []dispatch.Option {
	if state, ok := e.poolStates.take(now, pool); ok {
		return []dispatch.Option{dispatch.WithHandover(now, state)}
	}
	options := []dispatch.Option{takeoverOption(now)}
	if until := e.joining.end(e.started); now.Before(until) {
		options = append(options, dispatch.WithPendingHandover(until))
	}
	return options
}

// sendHandoverState sends the pool's state to its new owner: which upstreams are cold, draining or ejected, the calls that
// are still running, and the token levels of the rate limits.
func (o *ownedPool) sendHandoverState(now time.Time) {
	owner, ok := o.e.node.View().Owners.Owner(membership.PoolID(o.id))
	if !ok || owner.Incarnation == o.e.Incarnation() {
		return
	}
	o.mu.Lock()
	unknown := o.pool.AwaitsHandover(now)
	state := o.pool.Handover(now)
	o.mu.Unlock()
	if unknown {
		return // it would replace what the owner knows about running calls and draining upstreams
	}
	o.e.background.Add(1)
	go func() {
		defer o.e.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		path := pathPoolState + "?pool=" + url.QueryEscape(o.key)
		if err := o.e.sendPeerRequest(ctx, owner.PeerAddress, http.MethodPost, path, state, nil); err != nil {
			o.e.log.Warn().Err(err).Str("pool", o.key).Str("to", owner.Host).Msg("failed to hand over pool state")
		}
	}()
}

// receivePoolState receives the state of a pool from its previous owner. It is applied at once if the pool is already open,
// and stored otherwise.
func (e *Entry) receivePoolState(now time.Time, pool string, state dispatch.Handover) {
	id, err := inventory.ParsePoolID(pool)
	if err != nil {
		return
	}
	conf, o := e.conf.Load(), e.ownership.find(pool)
	if conf == nil || o == nil || o.lostAt.Load() != 0 {
		e.poolStates.put(now, pool, state)
		return
	}
	if p, ok := conf.snap.Pool(id); ok {
		o.configure(conf, p, dispatch.WithHandover(now, state))
	}
}

func (e *Entry) poolRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST "+pathPoolState, func(w http.ResponseWriter, r *http.Request) {
		var state dispatch.Handover
		if readJSON(w, r, &state) {
			e.receivePoolState(time.Now(), r.URL.Query().Get("pool"), state)
			writeJSON(w, struct{}{})
		}
	})
}
