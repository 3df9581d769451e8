package coordinator

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

// namedPerZone is the number of entries of each data centre that callers are sent to. Two keep a data centre served when
// one is lost, and few keep connections to upstreams warm.
const namedPerZone = 2

// precedes orders entries for leadership and naming: the larger host first, then by a hash that spreads data centres.
func precedes(a, b gateway.Entry) int {
	switch {
	case a.CPUShare > b.CPUShare:
		return -1
	case a.CPUShare < b.CPUShare:
		return 1
	}
	ha, hb := rank(a.Peer), rank(b.Peer)
	switch {
	case ha < hb:
		return -1
	case ha > hb:
		return 1
	}
	return 0
}

func rank(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	return h.Sum64()
}

// publishRoster decides which entries callers are sent to, and tells all entries.
func (l *leadership) publishRoster(now time.Time) {
	roster := &Roster{Leader: l.node.o.Self.Peer, Callers: l.chooseNamed()}
	l.node.setRoster(roster)
	l.broadcast(func(f *Frame) { f.Roster = roster })
	_ = now
}

// chooseNamed keeps entries that are named and live, and fills up by rank. The leader is named only where others lack.
func (l *leadership) chooseNamed() map[string][]string {
	byZone := map[string][]gateway.Entry{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.followers {
		if !f.hello.Leaving {
			byZone[f.entry.Zone] = append(byZone[f.entry.Zone], f.entry)
		}
	}
	self := l.node.o.Self
	if len(byZone[self.Zone]) == 0 && !l.stopping {
		byZone[self.Zone] = append(byZone[self.Zone], self)
	}
	for zone, entries := range byZone {
		slices.SortFunc(entries, precedes)
		l.named[zone] = fillNamed(l.named[zone], entries)
	}
	for zone := range l.named {
		if len(byZone[zone]) == 0 {
			delete(l.named, zone)
		}
	}
	return maps.Clone(l.named)
}

func fillNamed(named []string, live []gateway.Entry) []string {
	out := make([]string, 0, namedPerZone)
	for _, address := range named {
		if slices.ContainsFunc(live, func(e gateway.Entry) bool { return e.Callers == address }) {
			out = append(out, address)
		}
	}
	for _, e := range live {
		if len(out) >= namedPerZone {
			break
		}
		if !slices.Contains(out, e.Callers) {
			out = append(out, e.Callers)
		}
	}
	return out
}
