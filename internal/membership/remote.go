package membership

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Bounds of what digests can make a table keep.
const (
	maxRemoteCentres = 64
	maxSources       = 64
)

// remoteCentre holds what the members of another data centre say about it.
type remoteCentre struct {
	sources map[string]*source // by incarnation of the sender
	lists   map[int][]Member   // member lists by their hash
	merged  []Member           // live members, the union of the lists in use
}

type source struct {
	heard         time.Duration // value of Table.ran at the last digest
	hash          int           // hash of the last digest
	listed        int           // hash of the list in use; lags behind hash until the new list arrives
	lowestVersion int
}

// Digest returns the digest of the own data centre without the member list and without pool summaries.
func (t *Table) Digest() wire.Digest {
	lowest := t.lowestOwnVersion()
	hash := t.view
	return wire.Digest{DataCentre: t.self.DataCentre, Version: t.self.Version, LowestVersion: &lowest, MembersHash: &hash}
}

// DigestWithMembers returns the digest with the member list, the answer to a digest that wants it.
func (t *Table) DigestWithMembers() wire.Digest {
	d := t.Digest()
	for _, m := range t.ownMembers() {
		m.Version = 0 // the digest carries the lowest one; per member it would be stale at once
		d.Members = append(d.Members, m.Wire())
	}
	return d
}

// ObserveDigest records a digest that a member of another data centre sent about its own one, and reports whether its
// member list is needed. Digests about a data centre that isn't the sender's are ignored.
func (t *Table) ObserveDigest(_ time.Time, from Member, d wire.Digest) (wantMembers bool) {
	if from.DataCentre == t.self.DataCentre || d.DataCentre != from.DataCentre || d.MembersHash == nil {
		return false
	}
	c := t.centre(d.DataCentre)
	if c == nil {
		return false
	}
	s := c.sources[from.Incarnation]
	if s == nil {
		if len(c.sources) >= maxSources {
			return false
		}
		s = &source{}
		c.sources[from.Incarnation] = s
	}
	s.heard = t.ran
	s.lowestVersion = d.Version
	if d.LowestVersion != nil {
		s.lowestVersion = *d.LowestVersion
	}
	if s.listed != *d.MembersHash || s.hash != s.listed {
		s.hash = *d.MembersHash
		c.learn(d)
		t.merge(c)
	}
	return s.listed != s.hash
}

func (t *Table) centre(name string) *remoteCentre {
	c := t.remote[name]
	if c == nil && len(t.remote) < maxRemoteCentres {
		c = &remoteCentre{sources: map[string]*source{}, lists: map[int][]Member{}}
		t.remote[name] = c
	}
	return c
}

// learn keeps the member list of a digest when its hash is right. useKnownLists bounds the lists to two per source; a
// fixed bound below that would refuse the newest list for ever once older ones fill it.
func (c *remoteCentre) learn(d wire.Digest) {
	if len(d.Members) == 0 {
		return
	}
	members := make([]Member, 0, len(d.Members))
	for _, m := range d.Members {
		members = append(members, FromWire(m))
	}
	if hashMembers(members) == *d.MembersHash {
		c.lists[*d.MembersHash] = members
	}
}

// useKnownLists moves each source to its newest list once that list is known, and drops lists that no source uses. Until
// then the older list stays in use, so that a data centre doesn't vanish whenever one of its members changes.
func (c *remoteCentre) useKnownLists() {
	used := map[int]bool{}
	for _, s := range c.sources {
		if c.lists[s.hash] != nil {
			s.listed = s.hash
		}
		used[s.hash] = true
		used[s.listed] = true
	}
	for hash := range c.lists {
		if !used[hash] {
			delete(c.lists, hash)
		}
	}
}

// union returns the members of the lists that the sources name. A member vanishes when the last source that lists it
// drops it or falls silent. When hosts appear twice, the incarnation named by more sources is taken.
func (c *remoteCentre) union() []Member {
	votes := map[string]int{}
	byID := map[string]Member{}
	for _, s := range c.sources {
		for _, m := range c.lists[s.listed] {
			votes[m.Incarnation]++
			m.Leaving = m.Leaving || byID[m.Incarnation].Leaving
			byID[m.Incarnation] = m
		}
	}
	byHost := map[string]Member{}
	for id, m := range byID {
		old, twice := byHost[m.Host]
		better := votes[id] > votes[old.Incarnation] || votes[id] == votes[old.Incarnation] && id > old.Incarnation
		if !twice || better {
			byHost[m.Host] = m
		}
	}
	out := make([]Member, 0, len(byHost))
	for _, m := range byHost {
		out = append(out, m)
	}
	return out
}

// stale reports whether a source counts no longer: after Config.DigestDead, or after Config.DigestSuspect when a source
// that was heard since then doesn't list it any more.
func (t *Table) stale(c *remoteCentre, id string, s *source) bool {
	silent := t.ran - s.heard
	if silent >= t.cfg.DigestDead {
		return true
	}
	return silent >= t.cfg.DigestSuspect && c.buriedSince(id, s.heard)
}

func (c *remoteCentre) buriedSince(id string, heard time.Duration) bool {
	for _, s := range c.sources {
		members := c.lists[s.listed]
		lists := slices.ContainsFunc(members, func(m Member) bool { return m.Incarnation == id })
		if s.heard > heard && len(members) > 0 && !lists {
			return true
		}
	}
	return false
}

// expireRemote drops sources that count no longer. A data centre without sources vanishes as a whole.
func (t *Table) expireRemote() {
	for name, c := range t.remote {
		var stale []string
		for id, s := range c.sources {
			if t.stale(c, id, s) {
				stale = append(stale, id)
			}
		}
		if len(stale) == 0 {
			continue
		}
		for _, id := range stale {
			delete(c.sources, id)
		}
		t.merge(c)
		if len(c.sources) == 0 {
			delete(t.remote, name)
		}
	}
}

func (t *Table) merge(c *remoteCentre) {
	c.useKnownLists()
	before := c.merged
	c.merged = c.union()
	t.generation++
	t.reportRemote(before, c.merged)
}

func (t *Table) reportRemote(before, after []Member) {
	old := map[string]bool{}
	for _, m := range before {
		old[m.Incarnation] = true
	}
	for _, m := range after {
		if !old[m.Incarnation] {
			t.pending = append(t.pending, Change{Kind: Joined, Member: m})
		}
		delete(old, m.Incarnation)
	}
	for _, m := range before {
		if old[m.Incarnation] {
			t.pending = append(t.pending, Change{Kind: Left, Member: m})
		}
	}
}
