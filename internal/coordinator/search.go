package coordinator

import (
	"context"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/pause"
)

const (
	// firstRoundSize is the number of top-ranked entries in the first query round. Each further round is twice as large.
	firstRoundSize = 8
	// seedQueryTimeout limits the query to the seeds, which may save a read of the store.
	seedQueryTimeout = 40 * time.Millisecond
	// seedElectionPeriod is how long only seeds may become leader when all entries start for the first time. Their hosts start
	// within 0.3 s of each other.
	seedElectionPeriod = time.Second
	// leavingReadInterval is the minimum time between two reads of the entries' records by an entry that is shutting down and finds no
	// leader.
	leavingReadInterval = time.Second
)

// findLeader returns the peer address of the leader, or self if this entry should lead. Both are zero if no decision is
// possible yet.
func (n *Node) findLeader(ctx context.Context) (address string, self bool) {
	address, self = n.search(ctx)
	if self && n.Leaving() {
		// It does not lead, so no feed tells it of entries that have joined since it read the records.
		n.rereadEntries(ctx, time.Now())
		self = false
	}
	if address == "" && !self {
		pause.For(ctx, electionRetryDelay)
	}
	return address, self
}

// search queries the seeds while no other entry is known, and then the entries by rank in rounds, until one of them knows a
// leader or takes precedence over this entry. If none does, this entry leads.
func (n *Node) search(ctx context.Context) (address string, leads bool) {
	c := n.candidacy()
	if !n.knowsEntries() {
		answers := queryAll(ctx, n.query, n.otherSeeds(), c.lost, seedQueryTimeout, canBeFollowed)
		n.otherVersions.markAsked()
		address, leads = chooseLeader(c, answers)
		switch {
		case address != "":
			return address, false
		case n.o.Bootstrap && time.Since(n.started) < seedElectionPeriod:
			return "", leads && n.isSeed()
		}
		n.readEntries(ctx)
		c = n.candidacy() // the answer of the store told its epoch
	}
	limit := queryTimeout
	if time.Since(n.started) < startupPeriod {
		limit = startupQueryTimeout
	}
	answered := false
	for _, round := range n.queryRounds() {
		answers := queryAll(ctx, n.query, round, c.lost, limit, canBeFollowed)
		answered = answered || len(answers) > 0
		address, leads = chooseLeader(c, answers)
		if address != "" || !leads {
			return address, false
		}
	}
	return "", answered || !n.awaitsOthers()
}

// lostLeaderTTL is how long reports of other entries that a lost leader still leads are ignored. The other entries detect
// its loss within that time.
const lostLeaderTTL = 2 * time.Second

// rememberLostLeader records that a leader was lost or could not be reached.
func (n *Node) rememberLostLeader(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost, n.lostAt = address, time.Now()
}

// lostLeader returns the address of the leader that was lost within lostLeaderTTL, or an empty string.
func (n *Node) lostLeader() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Since(n.lostAt) > lostLeaderTTL {
		return ""
	}
	return n.lost
}

func (n *Node) candidacy() candidacy {
	lost := n.lostLeader()
	n.mu.Lock()
	defer n.mu.Unlock()
	return candidacy{entry: n.o.Self, hasUpstreams: n.hasUpstreams(), slow: n.slow() || n.startsFromRestore(), lost: lost}
}

// hasUpstreams reports whether this entry has a configuration and upstream records. The caller holds n.mu.
func (n *Node) hasUpstreams() bool { return n.view.Config != nil && len(n.view.Upstreams) > 0 }

// minSilenceToCheck is the time since the leader's last frame from which a report that the leader is lost is checked. A slow
// leader that still sends frames keeps its followers.
const minSilenceToCheck = idleHeartbeat

// checkLeader queries the leader that this entry follows, when another entry reports it as lost, and drops the link if it
// doesn't lead any more. An entry that places no requests would detect the loss later, while the others may wait for it to lead.
func (n *Node) checkLeader(lost string) {
	n.mu.Lock()
	s, follows := n.session.(*linkSession)
	check := lost != "" && follows && n.clusterInfo != nil && n.clusterInfo.Leader == lost && !n.checkingLeader && s.silentFor(time.Now()) > minSilenceToCheck
	if check {
		n.checkingLeader = true
	}
	n.mu.Unlock()
	if !check {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		a, err := n.query(ctx, lost, "")
		if err != nil || !a.Leads {
			s.link.fail(errLeaderLost)
		}
		n.mu.Lock()
		n.checkingLeader = false
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
	return len(n.view.Entries) > 0
}

// readEntries reads the records of all entries from the store. If that fails, only the seeds are known.
func (n *Node) readEntries(ctx context.Context) {
	batch, findings, err := n.o.Store.Newest(ctx, gateway.Entries)
	for _, f := range findings {
		n.log.Warn().Err(f).Msg("record ignored")
	}
	if err != nil {
		n.log.Warn().Str("dependency", "store").Err(err).Msg("failed to read entry records")
		return
	}
	n.apply(batch, time.Time{})
}

// rereadEntries reads the records of all entries again, unless it did so within leavingReadInterval. It is called by the goroutine of Run
// only.
func (n *Node) rereadEntries(ctx context.Context, now time.Time) {
	if now.Sub(n.entriesReadAt) < leavingReadInterval {
		return
	}
	n.entriesReadAt = now
	n.readEntries(ctx)
}

// rankedEntries returns the other known entries by rank, highest first.
func (n *Node) rankedEntries() []gateway.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	entries := make([]gateway.Entry, 0, len(n.view.Entries))
	for _, e := range n.view.Entries {
		if e.Peer != n.o.Self.Peer {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, compareRank)
	return entries
}

// preferredAddresses returns the peer addresses of the count top-ranked entries, or of entries that have queried this one if no other is
// known, the last known leader and the seeds.
func (n *Node) preferredAddresses(count int) []string {
	entries := n.rankedEntries()
	out := peersOf(entries[:min(count, len(entries))])
	n.mu.Lock()
	if len(entries) == 0 {
		out = append(out, n.askers...)
	}
	if n.clusterInfo != nil {
		out = append(out, n.clusterInfo.Leader)
	}
	n.mu.Unlock()
	out = append(out, n.seeds()...)
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == "" || a == n.o.Self.Peer })
}

// queryRounds returns the addresses to query, round by round: first those most likely to know the leader, then the remaining
// entries that rank higher than this one.
func (n *Node) queryRounds() [][]string {
	out := [][]string{n.preferredAddresses(firstRoundSize)}
	entries := n.rankedEntries()
	for from, size := firstRoundSize, 2*firstRoundSize; from < len(entries) && compareRank(entries[from], n.o.Self) < 0; from, size = from+size, 2*size {
		out = append(out, peersOf(entries[from:min(from+size, len(entries))]))
	}
	return out
}

// peersOf returns the peer addresses of entries.
func peersOf(entries []gateway.Entry) []string {
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Peer)
	}
	return out
}
