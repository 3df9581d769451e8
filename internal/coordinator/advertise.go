package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// minAdvertisedPerDataCentre is the number of entries per data centre that are advertised to callers regardless of load. With
	// three, it is unlikely that all of them are down when half of the hosts lose power. With few, each of them keeps its connections to
	// upstreams in use.
	minAdvertisedPerDataCentre = 3
	// minAdvertised is the number of entries that are advertised however small their hosts are.
	minAdvertised = 2
	// minRelativeCPUShare is the CPU share, relative to that of the strongest entry, that an entry needs in order to count
	// towards minAdvertisedPerDataCentre. Callers spread evenly, so a much weaker entry would be overloaded.
	minRelativeCPUShare = 0.5
	// weakHostGain is the factor by which entries on much weaker hosts must raise the capacity to be advertised beside the others.
	weakHostGain = 1.5
	// leaderFraction is the fraction of the leader's CPU and link that is available for callers.
	leaderFraction = 0.5
)

// callerHost is an entry that may be advertised, with what its host offers to callers.
type callerHost struct {
	entry    gateway.Entry
	capacity hostCapacity
	short    bool // it has been short of its link or descriptors for some time
}

// entryCapacity is an entry with its capacity for callers, expressed as the CPU share that would allow the same request rate.
type entryCapacity struct {
	entry gateway.Entry
	share float64
}

// selection is the result of a choice of the entries to advertise in a data centre.
type selection struct {
	addresses []string
	need      float64            // CPU share that they must have together
	limited   [resourceCount]int // entries by the resource that limits their capacity
	short     []string           // names of the short entries
}

// chooseAdvertised selects the entries of a data centre to advertise. advertised are those so far, recentNeed is the CPU share needed for the
// recent load, and peak the held peak of the load. Where the link or the descriptors of an entry matter, peak decides, so that the selection
// doesn't change each time when the kind of load does; elsewhere recentNeed decides. Entries that are short of either are left out
// if the others carry the load.
func chooseAdvertised(advertised []string, hosts []callerHost, recentNeed float64, peak Demand) selection {
	s := selection{need: recentNeed}
	all := make([]entryCapacity, 0, len(hosts))
	var notShort []entryCapacity
	for _, h := range hosts {
		share, limit := callerCapacity(h.capacity, peak)
		s.limited[limit]++
		c := entryCapacity{h.entry, share}
		all = append(all, c)
		if h.short {
			s.short = append(s.short, h.entry.Name)
		} else {
			notShort = append(notShort, c)
		}
	}
	slices.Sort(s.short)
	if s.limited[processor] < len(hosts) || len(s.short) > 0 {
		s.need = max(recentNeed, peak.need())
	}
	if len(s.short) > 0 && len(notShort) >= minAdvertised {
		s.addresses = selectAdvertised(advertised, notShort, s.need)
		if n := len(s.addresses); float64(n)*notShort[n-1].share >= s.need {
			return s
		}
	}
	s.addresses = selectAdvertised(advertised, all, s.need)
	return s
}

// updateAdvertised selects and stores the entries to advertise in each data centre for a load of rate requests per second, which the
// data centres with upstreams share. It returns them with the held peak of the load. The caller holds l.publishing.
func (l *leadership) updateAdvertised(now time.Time, rate float64, empty map[string]bool) (map[string][]string, Demand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts, load := l.callerHosts(now)
	load.Requests = rate
	peak := l.demand.observe(now, load)
	serving := len(hosts)
	for dataCentre := range hosts {
		if empty[dataCentre] {
			serving--
		}
	}
	need := rate * cpuSecondsPerRequest * capacityHeadroom / float64(max(1, serving))
	for dataCentre, entries := range hosts {
		s := chooseAdvertised(l.advertised[dataCentre], entries, need, peak.perDataCentre(serving))
		l.logSelection(dataCentre, &s, peak.perDataCentre(serving))
		l.advertised[dataCentre], l.selections[dataCentre] = s.addresses, s
	}
	for dataCentre := range l.advertised {
		if len(hosts[dataCentre]) == 0 {
			delete(l.advertised, dataCentre)
			delete(l.selections, dataCentre)
		}
	}
	return maps.Clone(l.advertised), peak
}

// callerHosts returns the entries that may be advertised, by data centre, and the bytes and connections of all entries. The last known
// figures of a follower apply as long as it is connected. The caller holds l.mu and l.publishing.
func (l *leadership) callerHosts(now time.Time) (map[string][]callerHost, Demand) {
	hosts := map[string][]callerHost{}
	var load Demand
	add := func(e gateway.Entry, capacity hostCapacity, t Traffic, s *shortage, leaving bool) {
		load.Bytes += float64(t.bytes())
		load.Connections += float64(t.Connections)
		short := s.observe(now, capacity.use(t))
		if !leaving {
			hosts[e.DataCentre] = append(hosts[e.DataCentre], callerHost{e, capacity, short})
		}
	}
	for f := range l.followers {
		add(f.entry, f.hello.Host.hostCapacity(f.entry.CPUShare), f.traffic, &f.shortage, f.hello.Leaving)
	}
	self := l.node.o.Self
	capacity := l.node.hostLimits().hostCapacity(leaderFraction * self.CPUShare)
	capacity.bytesPerSecond *= leaderFraction
	add(self, capacity, l.node.currentTraffic(), &l.shortage, l.stopping)
	return hosts, load
}

// logSelection writes a line if the entries to advertise in a data centre have changed. The caller holds l.mu.
func (l *leadership) logSelection(dataCentre string, s *selection, peak Demand) {
	before, after := slices.Sorted(slices.Values(l.advertised[dataCentre])), slices.Sorted(slices.Values(s.addresses))
	if slices.Equal(before, after) {
		return
	}
	l.log.Info().Str("event", "advertised").Str("data_centre", dataCentre).Strs("addresses", after).Float64("need", hundredths(s.need)).
		Float64("requests_per_second", hundredths(peak.Requests)).Float64("bytes_per_second", hundredths(peak.Bytes)).
		Float64("connections", hundredths(peak.Connections)).Int("limited_by_link", s.limited[networkLink]).
		Int("limited_by_descriptors", s.limited[descriptors]).Strs("short", s.short).Msg("entries advertised to callers")
}

// selectAdvertised selects the strongest entries. Among equals it prefers those that are already advertised. Callers spread
// evenly, so n entries carry at most n times the share of the weakest one; n grows until that covers need, unless much weaker entries
// would add little.
func selectAdvertised(advertised []string, live []entryCapacity, need float64) []string {
	slices.SortFunc(live, func(a, b entryCapacity) int {
		if a.share != b.share {
			return cmp.Compare(b.share, a.share)
		}
		aAdvertised, bAdvertised := slices.Contains(advertised, a.entry.Callers), slices.Contains(advertised, b.entry.Callers)
		switch {
		case aAdvertised && !bAdvertised:
			return -1
		case bAdvertised && !aAdvertised:
			return 1
		}
		return compareRank(a.entry, b.entry)
	})
	n := min(minAdvertised, len(live))
	for n < min(minAdvertisedPerDataCentre, len(live)) && live[n].share >= minRelativeCPUShare*live[0].share {
		n++
	}
	n = extendAdvertised(live, n, need)
	out := make([]string, 0, n)
	for _, c := range live[:n] {
		out = append(out, c.entry.Callers)
	}
	return out
}

// extendAdvertised returns how many of the entries, ordered by share, carry need, at least n. If these include entries on much weaker
// hosts, callers move there from the stronger ones, so the capacity must grow by weakHostGain.
func extendAdvertised(live []entryCapacity, n int, need float64) int {
	if n == 0 {
		return 0
	}
	capacity := func(n int) float64 { return float64(n) * live[n-1].share }
	extended := n
	for extended < len(live) && capacity(extended) < need {
		extended++
	}
	if live[extended-1].share < minRelativeCPUShare*live[n-1].share && capacity(extended) < weakHostGain*capacity(n) {
		return n
	}
	return extended
}
