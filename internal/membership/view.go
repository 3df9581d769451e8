package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// hashView returns the hash of the live members of the own data centre: their sorted incarnations and leaving flags.
// The flag is included because leaving members own no pools, so views that differ in it name different owners.
func (t *Table) hashView() int {
	return hashMembers(t.ownMembers())
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
	return int(d.Sum64()>>2) | 1 // 0 means transition
}

// refreshView restarts the transition when the view differs from the last one.
func (t *Table) refreshView(now time.Time) {
	if !t.changed {
		return
	}
	t.changed = false
	t.generation++
	hash := t.hashView()
	if hash == t.view {
		return
	}
	t.view = hash
	t.startTransition(now)
}

func (t *Table) startTransition(now time.Time) {
	t.inForce = 0
	t.steadyFrom = now.Add(t.cfg.ViewTransition)
}

// Generation rises whenever the result of Members changes.
func (t *Table) Generation() uint64 { return t.generation }

// ViewHash returns the hash that heartbeats report; 0 while the view is in transition.
func (t *Table) ViewHash() int { return t.inForce }

// ConfirmedUntil returns the time until which the current view is confirmed if no further heartbeat arrives, or zero
// when it isn't confirmed at now. The view must be confirmed by a majority of each roster that still counts.
func (t *Table) ConfirmedUntil(now time.Time) time.Time {
	if len(t.voters) == 0 || t.inForce == 0 || now.Sub(t.lastTick) > t.cfg.PauseGap {
		return time.Time{}
	}
	until := now.Add(t.cfg.OwnFresh)
	for _, v := range t.voters {
		end := t.confirmedBy(now, v)
		if end.Before(until) {
			until = end
		}
	}
	return until
}

// confirmedBy returns until when a majority of one roster confirms the view; zero when none does. A host counts once.
func (t *Table) confirmedBy(now time.Time, v electorate) time.Time {
	need := v.need(now)
	var ends []time.Time
	if v.hosts[t.self.Host] {
		ends = append(ends, now.Add(t.cfg.OwnFresh))
	}
	for _, p := range t.peers {
		end := p.echoedAt.Add(t.cfg.OwnFresh)
		if v.hosts[p.member.Host] && p.hash == t.inForce && end.After(now) {
			ends = append(ends, end)
		}
	}
	if len(ends) < need {
		return time.Time{}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].After(ends[j]) })
	return ends[need-1]
}

func (t *Table) ownMembers() []Member {
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
	members := t.ownMembers()
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

// LowestVersion returns the lowest configuration version of all live members. A version is in force everywhere that is
// reachable when it is not above this one.
func (t *Table) LowestVersion() int {
	lowest := t.lowestOwnVersion()
	for _, c := range t.remote {
		for _, s := range c.sources {
			lowest = min(lowest, s.lowestVersion)
		}
	}
	return lowest
}

func (t *Table) lowestOwnVersion() int {
	lowest := t.self.Version
	for _, p := range t.peers {
		if p.live {
			lowest = min(lowest, p.member.Version)
		}
	}
	return lowest
}
