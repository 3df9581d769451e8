package idempotency

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Homes chooses the home of each opaque ID: the entry that is its registrar. It tracks the membership of one data centre.
type Homes struct {
	self   string
	retain time.Duration

	mu           sync.Mutex
	joined       map[string]time.Time   // live members and when this entry first saw them
	lost         map[string]time.Time   // members lost without a planned stop, and when
	plannedStops map[string]plannedStop // members that announced a planned stop
}

// plannedStop is when a member was first seen and when its planned stop was recorded.
type plannedStop struct{ joined, at time.Time }

// NewHomes returns a Homes for the incarnation self. retain is the retention time of records.
func NewHomes(self string, retain time.Duration) *Homes {
	return &Homes{self: self, retain: retain, joined: map[string]time.Time{}, lost: map[string]time.Time{}, plannedStops: map[string]plannedStop{}}
}

// SetMembers sets the live incarnations of the data centre, including this one.
func (h *Homes) SetMembers(now time.Time, live []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range live {
		_, known := h.joined[m]
		if _, stopping := h.plannedStops[m]; known || stopping {
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
		if _, ok := h.plannedStops[m]; !ok {
			h.lost[m] = now
		}
	}
	maps.DeleteFunc(h.lost, func(_ string, at time.Time) bool { return now.Sub(at) >= h.retain })
	maps.DeleteFunc(h.plannedStops, func(m string, s plannedStop) bool { return now.Sub(s.at) >= h.retain && !slices.Contains(live, m) })
}

// PlannedStop records that an incarnation has handed over its records and is stopping. It is no longer chosen as a home.
func (h *Homes) PlannedStop(now time.Time, incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.plannedStops[incarnation] = plannedStop{h.joined[incarnation], now}
	delete(h.joined, incarnation)
	delete(h.lost, incarnation)
}

// Ages is what an entry knows about the membership of its data centre. All times are elapsed times, so that clocks of
// different hosts aren't compared.
type Ages struct {
	Live map[string]time.Duration `json:"live"` // since the member was first seen
	Lost map[string]time.Duration `json:"lost"` // since the member was lost
}

// Ages returns the ages for an entry that is starting, capped at the retention time.
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

// MergeAges merges the ages that a live peer reports. An entry calls it at its start, after the first SetMembers. Without
// it the entry regards all members as new and asks all of them, and it doesn't know which ones were lost before its start;
// it must then return an unknown outcome for opaque IDs that are not first attempts.
func (h *Homes) MergeAges(now time.Time, a Ages) {
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

// Placement is the home of an opaque ID and what must be checked before the ID runs there.
type Placement struct {
	// Home is the registrar of the ID. It is empty when the data centre has no live entry.
	Home string
	// Ask lists the live entries that were the home of the ID within the retention time. Before the home runs an ID
	// without a record, it asks them in this order. Each answers from Registry.Lookup, or with an unknown outcome when
	// its own Place sets Unknown.
	Ask []string
	// Unknown is set when an earlier home was lost, so an earlier attempt may have run.
	Unknown bool
}

// Place returns the placement of the ID. Earlier homes are ignored for a first attempt, since the caller asserts that it has
// not sent the call before. The result is based on the latest SetMembers; the home must run an ID only while its view of
// the membership is confirmed.
func (h *Homes) Place(now time.Time, id string, firstAttempt bool) Placement {
	h.mu.Lock()
	defer h.mu.Unlock()
	var p Placement
	var blockedUntil time.Time // until then, a member with a planned stop was the home instead of the members ranked below it
	for _, m := range h.ranked(id) {
		if s, ok := h.plannedStops[m]; ok {
			if s.at.Sub(s.joined) >= h.retain && s.at.After(blockedUntil) {
				blockedUntil = s.at
			}
			continue
		}
		joined, live := h.joined[m]
		if !live {
			at := h.lost[m]
			p.Unknown = p.Unknown || !firstAttempt && now.Sub(at) < h.retain && !at.Before(blockedUntil)
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

// ranked returns the live, lost and stopped members by descending rendezvous weight for the ID.
func (h *Homes) ranked(id string) []string {
	members := make([]string, 0, len(h.joined)+len(h.lost))
	for m := range h.joined {
		members = append(members, m)
	}
	for m := range h.lost {
		members = append(members, m)
	}
	for m := range h.plannedStops {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(b, id), rendezvousWeight(a, id)), cmp.Compare(a, b))
	})
	return members
}

func rendezvousWeight(member, id string) uint64 { return xxhash.Sum64String(member + "\x00" + id) }

// Successor returns the member that takes over the records of a stopping incarnation, or "" when there is no other member.
func Successor(incarnation string, members []string) string {
	return Preferred(incarnation, slices.DeleteFunc(slices.Clone(members), func(m string) bool { return m == incarnation }))
}

// Preferred returns the name that rendezvous hashing selects for a key, or "" when names is empty. Homes ranks members in
// the same way.
func Preferred(key string, names []string) string {
	best := ""
	for _, m := range names {
		if best == "" || rendezvousWeight(m, key) > rendezvousWeight(best, key) {
			best = m
		}
	}
	return best
}
