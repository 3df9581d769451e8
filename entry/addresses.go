package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/discovery"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/inventory"
)

// AddressesPath is the path on the callers' port that lists the entry addresses to use for a service.
const AddressesPath = "/.well-known/boragehinge/addresses"

// serveAddresses answers a request for AddressesPath. It fails with 503 until the configuration is ready.
func (e *Entry) serveAddresses(w http.ResponseWriter, r *http.Request) {
	conf := e.conf.Load()
	if ok, why := e.configurationReady(); !ok || conf == nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "not ready: "+why, http.StatusServiceUnavailable)
		return
	}
	view := e.node.View()
	near := r.URL.Query().Get("dataCentre")
	if _, known := conf.snap.DataCentre(near); !known {
		near = e.settings.DataCentre
	}
	answer, ok := discovery.Addresses(discovery.Input{
		Service: r.URL.Query().Get("service"), Near: near, Snapshot: conf.snap, Members: e.discoverable(view.Members, conf),
		Owner: func(id inventory.PoolID) (string, bool) {
			m, ok := view.Owners.Owner(membership.PoolID(id))
			return m.Incarnation, ok
		},
		Keep: e.opt.addressKeep,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))) //nolint:gosec // only distributes callers over the entries
	if !ok {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	w.Header().Set("Cache-Control", "no-store")
	writeJSON(w, answer)
}

// discoverable converts the members for discovery.Addresses. A member of this data centre that reports no configuration
// version isn't ready. The versions of members in other data centres aren't known, so those members count as ready.
func (e *Entry) discoverable(members []membership.Member, conf *configuration) []discovery.Member {
	now := time.Now()
	list := make([]discovery.Member, 0, len(members))
	for _, m := range members {
		d := discovery.Member{Incarnation: m.Incarnation, Address: m.CallerAddress, DataCentre: m.DataCentre, Leaving: m.Leaving}
		if _, urgent := conf.leaving[m.DataCentre]; urgent {
			d.Overloaded = true // advertised only when no entry in another data centre is available
		}
		if m.Incarnation == e.Incarnation() {
			d.Window, d.WindowKnown = int64(e.registrar.window(now).Window), true
			d.Leaving = d.Leaving || e.state.Load() != running
		} else {
			d.Window, d.WindowKnown = e.windows.estimate(now, m.Incarnation)
			d.Unready = m.Version == 0 && m.DataCentre == e.settings.DataCentre
		}
		list = append(list, d)
	}
	return list
}
