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

// handoverKept is the time for which the state of a pool counts after its previous owner sent it: views differ for less.
const handoverKept = 5 * time.Second

// poolHandovers holds the states that previous owners sent for pools that aren't open here yet.
type poolHandovers struct {
	mu    sync.Mutex
	pools map[string]sentHandover
}

type sentHandover struct {
	state dispatch.Handover
	at    time.Time
}

func (h *poolHandovers) put(now time.Time, pool string, state dispatch.Handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools == nil {
		h.pools = map[string]sentHandover{}
	}
	for key, s := range h.pools {
		if now.Sub(s.at) > handoverKept {
			delete(h.pools, key)
		}
	}
	h.pools[pool] = sentHandover{state, now}
}

func (h *poolHandovers) take(now time.Time, pool string) (dispatch.Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.pools[pool]
	delete(h.pools, pool)
	return s.state, ok && now.Sub(s.at) <= handoverKept
}

// handoverOption returns what is known about the time before this entry owned the pool.
func (e *Entry) handoverOption(now time.Time, pool string) dispatch.Option {
	if state, ok := e.poolStates.take(now, pool); ok {
		return dispatch.WithHandover(now, state)
	}
	return takeover(now)
}

// sendState sends the state of a pool that was lost to its new owner: which upstreams are cold, draining or ejected, the
// calls that still run, and the levels of the limits.
func (o *ownedPool) sendState(now time.Time) {
	owner, ok := o.e.node.View().Owners.Owner(membership.PoolID(o.id))
	if !ok || owner.Incarnation == o.e.Incarnation() {
		return
	}
	o.mu.Lock()
	state := o.pool.Handover(now)
	o.mu.Unlock()
	o.e.background.Add(1)
	go func() {
		defer o.e.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		defer cancel()
		path := pathPoolState + "?pool=" + url.QueryEscape(o.key)
		if err := o.e.askPeer(ctx, owner.PeerAddress, http.MethodPost, path, state, nil); err != nil {
			o.e.log.Warn().Err(err).Str("pool", o.key).Str("to", owner.Host).Msg("pool state not handed over")
		}
	}()
}

// takeState takes the state of a pool from its previous owner. A pool that is open already was opened a moment ago.
func (e *Entry) takeState(now time.Time, pool string, state dispatch.Handover) {
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
			e.takeState(time.Now(), r.URL.Query().Get("pool"), state)
			writeJSON(w, struct{}{})
		}
	})
}
