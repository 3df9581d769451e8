package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Homes chooses the entry that registers an opaque ID. It follows the members of one data centre.
type Homes struct {
	self   string
	retain time.Duration

	mu      sync.Mutex
	joined  map[string]time.Time // live members and when they were first seen here
	lost    map[string]time.Time // members that were lost without a planned stop
	planned map[string]stop      // members that said goodbye
}

// stop is a planned stop of a member.
type stop struct{ joined, at time.Time }

// NewHomes returns the homes as seen by the incarnation self. retain is the retention of records.
func NewHomes(self string, retain time.Duration) *Homes {
	return &Homes{self: self, retain: retain, joined: map[string]time.Time{}, lost: map[string]time.Time{}, planned: map[string]stop{}}
}

// SetMembers takes the live incarnations of the data centre, this one included.
func (h *Homes) SetMembers(now time.Time, live []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range live {
		_, known := h.joined[m]
		if _, stopping := h.planned[m]; known || stopping {
			continue
		}
		h.joined[m] = now
		delete(h.lost, m)
	}
	for m := range h.joined {
		if slices.Contains(live, m) {
			continue
		}
		delete(h.joined, m)
		if _, ok := h.planned[m]; !ok {
			h.lost[m] = now
		}
	}
	maps.DeleteFunc(h.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= h.retain })
	maps.DeleteFunc(h.planned, func(m string, s stop) bool { return now.Sub(s.at) >= h.retain && !slices.Contains(live, m) })
}

// PlannedStop notes that the incarnation handed over its records and stops. It is no home from now on.
func (h *Homes) PlannedStop(now time.Time, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planned[incarnation] = stop{h.joined[incarnation], now}
	delete(h.joined, incarnation)
	delete(h.lost, incarnation)
}

// Ages is what an entry knows about the members of its data centre, in times that have passed, so that no clocks are
// compared.
type Ages struct {
	Live map[string]time.Duration `json:"live"` // since the member was first seen
	Lost map[string]time.Duration `json:"lost"` // since the member was lost
}

// Ages returns what a starting entry needs to know. The retention is the longest age.
func (h *Homes) Ages(now time.Time) Ages {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Ages{Live: map[string]time.Duration{}, Lost: map[string]time.Duration{}}
	for m, at := range h.joined {
		out.Live[m] = min(h.retain, now.Sub(at))
	}
	for m, at := range h.lost {
		out.Lost[m] = min(h.retain, now.Sub(at))
	}
	return out
}

// Adopt takes over what a live peer knows. An entry calls it at its start, after the first SetMembers. Without it, the
// entry takes all members as new, asks them all, and doesn't know which ones were lost before it started; it must then
// answer unknown for opaque IDs that are not first attempts.
func (h *Homes) Adopt(now time.Time, a Ages) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for m, age := range a.Live {
		if at, ok := h.joined[m]; ok && m != h.self && at.After(now.Add(-age)) {
			h.joined[m] = now.Add(-age)
		}
	}
	for m, age := range a.Lost {
		if _, live := h.joined[m]; live || age >= h.retain {
			continue
		}
		if at, ok := h.lost[m]; !ok || now.Add(-age).After(at) {
			h.lost[m] = now.Add(-age)
		}
	}
}

// Placement is where an opaque ID belongs.
type Placement struct {
	// Home registers the ID. It is empty when the data centre has no live entry.
	Home string
	// Ask names the live entries that were the home within the retention. Before it runs an ID without a record, the
	// home asks them in this order; each answers from its Registry.Lookup, or unknown when its own Place says so.
	Ask []string
	// Unknown is set when an earlier home was lost, so that an earlier attempt may have run.
	Unknown bool
}

// Place returns where the ID belongs. A caller that marks the call as a first attempt has sent it nowhere before, so no
// earlier home matters. The result holds for the members given last; the home runs an ID only on a confirmed view.
func (h *Homes) Place(now time.Time, id string, firstAttempt bool) Placement {
	h.mu.Lock()
	defer h.mu.Unlock()
	var p Placement
	var handedOver time.Time // until then a member that stopped as planned kept the lower ranks from being the home
	for _, m := range h.ranked(id) {
		if s, ok := h.planned[m]; ok {
			if s.at.Sub(s.joined) >= h.retain && s.at.After(handedOver) {
				handedOver = s.at
			}
			continue
		}
		joined, live := h.joined[m]
		if !live {
			at := h.lost[m]
			p.Unknown = p.Unknown || !firstAttempt && now.Sub(at) < h.retain && !at.Before(handedOver)
			continue
		}
		if p.Home == "" {
			p.Home = m
		} else {
			p.Ask = append(p.Ask, m)
		}
		if firstAttempt || now.Sub(joined) >= h.retain {
			break // every earlier home within the retention ranks above this member
		}
	}
	return p
}

// ranked returns the live and the gone members, the preferred one of the ID first.
func (h *Homes) ranked(id string) []string {
	members := make([]string, 0, len(h.joined)+len(h.lost))
	for m := range h.joined {
		members = append(members, m)
	}
	for m := range h.lost {
		members = append(members, m)
	}
	for m := range h.planned {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b, id), weight(a, id)), cmp.Compare(a, b))
	})
	return members
}

func weight(member, id string) uint64 { return xxhash.Sum64String(member + "\x00" + id) }

// Successor returns the member that takes over the records of an incarnation that stops, or "" without members.
func Successor(incarnation string, members []string) string {
	return Preferred(incarnation, slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == incarnation }))
}

// Preferred returns the name that rendezvous hashing gives a key, or "" without names. Homes uses the same order.
func Preferred(key string, names []string) string {
	best := ""
	for _, m := range names {
		if best == "" || weight(m, key) > weight(best, key) {
			best = m
		}
	}
	return best
}
