package membership

import (
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Limits of the state that digests add to a table.
const (
	maxRemoteCentres = 64
	maxSources       = 64
)

// remoteCentre holds what the members of another data centre report about it.
type remoteCentre struct {
	sources map[string]*source // by incarnation of the sender
	lists   map[int][]Member   // member lists by their hash
	merged  []Member           // live members, the union of the lists in use
}

type source struct {
	lastHeard     time.Duration // Table.activeTime at the last digest
	hash          int           // list hash in the last digest
	usedHash      int           // hash of the list in use; differs from hash until the new list arrives
	lowestVersion int
}

// Digest returns the digest of the local data centre without the member list and without pool summaries.
func (t *Table) Digest() wire.Digest {
	lowest := t.lowestLocalVersion()
	hash := t.viewHash
	return wire.Digest{DataCentre: t.self.DataCentre, Version: t.self.Version, LowestVersion: &lowest, MembersHash: &hash}
}

// DigestWithMembers returns the digest with the member list, as the answer to a digest that requests it.
func (t *Table) DigestWithMembers() wire.Digest {
	d := t.Digest()
	for _, m := range t.localMembers() {
		m.Version = 0 // the digest carries the lowest version; versions per member would be outdated at once
		d.Members = append(d.Members, m.Wire())
	}
	return d
}

// ObserveDigest records a digest that a member of another data centre sent about its data centre, and reports whether
// the member list must be requested. Digests about a data centre that isn't the sender's are ignored.
func (t *Table) ObserveDigest(_ time.Time, from Member, d wire.Digest) (wantMembers bool) {
	if from.DataCentre == t.self.DataCentre || d.DataCentre != from.DataCentre || d.MembersHash == nil {
		return false
	}
	c := t.remoteCentreFor(d.DataCentre)
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
	s.lastHeard = t.activeTime
	s.lowestVersion = d.Version
	if d.LowestVersion != nil {
		s.lowestVersion = *d.LowestVersion
	}
	if s.usedHash != *d.MembersHash || s.hash != s.usedHash {
		s.hash = *d.MembersHash
		c.storeMembers(d)
		t.merge(c)
	}
	return s.usedHash != s.hash
}

func (t *Table) remoteCentreFor(name string) *remoteCentre {
	c := t.remote[name]
	if c == nil && len(t.remote) < maxRemoteCentres {
		c = &remoteCentre{sources: map[string]*source{}, lists: map[int][]Member{}}
		t.remote[name] = c
	}
	return c
}

// storeMembers keeps the member list of a digest if it matches the hash. switchToKnownLists bounds the lists to two per
// source; with a lower fixed limit, older lists could fill it and the newest list would be rejected for ever.
func (c *remoteCentre) storeMembers(d wire.Digest) {
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

// switchToKnownLists moves each source to its newest list once that list is known, and drops lists that no source uses.
// Until then the older list stays in use, so that a data centre doesn't disappear whenever one of its members changes.
func (c *remoteCentre) switchToKnownLists() {
	used := map[int]bool{}
	for _, s := range c.sources {
		if c.lists[s.hash] != nil {
			s.usedHash = s.hash
		}
		used[s.hash] = true
		used[s.usedHash] = true
	}
	for hash := range c.lists {
		if !used[hash] {
			delete(c.lists, hash)
		}
	}
}

// union returns the members of the lists that the sources name. A member disappears when the last source that lists
// it drops it or expires. If a host appears with two incarnations, the one that more sources list is taken.
func (c *remoteCentre) union() []Member {
	votes := map[string]int{}
	byID := map[string]Member{}
	for _, s := range c.sources {
		for _, m := range c.lists[s.usedHash] {
			votes[m.Incarnation]++
			m.Leaving = m.Leaving || byID[m.Incarnation].Leaving
			byID[m.Incarnation] = m
		}
	}
	byHost := map[string]Member{}
	for id, m := range byID {
		old, duplicate := byHost[m.Host]
		better := votes[id] > votes[old.Incarnation] || votes[id] == votes[old.Incarnation] && id > old.Incarnation
		if !duplicate || better {
			byHost[m.Host] = m
		}
	}
	out := make([]Member, 0, len(byHost))
	for _, m := range byHost {
		out = append(out, m)
	}
	return out
}

// expired reports whether a source has been silent for Config.DigestDead, or for Config.DigestSuspect if a source
// with a more recent digest no longer lists it.
func (t *Table) expired(c *remoteCentre, id string, s *source) bool {
	silent := t.activeTime - s.lastHeard
	if silent >= t.cfg.DigestDead {
		return true
	}
	return silent >= t.cfg.DigestSuspect && c.omittedSince(id, s.lastHeard)
}

func (c *remoteCentre) omittedSince(id string, lastHeard time.Duration) bool {
	for _, s := range c.sources {
		members := c.lists[s.usedHash]
		lists := slices.ContainsFunc(members, func(m Member) bool { return m.Incarnation == id })
		if s.lastHeard > lastHeard && len(members) > 0 && !lists {
			return true
		}
	}
	return false
}

// expireRemote drops expired sources. A data centre without sources is removed as a whole.
func (t *Table) expireRemote() {
	for name, c := range t.remote {
		var expired []string
		for id, s := range c.sources {
			if t.expired(c, id, s) {
				expired = append(expired, id)
			}
		}
		if len(expired) == 0 {
			continue
		}
		for _, id := range expired {
			delete(c.sources, id)
		}
		t.merge(c)
		if len(c.sources) == 0 {
			delete(t.remote, name)
		}
	}
}

func (t *Table) merge(c *remoteCentre) {
	c.switchToKnownLists()
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
			t.pendingChanges = append(t.pendingChanges, Change{Kind: Joined, Member: m})
		}
		delete(old, m.Incarnation)
	}
	for _, m := range before {
		if old[m.Incarnation] {
			t.pendingChanges = append(t.pendingChanges, Change{Kind: Left, Member: m})
		}
	}
}
