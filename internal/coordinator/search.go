package coordinator

import (
	"context"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	// firstRound is the number of entries that are asked first, by rank. Each further round asks twice as many.
	firstRound = 8
	// seedTimeout bounds the question to the seeds, which may save a read of the store.
	seedTimeout = 40 * time.Millisecond
	// seedsStart is how long entries that all start for the first time leave the choice to the seeds. Their hosts start within
	// 0.3 s of each other.
	seedsStart = time.Second
)

// findLeader returns the peers' address of the leader, or self when this entry should lead. Both are zero when no decision
// is possible yet.
func (n *Node) findLeader(ctx context.Context) (address string, self bool) {
	address, self = n.search(ctx)
	if self && n.Leaving() {
		self = false
	}
	if address == "" && !self {
		pause.For(ctx, retryPause)
	}
	return address, self
}

// search asks the seeds, while no other entry is known, and then the entries in the order of their rank, until one knows a
// leader or precedes this one. An entry that none precedes leads.
func (n *Node) search(ctx context.Context) (address string, leads bool) {
	c := n.candidacy()
	if !n.knowsEntries() {
		answers := askAll(ctx, n.ask, n.otherSeeds(), c.lost, seedTimeout, leadsNow)
		address, leads = chooseLeader(c, answers)
		switch {
		case address != "":
			return address, false
		case n.o.Bootstrap && time.Since(n.started) < seedsStart:
			return "", leads && n.isSeed()
		}
		n.readEntries(ctx)
	}
	limit := findTimeout
	if time.Since(n.started) < startTime {
		limit = startTimeout
	}
	for _, round := range n.rounds() {
		answers := askAll(ctx, n.ask, round, c.lost, limit, leadsNow)
		address, leads = chooseLeader(c, answers)
		if address != "" || !leads {
			return address, false
		}
	}
	return "", true
}

// lostMemory is how long the word of others that a lost leader leads is not believed. They notice its loss within that time.
const lostMemory = 2 * time.Second

// noteLost remembers a leader that was lost or not reached.
func (n *Node) noteLost(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost, n.lostAt = address, time.Now()
}

// lostLeader is the leader that was lost a moment ago, or empty.
func (n *Node) lostLeader() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.lostAt) > lostMemory {
		return ""
	}
	return n.lost
}

func (n *Node) candidacy() candidacy {
	lost := n.lostLeader()
	n.mu.Lock()
	defer n.mu.Unlock()
	return candidacy{entry: n.o.Self, informed: n.informed(), slow: n.slow(), lost: lost}
}

// informed reports whether this entry knows upstreams. The caller holds n.mu.
func (n *Node) informed() bool { return n.world.Config != nil && len(n.world.Upstreams) > 0 }

// checkSilence is the silence of a leader from which on the word of others that it is lost is checked. A slow leader that is
// still heard keeps its followers.
const checkSilence = idleBeat

// checkLeader finds out whether the leader is lost that this entry follows, when another entry says so. An entry that places no
// requests would notice later, and the others may wait for it to lead.
func (n *Node) checkLeader(lost string) {
	n.mu.Lock()
	s, follows := n.session.(*linkSession)
	check := lost != "" && follows && n.roster != nil && n.roster.Leader == lost && !n.checking && s.silentFor(time.Now()) > checkSilence
	if check {
		n.checking = true
	}
	n.mu.Unlock()
	if !check {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
		defer cancel()
		a, err := n.ask(ctx, lost, "")
		if err != nil || !a.Leads {
			s.link.fail(errLeaderLost)
		}
		n.mu.Lock()
		n.checking = false
		n.mu.Unlock()
	}()
}

func (n *Node) isSeed() bool { return slices.Contains(n.seeds(), n.o.Self.Peer) }

func (n *Node) otherSeeds() []string {
	return slices.DeleteFunc(n.seeds(), func(s string) bool { return s == n.o.Self.Peer })
}

func (n *Node) knowsEntries() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.world.Entries) > 0
}

// readEntries reads the other entries' records. Without the store the seeds have to do.
func (n *Node) readEntries(ctx context.Context) {
	batch, findings, err := n.o.Store.Newest(ctx, gateway.Entries)
	for _, f := range findings {
		n.log.Warn().Err(f).Msg("record ignored")
	}
	if err != nil {
		n.log.Warn().Str("dependency", "store").Err(err).Msg("entries not read")
		return
	}
	n.apply(batch, time.Time{})
}

// ranked returns the other known entries, the first in rank first.
func (n *Node) ranked() []gateway.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := make([]gateway.Entry, 0, len(n.world.Entries))
	for _, e := range n.world.Entries {
		if e.Peer != n.o.Self.Peer {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, precedes)
	return entries
}

// firstAsked are the peers' addresses of the first entries in rank, the last leader and the seeds.
func (n *Node) firstAsked(count int) []string {
	entries := n.ranked()
	out := peersOf(entries[:min(count, len(entries))])
	n.mu.Lock()
	if n.roster != nil {
		out = append(out, n.roster.Leader)
	}
	n.mu.Unlock()
	out = append(out, n.seeds()...)
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == "" || a == n.o.Self.Peer })
}

// rounds are the addresses to ask one after the other: who knows the leader, and then those that would lead before this
// entry.
func (n *Node) rounds() [][]string {
	out := [][]string{n.firstAsked(firstRound)}
	entries := n.ranked()
	for from, size := firstRound, 2*firstRound; from < len(entries) && precedes(entries[from], n.o.Self) < 0; from, size = from+size, 2*size {
		out = append(out, peersOf(entries[from:min(from+size, len(entries))]))
	}
	return out
}

func peersOf(entries []gateway.Entry) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Peer)
	}
	return out
}
