package membership

import (
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Bounds of what digests can make a table keep.
const (
	maxRemoteCentres = 64
	maxSources       = 256
	maxLists         = 8
)

// remoteCentre holds what the members of another data centre say about it.
type remoteCentre struct {
	sources map[string]*source // by incarnation of the sender
	lists   map[int][]Member   // member lists by their hash
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
	before := c.members()
	s.hash = *d.MembersHash
	c.learn(d)
	c.useKnownLists()
	t.reportRemote(before, c.members())
	return c.lists[s.hash] == nil
}

func (t *Table) centre(name string) *remoteCentre {
	c := t.remote[name]
	if c == nil && len(t.remote) < maxRemoteCentres {
		c = &remoteCentre{sources: map[string]*source{}, lists: map[int][]Member{}}
		t.remote[name] = c
	}
	return c
}

// learn keeps the member list of a digest when its hash is right.
func (c *remoteCentre) learn(d wire.Digest) {
	if len(d.Members) == 0 || len(c.lists) >= maxLists {
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

// members returns the union of the lists that the sources name. A member vanishes when the last source that lists it
// drops it or falls silent. When hosts appear twice, the incarnation named by more sources is taken.
func (c *remoteCentre) members() []Member {
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

// expireRemote drops sources without a digest for Config.DigestDead. A data centre without sources vanishes as a whole.
func (t *Table) expireRemote() {
	for name, c := range t.remote {
		var stale []string
		for id, s := range c.sources {
			if t.ran-s.heard >= t.cfg.DigestDead {
				stale = append(stale, id)
			}
		}
		if len(stale) == 0 {
			continue
		}
		before := c.members()
		for _, id := range stale {
			delete(c.sources, id)
		}
		c.useKnownLists()
		t.reportRemote(before, c.members())
		if len(c.sources) == 0 {
			delete(t.remote, name)
		}
	}
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
