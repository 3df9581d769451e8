package entry

import (
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/adapter"
	"boragehinge.example/boragehinge/internal/idempotency"
	"boragehinge.example/boragehinge/internal/proxy"
	"boragehinge.example/boragehinge/inventory"
)

// reasonHomeUnreachable is the reason for refusing a first attempt when no live entry of the ID's home data centre is known.
const reasonHomeUnreachable proxy.Reason = "home-unreachable"

// homeDataCentres selects the data centre that registers an opaque ID. The choice depends only on the data centres of the
// inventory, so all entries agree on it. Otherwise a call resent to another data centre could run twice.
type homeDataCentres struct {
	mu        sync.Mutex
	names     []string
	previous  []string
	changedAt time.Time // when names replaced previous
}

// update sets the data centres of a new configuration.
func (h *homeDataCentres) update(now time.Time, list []inventory.DataCentre) {
	names := make([]string, 0, len(list))
	for _, dc := range list {
		names = append(names, dc.Name)
	}
	slices.Sort(names)
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.Equal(names, h.names) {
		return
	}
	if h.names != nil {
		h.previous, h.changedAt = h.names, now
	}
	h.names = names
}

// homeOf returns the home data centre of an ID, and whether the ID had another home within the retention period.
func (h *homeDataCentres) homeOf(now time.Time, id string) (home string, moved bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	home = idempotency.Preferred(id, h.names)
	moved = h.previous != nil && now.Sub(h.changedAt) < retention && idempotency.Preferred(id, h.previous) != home
	return home, moved
}

// resolveRemoteHome returns the verdict for an opaque ID that another data centre registers or whose home changed within the
// retention period. remote is false if this data centre registers the ID.
func (r *registrar) resolveRemoteHome(now time.Time, c *proxy.Call) (v proxy.Verdict, remote bool) {
	home, moved := r.dataCentres.homeOf(now, c.RequestID)
	switch {
	case moved && !c.FirstAttempt:
		return proxy.Verdict{Kind: proxy.VerdictUnknown}, true
	case home == r.e.settings.DataCentre:
		return proxy.Verdict{}, false
	}
	var members []string
	for _, m := range r.e.node.View().Members {
		if m.DataCentre == home && !m.Leaving {
			members = append(members, m.Incarnation)
		}
	}
	if len(members) > 0 {
		return r.remote(idempotency.Preferred(c.RequestID, members)), true
	}
	if c.FirstAttempt {
		return adapter.Refused(reasonHomeUnreachable, time.Second), true
	}
	return proxy.Verdict{Kind: proxy.VerdictUnknown}, true
}
