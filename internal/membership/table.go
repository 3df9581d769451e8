package membership

import (
	"maps"
	"slices"
	"sort"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// sentHistory is the number of sent heartbeats whose send time is kept. At the shortest interval, it covers
// Config.OwnFresh with a wide margin.
const sentHistory = 64

// maxPeers bounds the live and dead incarnations that the table keeps of the local data centre.
const maxPeers = 1024

// maxRosters limits the number of rosters, the current and replaced ones, that must confirm a view.
const maxRosters = 8

// Table is the membership as one entry knows it. It is not safe for concurrent use.
type Table struct {
	cfg              Config
	self             Member
	peers            map[string]*peer // by incarnation, local data centre only
	remote           map[string]*remoteCentre
	roster           map[string]Host      // by name, all data centres
	voters           []voterSet           // rosters that must confirm a view, the current one last
	unreachableUntil map[string]time.Time // by host name: time until which the host is avoided
	retiredUntil     map[string]time.Time // by incarnation that left: time until which it is remembered
	lastTick         time.Time
	activeTime       time.Duration // running time of this process, without pauses
	seq              int
	lastHeartbeat    time.Time
	sentHeartbeats   [sentHistory]sentHeartbeat
	viewHash         int       // hash of the current view
	transitionEnd    time.Time // end of the transition
	reportedHash     int       // hash that heartbeats report; 0 in transition
	pendingChanges   []Change
	membersChanged   bool   // the local data centre changed since the view was hashed
	generation       uint64 // increases with each change of the result of Members
}

// voterSet is the set of hosts of the local data centre on one roster; each has one vote on the confirmation of a view.
type voterSet struct {
	hosts map[string]bool
	until time.Time // end of Config.RosterHold for a replaced roster; zero for the current one
	// strictUntil is the time until which one vote more than a majority is required; zero for all rosters but the
	// first.
	strictUntil time.Time
}

// quorum returns the number of hosts that must confirm a view. Majorities of two odd rosters that differ by one
// replaced host need not intersect, and an entry that has just started doesn't know the earlier roster, which other
// entries may still use. It therefore requires one vote more until Config.RosterHold has passed.
func (v voterSet) quorum(now time.Time) int {
	n := len(v.hosts)
	if n > 1 && n%2 == 1 && now.Before(v.strictUntil) {
		return n/2 + 2
	}
	return n/2 + 1
}

type sentHeartbeat struct {
	seq int
	at  time.Time
}

type peer struct {
	member     Member
	live       bool
	lastHeard  time.Duration // Table.activeTime at the last heartbeat
	highestSeq int           // highest heartbeat sequence number received
	viewHash   int           // view hash in that heartbeat
	echoedAt   time.Time     // send time of this entry's heartbeat that it echoed
	deaths     int           // deaths in close succession, see Config.FlapWindow
	diedAt     time.Time
	holdUntil  time.Duration // Table.activeTime before which a flapping peer isn't live again
}

// New returns a table that knows only the entry itself. Its view is in transition, and stays unconfirmed until a roster
// is set: an entry on its own would otherwise be a majority of the hosts that it knows.
func New(self Member, cfg Config, now time.Time) *Table {
	t := &Table{
		cfg: cfg, self: self, lastTick: now,
		peers: map[string]*peer{}, remote: map[string]*remoteCentre{}, roster: map[string]Host{},
		unreachableUntil: map[string]time.Time{}, retiredUntil: map[string]time.Time{},
	}
	t.viewHash = t.hashView()
	t.transitionEnd = now.Add(cfg.ViewTransition)
	return t
}

// Self returns the member of this entry with its current version and leaving flag.
func (t *Table) Self() Member { return t.self }

// SetVersion sets the configuration version in force at this entry. Lower versions are ignored.
func (t *Table) SetVersion(version int) {
	if version > t.self.Version {
		t.self.Version = version
		t.generation++
	}
}

// SetLeaving marks this entry as leaving; from now on it owns no pools.
func (t *Table) SetLeaving(now time.Time) {
	t.self.Leaving = true
	t.membersChanged = true
	t.refreshView(now)
}

// SetRoster sets the entry hosts of the platform's list. A list without hosts of the local data centre is ignored,
// since it would make the entry a majority on its own. For Config.RosterHold, a view must be confirmed by a majority of
// the replaced roster as well: with three hosts, the majorities before and after a replacement need not intersect. For
// the same time after the first roster, one with an odd number of hosts must confirm a view by one vote more than a
// majority.
func (t *Table) SetRoster(now time.Time, hosts []Host) {
	self := Host{Name: t.self.Host, DataCentre: t.self.DataCentre, PeerAddress: t.self.PeerAddress}
	roster := map[string]Host{self.Name: self}
	hasLocal := false
	for _, h := range hosts {
		hasLocal = hasLocal || h.DataCentre == t.self.DataCentre
		roster[h.Name] = h
	}
	if !hasLocal {
		return
	}
	t.roster = roster
	t.updateVoters(now, roster)
}

func (t *Table) updateVoters(now time.Time, roster map[string]Host) {
	voters := map[string]bool{}
	for name, h := range roster {
		if h.DataCentre == t.self.DataCentre {
			voters[name] = true
		}
	}
	last := len(t.voters) - 1
	if last >= 0 && maps.Equal(t.voters[last].hosts, voters) {
		return
	}
	if last >= 0 {
		t.voters[last].until = now.Add(t.cfg.RosterHold)
	}
	next := voterSet{hosts: voters}
	if last < 0 {
		next.strictUntil = now.Add(t.cfg.RosterHold)
	}
	t.voters = append(t.voters, next)
	if len(t.voters) > maxRosters {
		t.voters = t.voters[1:]
	}
}

// Observe records a heartbeat of a peer of the local data centre. Heartbeats of other data centres, of the entry itself
// and of incarnations that left are ignored, as are heartbeats whose sequence number doesn't increase.
func (t *Table) Observe(now time.Time, from Member, hb wire.Heartbeat) {
	if from.DataCentre != t.self.DataCentre || from.Incarnation == t.self.Incarnation || from.Host == t.self.Host {
		return
	}
	if _, retired := t.retiredUntil[from.Incarnation]; retired {
		return
	}
	p := t.peers[from.Incarnation]
	if p == nil {
		if len(t.peers) >= maxPeers {
			return
		}
		if !t.replaceOlder(now, from) {
			return
		}
		p = &peer{}
		t.peers[from.Incarnation] = p
	}
	if hb.Seq <= p.highestSeq {
		return
	}
	before := p.member
	from.Version = hb.Version
	from.Leaving = hb.Leaving != nil && *hb.Leaving
	if p.live && before != from {
		t.membersChanged = true
	}
	p.member = from
	p.highestSeq = hb.Seq
	p.viewHash = hb.ViewHash
	p.echoedAt = t.echoTime(hb)
	t.recordHeartbeat(p, before.Leaving)
	t.refreshView(now)
}

func (t *Table) recordHeartbeat(p *peer, wasLeaving bool) {
	deadAfter := t.deadAfter()
	silent := t.activeTime-p.lastHeard > deadAfter/2
	p.lastHeard = t.activeTime
	if p.live {
		if p.member.Leaving && !wasLeaving {
			t.pendingChanges = append(t.pendingChanges, Change{Kind: LeavingSet, Member: p.member})
		}
		return
	}
	if p.deaths > 1 && (silent || p.holdUntil == 0) {
		p.holdUntil = t.activeTime + t.flapHold(p.deaths)
	}
	if p.deaths > 1 && t.activeTime < p.holdUntil {
		return
	}
	p.live = true
	t.membersChanged = true
	p.holdUntil = 0
	t.pendingChanges = append(t.pendingChanges, Change{Kind: Joined, Member: p.member})
}

// flapHold returns the delay before a flapping peer is live again. It doubles with each death, so that a host whose
// heartbeats come and go doesn't keep the whole data centre in transition.
func (t *Table) flapHold(deaths int) time.Duration {
	hold := time.Second << min(deaths, 10)
	return min(hold, t.cfg.MaxFlapHold)
}

// replaceOlder removes earlier incarnations of the same host, and reports whether from may join. As long as the earlier
// one sends heartbeats, the new one must wait: two entries that are started for one host would otherwise replace each
// other with every heartbeat.
func (t *Table) replaceOlder(now time.Time, from Member) bool {
	for id, p := range t.peers {
		if p.member.Host != from.Host {
			continue
		}
		if p.live && t.activeTime-p.lastHeard < t.cfg.OwnFresh {
			return false
		}
		t.retire(now, id)
	}
	return true
}

func (t *Table) retire(now time.Time, incarnation string) {
	p := t.peers[incarnation]
	if p == nil {
		return
	}
	delete(t.peers, incarnation)
	t.retiredUntil[incarnation] = now.Add(t.cfg.FlapWindow)
	if p.live {
		t.membersChanged = true
		t.pendingChanges = append(t.pendingChanges, Change{Kind: Left, Member: p.member})
	}
}

// Goodbye removes an incarnation that announced its stop. Heartbeats of it that arrive later are ignored.
func (t *Table) Goodbye(now time.Time, incarnation string) {
	t.retire(now, incarnation)
	t.refreshView(now)
}

// Tick detects pauses of this process, dead peers, expired sources of digests and the end of a transition. It returns
// the changes since the last tick.
func (t *Table) Tick(now time.Time) []Change {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	t.activeTime += min(max(gap, 0), 2*t.cfg.TickInterval)
	if gap > t.cfg.PauseGap {
		t.handlePause(now, gap)
	}
	t.markDeadPeers(now)
	t.expireRemote()
	t.pruneExpired(now)
	t.refreshView(now)
	if t.reportedHash == 0 && !now.Before(t.transitionEnd) {
		t.reportedHash = t.viewHash
	}
	changes := t.pendingChanges
	t.pendingChanges = nil
	return changes
}

// handlePause withdraws the confirmation and restarts the transition: other entries may have taken over the pools of
// this entry during the pause.
func (t *Table) handlePause(now time.Time, gap time.Duration) {
	t.startTransition(now)
	for _, p := range t.peers {
		p.echoedAt = time.Time{}
	}
	t.pendingChanges = append(t.pendingChanges, Change{Kind: Paused, Member: t.self, Gap: gap})
}

func (t *Table) markDeadPeers(now time.Time) {
	deadAfter := t.deadAfter()
	for _, p := range t.peers {
		if !p.live || t.activeTime-p.lastHeard < deadAfter {
			continue
		}
		if now.Sub(p.diedAt) > t.cfg.FlapWindow {
			p.deaths = 0
		}
		p.live = false
		t.membersChanged = true
		p.deaths++
		p.diedAt = now
		t.pendingChanges = append(t.pendingChanges, Change{Kind: Died, Member: p.member})
	}
}

// pruneExpired drops outdated incarnations, rosters and unreachable hosts, so that memory stays bounded.
func (t *Table) pruneExpired(now time.Time) {
	for id, p := range t.peers {
		if !p.live && !p.diedAt.IsZero() && now.Sub(p.diedAt) > 2*t.cfg.FlapWindow {
			delete(t.peers, id)
		}
	}
	for id, until := range t.retiredUntil {
		if now.After(until) {
			delete(t.retiredUntil, id)
		}
	}
	t.voters = slices.DeleteFunc(t.voters, func(v voterSet) bool { return !v.until.IsZero() && now.After(v.until) })
	for name, until := range t.unreachableUntil {
		if now.After(until) {
			delete(t.unreachableUntil, name)
		}
	}
}

func (t *Table) deadAfter() time.Duration {
	return time.Duration(t.cfg.DeadIntervals) * t.Interval()
}

// Interval returns the heartbeat interval: the larger of Config.Interval and the one that keeps the heartbeats to all
// peers within Config.HeartbeatBudget.
func (t *Table) Interval() time.Duration {
	bytesPerRound := len(t.peers) * wire.HeartbeatFrameBytes
	return max(t.cfg.Interval, time.Duration(bytesPerRound)*time.Second/time.Duration(t.cfg.HeartbeatBudget))
}

// HeartbeatDue reports whether an interval has passed since the last heartbeat.
func (t *Table) HeartbeatDue(now time.Time) bool {
	return t.lastHeartbeat.IsZero() || now.Sub(t.lastHeartbeat) >= t.Interval()
}

// Heartbeat returns the next heartbeat, with an echo for each peer, and records now as its send time. EchoFor reduces
// the echoes to the one that a receiver needs.
func (t *Table) Heartbeat(now time.Time) wire.Heartbeat {
	t.seq++
	t.lastHeartbeat = now
	t.sentHeartbeats[t.seq%sentHistory] = sentHeartbeat{seq: t.seq, at: now}
	hb := wire.Heartbeat{Seq: t.seq, ViewHash: t.reportedHash, Version: t.self.Version}
	if t.self.Leaving {
		leaving := true
		hb.Leaving = &leaving
	}
	for id, p := range t.peers {
		hb.Echoes = append(hb.Echoes, wire.Echo{Incarnation: id, Seq: p.highestSeq})
	}
	sort.Slice(hb.Echoes, func(i, j int) bool { return hb.Echoes[i].Incarnation < hb.Echoes[j].Incarnation })
	return hb
}

// EchoFor returns the heartbeat with only the echo for one receiver. Echoes for other peers are of no use to it, and
// would make the traffic of a data centre grow with the cube of its entries.
func EchoFor(hb wire.Heartbeat, receiver string) wire.Heartbeat {
	i := sort.Search(len(hb.Echoes), func(i int) bool { return hb.Echoes[i].Incarnation >= receiver })
	found := i < len(hb.Echoes) && hb.Echoes[i].Incarnation == receiver
	seq := 0
	if found {
		seq = hb.Echoes[i].Seq
	}
	hb.Echoes = nil
	if found {
		hb.Echoes = []wire.Echo{{Seq: seq}}
	}
	return hb
}

// echoTime returns the send time of this entry's heartbeat that hb echoes, or the zero time if there is none or its
// send time is no longer kept.
func (t *Table) echoTime(hb wire.Heartbeat) time.Time {
	for _, e := range hb.Echoes {
		if e.Incarnation != "" && e.Incarnation != t.self.Incarnation {
			continue
		}
		if e.Seq < 1 {
			return time.Time{}
		}
		if s := t.sentHeartbeats[e.Seq%sentHistory]; s.seq == e.Seq {
			return s.at
		}
	}
	return time.Time{}
}
