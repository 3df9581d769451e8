package coordinator

import (
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"boragehinge.example/boragehinge/internal/usage"
)

const (
	// usageInterval is the longest time between two messages of an entry that counts. An entry that is killed takes the counts of this
	// time with it.
	usageInterval = 200 * time.Millisecond
	// usageShare is the part of the tolerated error of a window that such a loss may use up.
	usageShare = 0.8
	// clockInterval is the time between two messages with nothing but a clock.
	clockInterval = time.Second
	// usageTransit is an upper bound for the time that a message takes in normal load.
	usageTransit = 100 * time.Millisecond
	// lastCountsDelay is the time after the end of a window at which an entry sends a message for certain, so that the leader knows that
	// it has all counts.
	lastCountsDelay = 250 * time.Millisecond
	// settleDelay is the time for which a new leader keeps the estimate of true time that it had: the clocks of the others are not known
	// yet.
	settleDelay = 2 * time.Second
)

var processStart = time.Now()

// HostClock returns the present time by both clocks of this host.
func HostClock() usage.Instant {
	now := time.Now()
	return usage.Instant{Mono: now.Sub(processStart), Wall: now.Round(0)}
}

// usageReports counts requests of client accounts and exchanges the counts with other entries.
type usageReports struct {
	node     *Node
	o        UsageOptions
	source   string        // name of this process, which no other process has
	interval time.Duration // between two exchanges, at most usageInterval

	mu        sync.Mutex
	clock     usage.Clock
	table     *usage.Table
	toLeader  usageLink
	leader    *linkSession             // to which toLeader belongs
	followers map[*follower]*usageLink // while this entry leads
}

// usageLink is what was sent over a link, and who is at its other end.
type usageLink struct {
	version uint64        // of the table, up to which counts were sent
	all     uint64        // version up to which the counts of all entries are sent, and not only those of this one
	sent    bool          // a message was sent
	at      time.Duration // of the last message, by the monotonic clock
	window  int64         // window at lastCountsDelay before the last message; a message is due when it changes
	source  string        // process at the other end, if it has sent anything
}

func newUsageReports(n *Node, o UsageOptions) *usageReports {
	random := make([]byte, 8)
	_, _ = rand.Read(random) // never fails
	source := n.o.Self.Name + "/" + hex.EncodeToString(random)
	interval := usageInterval
	if o.Tolerance > 0 {
		interval = min(interval, time.Duration(usageShare*o.Tolerance*float64(o.Window)))
	}
	return &usageReports{
		node: n, o: o, source: source, interval: interval, table: usage.NewTable(source), followers: map[*follower]*usageLink{},
	}
}

// countAttempt counts an attempt of an account that is sent to an upstream. The returned function takes it off again; it is nil if the
// attempt wasn't counted.
func (u *usageReports) countAttempt(account string) (notRun func()) {
	if u == nil || account == "" {
		return nil
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	window := usage.WindowOf(u.clock.Now(HostClock()), u.o.Window)
	u.table.Sent(window, account)
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.table.NotRun(window, account)
	}
}

// oldest returns the first window whose counts are kept. The caller holds u.mu.
func (u *usageReports) oldest(now usage.Instant) int64 {
	return usage.WindowOf(u.clock.Now(now).Add(-u.o.Late-u.o.Window), u.o.Window)
}

// exchange sends what has changed to the leader, or to the followers.
func (u *usageReports) exchange(now usage.Instant) {
	n := u.node
	n.mu.Lock()
	s, l := n.session, n.leader
	n.mu.Unlock()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.table.Forget(u.oldest(now))
	if link, ok := s.(*linkSession); ok {
		u.sendToLeader(now, link)
	}
	if l == nil {
		return
	}
	if time.Since(l.startedAt) > settleDelay {
		u.clock.Settle(now)
	}
	u.sendToFollowers(now, l)
}

// sendToLeader sends all known counts at first, because the leader before may have ended, and then those of this entry.
func (u *usageReports) sendToLeader(now usage.Instant, s *linkSession) {
	if u.leader != s {
		u.leader, u.toLeader = s, usageLink{all: u.table.Version()}
	}
	source := u.source
	if u.toLeader.version < u.toLeader.all {
		source = ""
	}
	counts, version := u.table.Since(u.toLeader.version, source)
	u.toLeader.version = version
	u.send(now, s.link, &u.toLeader, counts, now.Wall)
}

// sendToFollowers sends true time to all followers, and the counts of all entries to those that would be elected next.
func (u *usageReports) sendToFollowers(now usage.Instant, l *leadership) {
	followers := l.currentFollowers()
	l.mu.Lock()
	slices.SortFunc(followers, func(a, b *follower) int { return compareRank(a.entry, b.entry) })
	l.mu.Unlock()
	estimate := u.clock.Now(now)
	links := make(map[*follower]*usageLink, len(followers))
	for i, f := range followers {
		link := u.followers[f]
		if link == nil {
			link = &usageLink{}
		}
		links[f] = link
		var counts []usage.Batch
		if i < successorCount {
			counts, link.version = u.table.Since(link.version, "")
			counts = slices.DeleteFunc(counts, func(b usage.Batch) bool { return b.Source == link.source })
		}
		u.send(now, f.link, link, counts, estimate)
	}
	u.followers = links
}

// send queues a message if there is something to tell.
func (u *usageReports) send(now usage.Instant, to *Link, l *usageLink, counts []usage.Batch, clock time.Time) {
	window := usage.WindowOf(u.clock.Now(now).Add(-lastCountsDelay), u.o.Window)
	if len(counts) == 0 && l.sent && now.Mono-l.at < clockInterval && window == l.window {
		return
	}
	l.sent, l.at, l.window = true, now.Mono, window
	to.Queue(func(frame *Frame) {
		if frame.Usage == nil {
			frame.Usage = &UsageMessage{Source: u.source}
		}
		frame.Usage.Clock = clock.UnixNano()
		frame.Usage.Counts = append(frame.Usage.Counts, counts...)
	})
}

// fromFollower takes in a message of a follower. An entry without usage reports ignores it.
func (u *usageReports) fromFollower(f *follower, m *UsageMessage) {
	if u == nil {
		return
	}
	now := HostClock()
	u.mu.Lock()
	defer u.mu.Unlock()
	link := u.followers[f]
	if link == nil {
		link = &usageLink{}
		u.followers[f] = link
	}
	link.source = m.Source
	u.clock.Observe(now, m.Source, time.Unix(0, m.Clock))
	u.table.Merge(m.Counts, u.oldest(now))
	u.table.Heard(m.Source, u.clock.Now(now).Add(-usageTransit))
}

// fromLeader takes in a message of the leader.
func (u *usageReports) fromLeader(m *UsageMessage) {
	if u == nil {
		return
	}
	now := HostClock()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.clock.Follow(now, time.Unix(0, m.Clock))
	u.table.Merge(m.Counts, u.oldest(now))
}
