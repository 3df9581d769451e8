package probeplan

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// settleTime is the time after which a leader that has started, a follower that has joined, and an upstream that was taken back
	// take part in delegation. Entries that restart or change their role often would otherwise cause many new connections.
	settleTime = time.Second
	// closedLinkWait is the time after the end of a follower's link during which it may go on probing.
	closedLinkWait = time.Second
	// verifyTime is how long the leader goes on probing an upstream itself after an unanswered probe.
	verifyTime = 5 * time.Second
	// avoidTime is how long a follower that was silent gets no upstreams.
	avoidTime = 5 * time.Second
	// minSilence and silentIntervals define for how long an upstream may be without a report before the leader probes it itself.
	minSilence      = 300 * time.Millisecond
	silentIntervals = 4
	// unansweredReportDelay is the longest time from an unanswered probe to its report: 250 ms until the response is overdue, 250 ms for
	// a new connection, and the delay of the link. A silent prober keeps its number for that long, so that a silent crash isn't noticed
	// later than without delegation.
	unansweredReportDelay = 600 * time.Millisecond
	// maxStep is the time between two ticks that counts as silence at most. After a longer one the leader was short of processor
	// itself, and reports may wait unread.
	maxStep = 50 * time.Millisecond
	// maxStarts is the number of upstreams that are delegated per tick, so that connections are opened at a limited rate.
	maxStarts = 50
)

// FollowerID identifies the link of a follower. It is unique within a leadership.
type FollowerID uint64

// Follower is an entry that may probe on behalf of the leader.
type Follower struct {
	DataCentre string
	CPUShare   float64 // in cores
	// Suitable is false for a follower that lacks the setting or is shutting down.
	Suitable bool
}

// Target is an upstream to probe.
type Target struct {
	ID, Service, DataCentre, Address, HealthPath string
	Born                                         int64
}

// Cause is the reason for which the leader probes a delegated upstream itself again.
type Cause uint8

// Causes for which the leader takes an upstream back.
const (
	Unanswered Cause = iota // a probe was unanswered; the follower continues too
	Silent                  // no reports
	Left                    // the follower's link has closed, or it is shutting down
	Overload                // the probe rate of the follower is above its limit
	Minority                // the leader is followed by a minority
	NumCauses               // number of causes
)

// String returns the name of the cause in metrics.
func (c Cause) String() string {
	return [...]string{"unanswered", "silent", "left", "overload", "minority"}[c]
}

// Start orders a follower to probe an upstream.
type Start struct {
	Follower FollowerID
	Number   uint32
	Target   Target
}

// Stop orders a follower to stop probing an upstream. It confirms that, see Plan.Stopped.
type Stop struct {
	Follower FollowerID
	Number   uint32
}

// Own starts or ends the leader's own probing of an upstream.
type Own struct {
	Upstream string
	Probe    bool
}

// Orders are the results of one method call on a Plan. They are valid until the next call, and the starts precede the stops.
type Orders struct {
	Start []Start
	Stop  []Stop
	Own   []Own
}

// Options configure a Plan.
type Options struct {
	DataCentre string // of the leader, which probes the upstreams there itself
	// RatePerCore is the number of probes per second and core of CPU share that a follower may send.
	RatePerCore float64
	StartedAt   time.Time // start of the leadership
}

// Plan holds which entry probes each upstream. It is not safe for concurrent use.
type Plan struct {
	o         Options
	local     int // upstreams in the leader's data centre
	upstreams map[string]*upstream
	sorted    []*upstream // by ID
	numbers   map[uint32]*upstream
	followers map[FollowerID]*follower
	// stopping holds the numbers that were withdrawn and whose followers haven't confirmed yet that they stopped, and unconfirmed
	// counts them by address. Such an upstream isn't delegated, since three entries might then probe it.
	stopping    map[uint32]stopping
	unconfirmed map[string]int
	lastNumber  uint32
	tickedAt    time.Time
	// observed is the time for which the leader was able to receive reports.
	observed  time.Duration
	takenBack [NumCauses]uint64
	orders    Orders
}

// upstream is the state of an upstream in another data centre than the leader's.
type upstream struct {
	target     Target
	own        bool // the leader probes it
	number     uint32
	prober     *follower     // nil while it isn't delegated; number is 0 then
	heardAt    time.Duration // Plan.observed at the last report
	withdrawAt time.Duration // Plan.observed at which the prober, which was silent, is told to stop; 0 if it wasn't silent
	earliest   time.Time
	// answered is set after an answered probe until the next unanswered one, which came last at unansweredAt.
	answered     bool
	unansweredAt time.Time
	ownResult    bool // there is a result of the leader's own probing since that began
	newest       time.Time
}

type follower struct {
	Follower
	id       FollowerID
	joined   time.Time
	assigned int           // upstreams that it probes
	heardAt  time.Duration // Plan.observed at the last report
	// avoidUntil is set when no reports came from it.
	avoidUntil time.Time
}

type stopping struct {
	follower FollowerID
	address  string
	expires  time.Time // set when the link of the follower has closed, so that no confirmation will come
}

// New returns a plan in which the leader probes all upstreams.
func New(o Options) *Plan {
	return &Plan{
		o: o, upstreams: map[string]*upstream{}, numbers: map[uint32]*upstream{}, followers: map[FollowerID]*follower{},
		stopping: map[uint32]stopping{}, unconfirmed: map[string]int{}, tickedAt: o.StartedAt,
	}
}

// Configure replaces the upstreams. The leader starts to probe those that are new or have changed.
func (p *Plan) Configure(targets []Target) Orders {
	p.reset()
	p.local = 0
	wanted := make(map[string]struct{}, len(targets))
	for _, t := range targets {
		if t.DataCentre == p.o.DataCentre {
			p.local++
			continue
		}
		wanted[t.ID] = struct{}{}
		u := p.upstreams[t.ID]
		if u != nil && u.target == t {
			continue
		}
		p.drop(u)
		p.upstreams[t.ID] = &upstream{target: t, own: true}
	}
	p.sorted = p.sorted[:0]
	for id, u := range p.upstreams {
		if _, ok := wanted[id]; !ok {
			p.drop(u)
			delete(p.upstreams, id)
			continue
		}
		p.sorted = append(p.sorted, u)
	}
	slices.SortFunc(p.sorted, func(a, b *upstream) int { return cmp.Compare(a.target.ID, b.target.ID) })
	return p.orders
}

// SetFollower adds a follower or changes it. Its upstreams are taken back if it isn't suitable any more.
func (p *Plan) SetFollower(now time.Time, id FollowerID, f Follower) Orders {
	p.reset()
	known := p.followers[id]
	if known == nil {
		known = &follower{id: id, joined: now}
		p.followers[id] = known
	}
	known.Follower = f
	if !f.Suitable {
		p.takeBackFrom(now, known, Left)
	}
	return p.orders
}

// RemoveFollower removes a follower whose link has closed. It stops all probes until another follower is chosen, because it notices the end
// of the link too, perhaps later than the leader.
func (p *Plan) RemoveFollower(now time.Time, id FollowerID) Orders {
	p.reset()
	f := p.followers[id]
	if f == nil {
		return p.orders
	}
	p.takeBackFrom(now, f, Left)
	for number, s := range p.stopping {
		if s.follower == id {
			s.expires = now.Add(closedLinkWait)
			p.stopping[number] = s
		}
	}
	p.orders.Stop = p.orders.Stop[:0]
	delete(p.followers, id)
	return p.orders
}

// Stopped records that a follower has confirmed a Stop.
func (p *Plan) Stopped(id FollowerID, number uint32) {
	if s, ok := p.stopping[number]; ok && s.follower == id {
		p.confirm(number, s)
	}
}

func (p *Plan) confirm(number uint32, s stopping) {
	delete(p.stopping, number)
	if p.unconfirmed[s.address]--; p.unconfirmed[s.address] <= 0 {
		delete(p.unconfirmed, s.address)
	}
}

// reset starts a new set of orders.
func (p *Plan) reset() {
	p.orders.Start, p.orders.Stop, p.orders.Own = p.orders.Start[:0], p.orders.Stop[:0], p.orders.Own[:0]
}

// drop ends the delegation of an upstream whose record has changed or gone. The leader probes what may have taken its place.
func (p *Plan) drop(u *upstream) {
	if u == nil {
		return
	}
	p.withdraw(u)
	if !u.own {
		p.orders.Own = append(p.orders.Own, Own{Upstream: u.target.ID, Probe: true})
	}
}

// withdraw ends the delegation of an upstream, if it is delegated.
func (p *Plan) withdraw(u *upstream) {
	if u.prober == nil {
		return
	}
	p.orders.Stop = append(p.orders.Stop, Stop{Follower: u.prober.id, Number: u.number})
	p.stopping[u.number] = stopping{follower: u.prober.id, address: u.target.Address}
	p.unconfirmed[u.target.Address]++
	delete(p.numbers, u.number)
	u.prober.assigned--
	u.prober, u.number, u.withdrawAt = nil, 0, 0
}

// takeBackFrom takes back all upstreams of a follower.
func (p *Plan) takeBackFrom(now time.Time, f *follower, cause Cause) {
	if f.assigned == 0 {
		return
	}
	for _, u := range p.sorted {
		if u.prober == f {
			p.takeBack(now, u, cause)
		}
	}
}

func (p *Plan) takeBack(now time.Time, u *upstream, cause Cause) {
	p.probeOwn(u, cause)
	p.withdraw(u)
	u.earliest = now.Add(settleTime)
}

// probeOwn makes the leader probe a delegated upstream, unless it does already.
func (p *Plan) probeOwn(u *upstream, cause Cause) {
	if u.own {
		return
	}
	u.own, u.ownResult = true, false
	p.takenBack[cause]++
	p.orders.Own = append(p.orders.Own, Own{Upstream: u.target.ID, Probe: true})
}

// Prober returns the follower that probes an upstream, and the number by which it knows it.
func (p *Plan) Prober(id string) (f FollowerID, number uint32, delegated bool) {
	u := p.upstreams[id]
	if u == nil || u.prober == nil {
		return 0, 0, false
	}
	return u.prober.id, u.number, true
}

// Status tells who probes the upstreams of a data centre.
type Status struct {
	Upstreams int          // upstreams that are probed from the data centre
	Probers   []FollowerID // in the order of their IDs; none for the leader itself
}

// Status returns who probes, by data centre.
func (p *Plan) Status() map[string]Status {
	out := map[string]Status{}
	own := p.local
	for _, u := range p.sorted {
		if u.own {
			own++
		}
	}
	out[p.o.DataCentre] = Status{Upstreams: own}
	for _, id := range slices.Sorted(maps.Keys(p.followers)) {
		if f := p.followers[id]; f.assigned > 0 {
			s := out[f.DataCentre]
			s.Upstreams += f.assigned
			s.Probers = append(s.Probers, id)
			out[f.DataCentre] = s
		}
	}
	return out
}

// TakenBack returns how often the leader started to probe a delegated upstream itself, by cause.
func (p *Plan) TakenBack() [NumCauses]uint64 { return p.takenBack }
