package coordinator

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// namedPerDataCentre is the least number of entries of each data centre that callers are sent to. With three, one is seldom
	// missing when half of the hosts lose power; few keep connections to upstreams warm.
	namedPerDataCentre = 3
	// leastNamed are named however small their hosts are.
	leastNamed = 2
	// comparableShare is the processor share, relative to the strongest entry's, from which on an entry is named only for its
	// number. Callers spread evenly, so a much weaker one would be overloaded.
	comparableShare = 0.5
	// requestCost is the processor time of one request at the entry that callers connect to, in seconds.
	requestCost = 0.0007
	// namedHeadroom is the capacity of the named entries relative to the load of late, for bursts and lost entries.
	namedHeadroom = 2.5
	// leaderShare is the part of the leader's processor that is left for callers.
	leaderShare = 0.5
	// rateMemory is the time after which a higher rate of requests is forgotten.
	rateMemory = 10 * time.Second
)

// precedes orders entries for leadership and naming: the larger host first, then by a hash that spreads data centres.
func precedes(a, b gateway.Entry) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(rank(a.Peer), rank(b.Peer)))
}

func rank(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // never fails
	return h.Sum64()
}

// publishRoster decides which entries callers are sent to, and tells all entries.
func (l *leadership) publishRoster(now time.Time) {
	roster := &Roster{Leader: l.node.o.Self.Peer, Callers: withFallback(l.chooseNamed(l.rate.observe(now, l.coordinator.Served())), l.node.o.Regions)}
	l.node.setRoster(roster)
	l.broadcast(func(f *Frame) { f.Roster = roster })
}

// withFallback adds one entry of the next data centre of the region to those of each, so that callers have an address when all others are dark.
// It stays the same as long as the named entries do, because callers close connections to addresses that are gone.
func withFallback(named map[string][]string, regions map[string]string) map[string][]string {
	dataCentres := slices.Sorted(maps.Keys(named))
	out := make(map[string][]string, len(named))
	for i, dataCentre := range dataCentres {
		callers := slices.Clone(named[dataCentre])
		for _, next := range slices.Concat(dataCentres[i+1:], dataCentres[:i]) {
			if regions[next] == regions[dataCentre] {
				callers = append(callers, named[next][0])
				break
			}
		}
		out[dataCentre] = callers
	}
	return out
}

// rateMeter measures the requests per second and remembers the highest of late.
type rateMeter struct {
	mu     sync.Mutex
	at     time.Time
	count  uint64
	peak   float64
	peakAt time.Time
}

const minRateSpan = 400 * time.Millisecond

func (r *rateMeter) observe(now time.Time, count uint64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.at.IsZero() {
		r.at, r.count = now, count
		return 0
	}
	span := now.Sub(r.at)
	if span < minRateSpan {
		return r.peak
	}
	rate := float64(count-r.count) / span.Seconds()
	r.at, r.count = now, count
	if rate >= r.peak || now.Sub(r.peakAt) > rateMemory {
		r.peak, r.peakAt = rate, now
	}
	return r.peak
}

// candidate is an entry with the part of its processor that is left for callers.
type candidate struct {
	entry gateway.Entry
	share float64
}

// chooseNamed names entries in each data centre for a load of rate requests per second.
func (l *leadership) chooseNamed(rate float64) map[string][]string {
	byDataCentre := map[string][]candidate{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.staying() {
		byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], candidate{e, e.CPUShare})
	}
	if self := l.node.o.Self; !l.stopping {
		byDataCentre[self.DataCentre] = append(byDataCentre[self.DataCentre], candidate{self, self.CPUShare * leaderShare})
	}
	need := rate * requestCost * namedHeadroom / float64(max(1, len(byDataCentre)))
	for dataCentre, entries := range byDataCentre {
		l.named[dataCentre] = nameEntries(l.named[dataCentre], entries, need)
	}
	for dataCentre := range l.named {
		if len(byDataCentre[dataCentre]) == 0 {
			delete(l.named, dataCentre)
		}
	}
	return maps.Clone(l.named)
}

// nameEntries names the strongest entries, and those named before among equals. Callers spread evenly, so the weakest of n
// entries bounds what they carry to n times its share; n rises until that is enough.
func nameEntries(named []string, live []candidate, need float64) []string {
	slices.SortFunc(live, func(a, b candidate) int {
		if a.share != b.share {
			return cmp.Compare(b.share, a.share)
		}
		aNamed, bNamed := slices.Contains(named, a.entry.Callers), slices.Contains(named, b.entry.Callers)
		switch {
		case aNamed && !bNamed:
			return -1
		case bNamed && !aNamed:
			return 1
		}
		return precedes(a.entry, b.entry)
	})
	n := min(leastNamed, len(live))
	for n < min(namedPerDataCentre, len(live)) && live[n].share >= comparableShare*live[0].share {
		n++
	}
	for n < len(live) && float64(n)*live[n-1].share < need {
		n++
	}
	out := make([]string, 0, n)
	for _, c := range live[:n] {
		out = append(out, c.entry.Callers)
	}
	return out
}
