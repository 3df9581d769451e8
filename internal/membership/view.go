package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hashView returns the hash of the live members of the local data centre: their sorted incarnations and leaving flags.
// The flag is included because leaving members own no pools, so views that differ in it name different owners.
func (t *Table) hashView() int {
	return hashMembers(t.localMembers())
}

// hashMembers returns a positive hash of a member list that doesn't depend on its order.
func hashMembers(members []Member) int {
	keys := make([]string, 0, len(members))
	for _, m := range members {
		key := m.Incarnation + "+"
		if m.Leaving {
			key = m.Incarnation + "-"
		}
		keys = append(keys, key)
	}
	sort.Strings(keys)
	d := xxhash.New()
	for _, k := range keys {
		_, _ = d.WriteString(k)
	}
	return int(d.Sum64()>>2) | 1 // never 0, which stands for a view in transition
}

// refreshView starts a new transition if the view has changed.
func (t *Table) refreshView(now time.Time) {
	if !t.membersChanged {
		return
	}
	t.membersChanged = false
	t.generation++
	hash := t.hashView()
	if hash == t.viewHash {
		return
	}
	t.viewHash = hash
	t.startTransition(now)
}

func (t *Table) startTransition(now time.Time) {
	t.reportedHash = 0
	t.transitionEnd = now.Add(t.cfg.ViewTransition)
}

// Generation returns a counter that increases whenever the result of Members changes.
func (t *Table) Generation() uint64 { return t.generation }

// ViewHash returns the view hash that heartbeats report; 0 while the view is in transition.
func (t *Table) ViewHash() int { return t.reportedHash }

// ConfirmedUntil returns the time until which the current view is confirmed if no further heartbeat arrives, or the
// zero time if it isn't confirmed at now. A view is confirmed by a majority of each roster that is still valid.
func (t *Table) ConfirmedUntil(now time.Time) time.Time {
	if len(t.voters) == 0 || t.reportedHash == 0 || now.Sub(t.lastTick) > t.cfg.PauseGap {
		return time.Time{}
	}
	until := now.Add(t.cfg.OwnFresh)
	for _, v := range t.voters {
		end := t.majorityConfirmedUntil(now, v)
		if end.Before(until) {
			until = end
		}
	}
	return until
}

// majorityConfirmedUntil returns the time until which a majority of one roster confirms the view, or the zero time if
// there is none. Each host has one vote.
func (t *Table) majorityConfirmedUntil(now time.Time, v voterSet) time.Time {
	quorum := v.quorum(now)
	var ends []time.Time
	if v.hosts[t.self.Host] {
		ends = append(ends, now.Add(t.cfg.OwnFresh))
	}
	for _, p := range t.peers {
		end := p.echoedAt.Add(t.cfg.OwnFresh)
		if v.hosts[p.member.Host] && p.viewHash == t.reportedHash && end.After(now) {
			ends = append(ends, end)
		}
	}
	if len(ends) < quorum {
		return time.Time{}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].After(ends[j]) })
	return ends[quorum-1]
}

func (t *Table) localMembers() []Member {
	members := []Member{t.self}
	for _, p := range t.peers {
		if p.live {
			members = append(members, p.member)
		}
	}
	return members
}

// Members returns the live members of all data centres including the entry itself, sorted by data centre and host.
func (t *Table) Members() []Member {
	members := t.localMembers()
	for _, c := range t.remote {
		members = append(members, c.merged...)
	}
	sort.Slice(members, func(i, j int) bool {
		if members[i].DataCentre != members[j].DataCentre {
			return members[i].DataCentre < members[j].DataCentre
		}
		return members[i].Host < members[j].Host
	})
	return members
}

// LowestVersion returns the lowest configuration version of all live members. A version up to
// this one is in force at every reachable entry.
func (t *Table) LowestVersion() int {
	lowest := t.lowestLocalVersion()
	for _, c := range t.remote {
		for _, s := range c.sources {
			lowest = min(lowest, s.lowestVersion)
		}
	}
	return lowest
}

func (t *Table) lowestLocalVersion() int {
	lowest := t.self.Version
	for _, p := range t.peers {
		if p.live {
			lowest = min(lowest, p.member.Version)
		}
	}
	return lowest
}
