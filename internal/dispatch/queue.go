package dispatch

import (
	"time"
)

// maxClasses is the width of the class sets in nextClass.
const maxClasses = 64

// call is one attempt that the pool holds, queued or running.
type call struct {
	req     Request
	level   int // index of the class whose queue it uses
	class   int // index of its own class
	route   int
	arrived time.Time

	up       *upstream // nil while queued
	granted  time.Time
	coldThen bool // the upstream was known to be cold at the grant

	lane  *lane
	queue *customerQueue
	// older and newer link the calls of a customer queue, of the retry list or of an upstream.
	older, newer *call
}

// unlink takes the call out of the list between first and last.
func (c *call) unlink(first, last **call) {
	if c.older != nil {
		c.older.newer = c.newer
	} else {
		*first = c.newer
	}
	if c.newer != nil {
		c.newer.older = c.older
	} else {
		*last = c.older
	}
	c.older, c.newer = nil, nil
}

// mayUse reports whether the exclusion list and the upstream's slow routes allow the call.
func (c *call) mayUse(u *upstream) bool {
	if u.slowRoutes&(1<<c.route) != 0 {
		return false
	}
	for _, name := range c.req.Exclude {
		if name == u.spec.Name {
			return false
		}
	}
	return true
}

// class is one request class: its lanes by version, and the calls with exclusion lists, which wait apart so that they
// don't block their customer's other calls.
type class struct {
	spec    ClassSpec
	lanes   []*lane
	retries lane
	queued  int
	credit  float64
	arrival rate
	service estimate
}

// maxRetryScan bounds the calls with exclusion lists that one decision looks at.
const maxRetryScan = 8

func (k *class) laneOf(version string) *lane {
	for _, l := range k.lanes {
		if l.version == version {
			return l
		}
	}
	l := &lane{version: version, customers: map[string]*customerQueue{}}
	k.lanes = append(k.lanes, l)
	return l
}

func (p *Pool) enqueue(c *call) {
	k := &p.classes[c.level]
	if len(c.req.Exclude) > 0 {
		k.retries.push(p, c)
	} else {
		k.laneOf(c.req.Version).push(p, c)
	}
	k.queued++
	p.queued++
	if p.nextExpiry.IsZero() || c.req.Deadline.Before(p.nextExpiry) {
		p.nextExpiry = c.req.Deadline
	}
}

func (p *Pool) unqueue(c *call) {
	p.classes[c.level].queued--
	p.queued--
	c.lane.remove(p, c)
}

// dispatchQueued grants queued calls while slots are free for them.
func (p *Pool) dispatchQueued(now time.Time) {
	for p.queued > 0 {
		var can uint64
		var next [maxClasses]*call
		var at [maxClasses]*upstream
		for i := range p.classes {
			if p.classes[i].queued == 0 {
				continue
			}
			if next[i], at[i] = p.nextOf(now, i); next[i] != nil {
				can |= 1 << i
			}
		}
		i := p.nextClass(can)
		if i < 0 {
			return
		}
		p.serve(now, next[i], at[i])
	}
}

// serve grants the queued call that nextOf returned.
func (p *Pool) serve(now time.Time, c *call, u *upstream) {
	k := &p.classes[c.level]
	p.charge(c.level)
	k.queued--
	p.queued--
	c.lane.take(p, c)
	p.grant(now, c, u)
}

// nextOf returns the oldest call among the heads of the class's lanes that has a free upstream.
func (p *Pool) nextOf(now time.Time, i int) (*call, *upstream) {
	k := &p.classes[i]
	var best *call
	var at *upstream
	for _, l := range k.lanes {
		c := p.liveHead(now, l)
		if c == nil || best != nil && !c.arrived.Before(best.arrived) {
			continue
		}
		if u := p.pick(now, c); u != nil {
			best, at = c, u
		}
	}
	if k.retries.n == 0 {
		return best, at
	}
	scanned := 0
	for q := k.retries.turn; q != nil && scanned < maxRetryScan; q = q.next {
		for c := q.head; c != nil && scanned < maxRetryScan; c = c.newer {
			scanned++
			if best != nil && !c.arrived.Before(best.arrived) {
				break
			}
			if p.tooLate(now, c) {
				continue // refused by the next Tick
			}
			if u := p.pick(now, c); u != nil {
				best, at = c, u
			}
		}
		if q.next == k.retries.turn {
			break
		}
	}
	return best, at
}

// liveHead returns the lane's next call that can still meet its deadline; it refuses those that cannot.
func (p *Pool) liveHead(now time.Time, l *lane) *call {
	for {
		c := l.peek()
		if c == nil || !p.tooLate(now, c) {
			return c
		}
		p.unqueue(c)
		p.refuse(now, c, ReasonDeadline)
	}
}

// tooLate reports whether the call would miss its deadline if it were granted now.
func (p *Pool) tooLate(now time.Time, c *call) bool {
	return now.Add(p.serviceTime(c.class)).After(c.req.Deadline)
}

// expire refuses all queued calls that can no longer meet their deadline.
func (p *Pool) expire(now time.Time) {
	if p.queued == 0 {
		p.nextExpiry = time.Time{}
		return
	}
	if now.Add(p.maxServiceTime()).Before(p.nextExpiry) {
		return
	}
	p.nextExpiry = time.Time{}
	for i := range p.classes {
		for _, l := range p.classes[i].lanes {
			p.expireLane(now, l)
		}
		p.expireLane(now, &p.classes[i].retries)
	}
}

func (p *Pool) expireLane(now time.Time, l *lane) {
	p.refuseLane(now, l, func(c *call) Reason {
		if p.tooLate(now, c) {
			return ReasonDeadline
		}
		if p.nextExpiry.IsZero() || c.req.Deadline.Before(p.nextExpiry) {
			p.nextExpiry = c.req.Deadline
		}
		return ""
	})
}

// refuseLane refuses the lane's calls for which why gives a reason. It follows the round, not the map, so that the same
// calls are refused in the same order in every run.
func (p *Pool) refuseLane(now time.Time, l *lane, why func(*call) Reason) {
	q := l.turn
	for range len(l.customers) {
		nextQueue := q.next
		for c := q.head; c != nil; {
			next := c.newer
			if r := why(c); r != "" {
				p.unqueue(c)
				p.refuse(now, c, r)
			}
			c = next
		}
		q = nextQueue
	}
}

// refuseQueued refuses every queued call.
func (p *Pool) refuseQueued(now time.Time, why func(*call) Reason) {
	for i := range p.classes {
		k := &p.classes[i]
		for _, l := range k.lanes {
			p.refuseLane(now, l, why)
		}
		p.refuseLane(now, &k.retries, why)
	}
}

// displace refuses a queued call to make room for a call of the level. It takes the newest call of the lowest priority
// below the level, or of any other class when the level holds less than its reserved places. A class keeps its reserved
// places, since its share of the grants is lost while none of its calls wait. It reports whether there was such a call.
func (p *Pool) displace(now time.Time, level int) bool {
	above := level
	if p.classes[level].queued < p.reserved(level) {
		above = -1
	}
	for i := len(p.classes) - 1; i > above; i-- {
		k := &p.classes[i]
		if i == level || k.queued <= p.reserved(i) {
			continue
		}
		victim := k.newestQueued()
		p.unqueue(victim)
		p.refuse(now, victim, ReasonOverload)
		return true
	}
	return false
}

// reserved is the class's minimum share of the queue's places.
func (p *Pool) reserved(level int) int {
	return int(float64(p.maxQueued()) * p.classes[level].spec.MinShare)
}

// newestQueued returns the newest call of the customer that is served last in the class's longest lane.
func (k *class) newestQueued() *call {
	longest := &k.retries
	for _, l := range k.lanes {
		if l.n > longest.n {
			longest = l
		}
	}
	return longest.turn.prev.tail
}

// expectedWait estimates the queueing time of a new call of the class and version. It is the shorter of two waits: for
// all calls ahead in the order of priority, at the rate that the arrivals of higher classes leave, and for the calls of
// its own class alone, at the rate of the class's minimum share.
func (p *Pool) expectedWait(now time.Time, level int, version string) time.Duration {
	slots, ahead, own, above := p.capacity(now, version), 0, 0, 0.0
	for i := 0; i <= level; i++ {
		k := &p.classes[i]
		own = k.queued
		if version != "" {
			own = k.queuedFor(version)
		}
		ahead += own
		if i < level {
			above += k.arrival.perSecond(now)
		}
	}
	if ahead == 0 && p.inFlight < slots {
		return 0
	}
	if slots == 0 {
		return time.Hour
	}
	drain := float64(slots) / p.service.mean
	if total := p.capacity(now, ""); total > slots {
		above *= float64(slots) / float64(total)
	}
	share := p.classes[level].spec.MinShare
	seconds := float64(ahead+1) / max(drain-above, drain*max(share, 0.01))
	if share > 0 {
		// A waiting class earns its share with each grant to another class, so it gets 1 of 1/share + 1 grants.
		seconds = min(seconds, float64(own+1)*(1+share)/(drain*share))
	}
	return time.Duration(seconds * float64(time.Second))
}

func (k *class) queuedFor(version string) int {
	n := k.retries.n
	for _, l := range k.lanes {
		if l.version == version || l.version == "" {
			n += l.n
		}
	}
	return n
}
