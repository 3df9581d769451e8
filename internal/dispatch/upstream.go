package dispatch

import (
	"math/bits"
	"time"
)

// maxRoutes bounds the routes with statistics of their own; later ones share the last index.
const maxRoutes = 64

// upstream is the state of one upstream. Its slots are counted exactly: only this pool sends to it.
type upstream struct {
	spec  UpstreamSpec
	group *group

	inFlight       int
	oldest, newest *call // running calls in the order of their grants
	grants         uint64
	lastCall       time.Time
	lastProbe      time.Time
	probeSent      time.Time
	probeFailed    bool

	cold         bool
	coldReason   string
	allowance    int
	coldProgress int       // successes at normal latency since the last step
	suspectUntil time.Time // one call at a time until then: peers have just become cold

	draining     bool // by its own report
	gone         bool // no longer in the Spec
	ejectedUntil time.Time
	ejectReason  string
	ejections    int
	unreachable  time.Time // no calls until then, after refused connections; not counted as ejected
	refusedConns int       // refused connections in a row
	lastEjected  time.Time
	ratio        float64 // moving mean of latency relative to the peers' median
	avoid        bool    // used last: slower than its peers, or ejection would exceed half of the pool
	slowRoutes   uint64
	slowUntil    time.Time

	routes       [maxRoutes]routeStat
	failRate     float64
	outcomes     int
	failsInRow   int
	pastFailures past
	bound        bool // its last judged call was bound to its version
	notRunInRow  int

	report    reportState
	inherited inherited

	// Membership in one of the group's free lists.
	list       *freeList
	level      int
	prev, next *upstream
	counted    int  // slots counted in the group's total
	countedAs  kind // list that counted belongs to
}

// kind is the order in which free lists are tried.
type kind uint8

const (
	kindWarm kind = iota
	kindCold
	kindAvoid
	kinds
)

func (u *upstream) kind() kind {
	switch {
	case u.cold:
		return kindCold
	case u.avoid:
		return kindAvoid
	}
	return kindWarm
}

func (u *upstream) ejected() bool { return !u.ejectedUntil.IsZero() }

func (u *upstream) leaving() bool { return u.spec.Leaving || u.draining }

// limit is the number of calls that the upstream may run now.
func (u *upstream) limit() int {
	n := u.capacity()
	if !u.suspectUntil.IsZero() {
		n = min(n, 1)
	}
	return n
}

// capacity is the limit without the short time after signs of cold start at peers.
func (u *upstream) capacity() int {
	if u.ejected() || u.leaving() || !u.unreachable.IsZero() {
		return 0
	}
	if u.cold && u.inherited.unknown {
		return 0
	}
	n := min(u.allowance, u.spec.Slots)
	if u.report.foreign > 0 {
		n = max(1, n-u.report.foreign)
	}
	left := n - u.inherited.running
	if u.cold {
		return max(0, left)
	}
	// A warm upstream sheds what is too much, and the report of one call tells which inherited ones have ended.
	return max(1, left)
}

// group holds the upstreams of one version, which are each other's peers.
type group struct {
	version string
	members []*upstream
	free    [kinds]freeList
	slots   [kinds]int
	running int
	medians [maxRoutes]float64 // seconds per route; zero while unknown
	failSum float64            // sum of the members' failure rates
	signAt  time.Time          // last sign of an unannounced cold start of a member
	signBy  *upstream
}

// capacity is the number of usable slots; cold ones count only with a confirmed view.
func (g *group) capacity(confirmed bool) int {
	n := g.slots[kindWarm] + g.slots[kindAvoid]
	if confirmed {
		n += g.slots[kindCold]
	}
	return n
}

const freeLevels = 64

// freeList orders upstreams with free slots by the used part of their limit, and within a level by the time since
// which they are there, so that the least loaded one is found without a scan.
type freeList struct {
	occupied   uint64
	head, tail [freeLevels]*upstream
}

func (l *freeList) add(u *upstream, level int) {
	u.list, u.level = l, level
	u.prev, u.next = l.tail[level], nil
	if u.prev != nil {
		u.prev.next = u
	} else {
		l.head[level] = u
	}
	l.tail[level] = u
	l.occupied |= 1 << level
}

func (l *freeList) remove(u *upstream) {
	if u.prev != nil {
		u.prev.next = u.next
	} else {
		l.head[u.level] = u.next
	}
	if u.next != nil {
		u.next.prev = u.prev
	} else {
		l.tail[u.level] = u.prev
	}
	if l.head[u.level] == nil {
		l.occupied &^= 1 << u.level
	}
	u.list, u.prev, u.next = nil, nil, nil
}

// first returns the least loaded upstream that the call may use, or nil.
func (l *freeList) first(c *call) *upstream {
	for rest := l.occupied; rest != 0; rest &= rest - 1 {
		for u := l.head[bits.TrailingZeros64(rest)]; u != nil; u = u.next {
			if c.mayUse(u) {
				return u
			}
		}
	}
	return nil
}

// relink puts the upstream into the free list that fits its state. It is called after every change of that state.
func (p *Pool) relink(u *upstream) {
	if u.list != nil {
		u.list.remove(u)
	}
	g := u.group
	g.slots[u.countedAs] -= u.counted
	limit, capacity := 0, 0
	if !p.spec.Closed {
		limit, capacity = u.limit(), u.capacity()
	}
	u.counted, u.countedAs = capacity, u.kind()
	g.slots[u.countedAs] += capacity
	if u.inFlight < limit {
		g.free[u.countedAs].add(u, u.inFlight*freeLevels/limit)
	}
}

// Cold upstreams need calls to warm up; calls of the highest priority use them only when no warm slot is free.
var (
	orderUrgent = [kinds]kind{kindWarm, kindCold, kindAvoid}
	orderOther  = [kinds]kind{kindCold, kindWarm, kindAvoid}
)

// pick returns the upstream for the call, or nil when no slot is free for it.
func (p *Pool) pick(now time.Time, c *call) *upstream {
	order := &orderOther
	if c.level == 0 {
		order = &orderUrgent
	}
	for _, k := range order {
		if k == kindCold && !now.Before(p.confirmedUntil) {
			continue
		}
		u := p.pickKind(c, k)
		if u == nil || k == kindAvoid && !p.worthSlow(u) {
			continue
		}
		return u
	}
	return nil
}

func (p *Pool) pickKind(c *call, k kind) *upstream {
	var best *upstream
	for _, g := range p.groups {
		if g.free[k].occupied == 0 || c.req.Version != "" && c.req.Version != g.version {
			continue
		}
		u := g.free[k].first(c)
		if u != nil && (best == nil || u.level < best.level) {
			best = u
		}
	}
	return best
}

// worthSlow reports whether waiting for a normal slot takes longer than the extra latency of a slow upstream.
func (p *Pool) worthSlow(u *upstream) bool {
	normal := u.group.slots[kindWarm]
	if normal == 0 {
		return true
	}
	wait := float64(p.queued+1) * p.service.mean / float64(normal)
	return wait > u.extraLatency()
}

// hold takes a slot of the upstream for the call.
func (p *Pool) hold(now time.Time, u *upstream, c *call) {
	c.up, c.granted, c.coldThen = u, now, u.cold
	c.older, c.newer = u.newest, nil
	if u.newest != nil {
		u.newest.newer = c
	} else {
		u.oldest = c
	}
	u.newest = c
	u.inFlight++
	u.group.running++
	u.grants++
	u.lastCall = now
	p.inFlight++
	p.relink(u)
}

// release frees the call's slot. The caller relinks the upstream once it has recorded the outcome.
func (p *Pool) release(now time.Time, c *call) {
	u := c.up
	c.unlink(&u.oldest, &u.newest)
	c.up = nil
	u.inFlight--
	u.group.running--
	u.lastCall = now
	p.inFlight--
}
