package membership

import (
	"maps"
	"slices"
	"sort"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// sentHistory is the number of own heartbeats whose send time is kept. It covers OwnFresh at the shortest interval with
// a wide margin.
const sentHistory = 64

// maxPeers bounds the live and dead incarnations that the table keeps of its own data centre.
const maxPeers = 1024

// maxRosters bounds the rosters that take part in a confirmation at one time.
const maxRosters = 8

// Table holds the members that one entry knows. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	self       Member
	peers      map[string]*peer // by incarnation, own data centre
	remote     map[string]*remoteCentre
	roster     map[string]Host      // by name, all data centres
	voters     []electorate         // rosters of the own data centre that confirm a view, the current one last
	unreached  map[string]time.Time // host name -> time until which it is passed over
	retired    map[string]time.Time // incarnations that left, until they are forgotten
	lastTick   time.Time
	ran        time.Duration // time counted in ticks that really ran
	seq        int
	lastBeat   time.Time
	sent       [sentHistory]sentBeat
	view       int       // hash of the current view
	steadyFrom time.Time // end of the transition
	inForce    int       // hash reported; 0 in transition
	pending    []Change
	changed    bool   // the own data centre changed since the view was hashed
	generation uint64 // rises with each change that Members shows
}

// electorate is the set of entry hosts of the own data centre on one roster.
type electorate struct {
	hosts map[string]bool
	until time.Time // zero for the current one
	// strictUntil is the time until which one vote more than a majority is needed; zero for later rosters.
	strictUntil time.Time
}

// need returns the number of hosts that confirm a view. Majorities of two odd rosters that differ by a replaced host
// need not intersect. An entry that has just started doesn't know the earlier roster, which other entries may still use.
func (v electorate) need(now time.Time) int {
	n := len(v.hosts)
	if n > 1 && n%2 == 1 && now.Before(v.strictUntil) {
		return n/2 + 2
	}
	return n/2 + 1
}

type sentBeat struct {
	seq int
	at  time.Time
}

type peer struct {
	member    Member
	live      bool
	heard     time.Duration // value of Table.ran at the last heartbeat
	highest   int           // highest heartbeat sequence number received
	hash      int           // view hash of that heartbeat
	echoedAt  time.Time     // send time of the own heartbeat echoed with it
	deaths    int
	diedAt    time.Time
	holdUntil time.Duration // value of Table.ran before which a flapping peer isn't live again
}

// New returns a table that knows only the entry itself. Its view is in transition, and stays unconfirmed until a roster
// is set: a lone entry would otherwise be a majority of the hosts that it knows.
func New(self Member, cfg Config, now time.Time) *Table {
	t := &Table{
		cfg: cfg, self: self, lastTick: now,
		peers: map[string]*peer{}, remote: map[string]*remoteCentre{}, roster: map[string]Host{},
		unreached: map[string]time.Time{}, retired: map[string]time.Time{},
	}
	t.view = t.hashView()
	t.steadyFrom = now.Add(cfg.ViewTransition)
	return t
}

// Self returns the own member with its current version and leaving flag.
func (t *Table) Self() Member { return t.self }

// SetVersion sets the configuration version that the entry has in force. It never falls.
func (t *Table) SetVersion(version int) {
	if version > t.self.Version {
		t.self.Version = version
		t.generation++
	}
}

// SetLeaving declares that the entry leaves; it owns no pools from now on.
func (t *Table) SetLeaving(now time.Time) {
	t.self.Leaving = true
	t.changed = true
	t.refreshView(now)
}

// SetRoster sets the entry hosts of the platform's list. A list without hosts of the own data centre is ignored, since
// it would make the entry a majority on its own. For Config.RosterHold, a view must be confirmed by a majority of the
// replaced roster as well: with three hosts, the majorities before and after a replacement need not intersect. For the
// same time after the first roster, an odd one must confirm a view by one vote more than a majority.
func (t *Table) SetRoster(now time.Time, hosts []Host) {
	self := Host{Name: t.self.Host, DataCentre: t.self.DataCentre, PeerAddress: t.self.PeerAddress}
	roster := map[string]Host{self.Name: self}
	own := false
	for _, h := range hosts {
		own = own || h.DataCentre == t.self.DataCentre
		roster[h.Name] = h
	}
	if !own {
		return
	}
	t.roster = roster
	t.setVoters(now, roster)
}

func (t *Table) setVoters(now time.Time, roster map[string]Host) {
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
	next := electorate{hosts: voters}
	if last < 0 {
		next.strictUntil = now.Add(t.cfg.RosterHold)
	}
	t.voters = append(t.voters, next)
	if len(t.voters) > maxRosters {
		t.voters = t.voters[1:]
	}
}

// Observe records a heartbeat of a peer of the own data centre. Heartbeats of other data centres, of the entry itself
// and of incarnations that left are ignored, as are heartbeats whose sequence number doesn't rise.
func (t *Table) Observe(now time.Time, from Member, hb wire.Heartbeat) {
	if from.DataCentre != t.self.DataCentre || from.Incarnation == t.self.Incarnation || from.Host == t.self.Host {
		return
	}
	if _, gone := t.retired[from.Incarnation]; gone {
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
	if hb.Seq <= p.highest {
		return
	}
	before := p.member
	from.Version = hb.Version
	from.Leaving = hb.Leaving != nil && *hb.Leaving
	if p.live && before != from {
		t.changed = true
	}
	p.member = from
	p.highest = hb.Seq
	p.hash = hb.ViewHash
	p.echoedAt = t.echoTime(hb)
	t.hear(p, before.Leaving)
	t.refreshView(now)
}

func (t *Table) hear(p *peer, wasLeaving bool) {
	deadAfter := t.deadAfter()
	silent := t.ran-p.heard > deadAfter/2
	p.heard = t.ran
	if p.live {
		if p.member.Leaving && !wasLeaving {
			t.pending = append(t.pending, Change{Kind: LeavingSet, Member: p.member})
		}
		return
	}
	if p.deaths > 1 && (silent || p.holdUntil == 0) {
		p.holdUntil = t.ran + t.flapHold(p.deaths)
	}
	if p.deaths > 1 && t.ran < p.holdUntil {
		return
	}
	p.live = true
	t.changed = true
	p.holdUntil = 0
	t.pending = append(t.pending, Change{Kind: Joined, Member: p.member})
}

// flapHold doubles with each death, so that a host whose heartbeats come and go doesn't keep the whole data centre in
// transition.
func (t *Table) flapHold(deaths int) time.Duration {
	hold := time.Second << min(deaths, 10)
	return min(hold, t.cfg.MaxFlapHold)
}

// replaceOlder removes earlier incarnations of the same host, and reports whether from may join. While the earlier one
// is still heard, the new one waits: two entries that are started for one host would otherwise replace each other with
// every heartbeat.
func (t *Table) replaceOlder(now time.Time, from Member) bool {
	for id, p := range t.peers {
		if p.member.Host != from.Host {
			continue
		}
		if p.live && t.ran-p.heard < t.cfg.OwnFresh {
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
	t.retired[incarnation] = now.Add(t.cfg.FlapWindow)
	if p.live {
		t.changed = true
		t.pending = append(t.pending, Change{Kind: Left, Member: p.member})
	}
}

// Goodbye removes an incarnation that stopped as planned. Late heartbeats of it are ignored.
func (t *Table) Goodbye(now time.Time, incarnation string) {
	t.retire(now, incarnation)
	t.refreshView(now)
}

// Tick detects pauses of the own process, dead peers, stale digests and the end of a transition. It returns the changes
// since the last tick.
func (t *Table) Tick(now time.Time) []Change {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	t.ran += min(max(gap, 0), 2*t.cfg.TickInterval)
	if gap > t.cfg.PauseGap {
		t.pause(now, gap)
	}
	t.buryDead(now)
	t.expireRemote()
	t.forget(now)
	t.refreshView(now)
	if t.inForce == 0 && !now.Before(t.steadyFrom) {
		t.inForce = t.view
	}
	changes := t.pending
	t.pending = nil
	return changes
}

// pause drops the confirmation and restarts the transition: other entries may have taken the own pools meanwhile.
func (t *Table) pause(now time.Time, gap time.Duration) {
	t.startTransition(now)
	for _, p := range t.peers {
		p.echoedAt = time.Time{}
	}
	t.pending = append(t.pending, Change{Kind: Paused, Member: t.self, Gap: gap})
}

func (t *Table) buryDead(now time.Time) {
	deadAfter := t.deadAfter()
	for _, p := range t.peers {
		if !p.live || t.ran-p.heard < deadAfter {
			continue
		}
		if now.Sub(p.diedAt) > t.cfg.FlapWindow {
			p.deaths = 0
		}
		p.live = false
		t.changed = true
		p.deaths++
		p.diedAt = now
		t.pending = append(t.pending, Change{Kind: Died, Member: p.member})
	}
}

// forget bounds the memory that dead and retired incarnations take.
func (t *Table) forget(now time.Time) {
	for id, p := range t.peers {
		if !p.live && !p.diedAt.IsZero() && now.Sub(p.diedAt) > 2*t.cfg.FlapWindow {
			delete(t.peers, id)
		}
	}
	for id, until := range t.retired {
		if now.After(until) {
			delete(t.retired, id)
		}
	}
	t.voters = slices.DeleteFunc(t.voters, func(v electorate) bool { return !v.until.IsZero() && now.After(v.until) })
	for name, until := range t.unreached {
		if now.After(until) {
			delete(t.unreached, name)
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
	return t.lastBeat.IsZero() || now.Sub(t.lastBeat) >= t.Interval()
}

// Heartbeat returns the next heartbeat, with an echo for each peer, and takes now as its send time. EchoFor reduces it
// to the echo that one receiver needs.
func (t *Table) Heartbeat(now time.Time) wire.Heartbeat {
	t.seq++
	t.lastBeat = now
	t.sent[t.seq%sentHistory] = sentBeat{seq: t.seq, at: now}
	hb := wire.Heartbeat{Seq: t.seq, ViewHash: t.inForce, Version: t.self.Version}
	if t.self.Leaving {
		leaving := true
		hb.Leaving = &leaving
	}
	for id, p := range t.peers {
		hb.Echoes = append(hb.Echoes, wire.Echo{Incarnation: id, Seq: p.highest})
	}
	sort.Slice(hb.Echoes, func(i, j int) bool { return hb.Echoes[i].Incarnation < hb.Echoes[j].Incarnation })
	return hb
}

// EchoFor returns the heartbeat with only the echo for one receiver. Echoes of others are of no use to it, and would
// make the traffic of a data centre grow with the cube of its entries.
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

// echoTime returns when the own heartbeat was sent that hb echoes; zero when there is none or it is too old to know.
func (t *Table) echoTime(hb wire.Heartbeat) time.Time {
	for _, e := range hb.Echoes {
		if e.Incarnation != "" && e.Incarnation != t.self.Incarnation {
			continue
		}
		if e.Seq < 1 {
			return time.Time{}
		}
		if s := t.sent[e.Seq%sentHistory]; s.seq == e.Seq {
			return s.at
		}
	}
	return time.Time{}
}
