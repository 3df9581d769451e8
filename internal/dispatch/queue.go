package dispatch

import (
	"time"
)

// maxClasses is the number of bits in the class sets that nextClass uses.
const maxClasses = 64

// call is one attempt that the pool holds, queued or running.
type call struct {
	req        Request
	queueClass int // index of the class in whose queue it waits, after the priority boost
	class      int // index of its own class
	route      int
	arrivedAt  time.Time

	assignedUpstream *upstream // nil until granted
	grantedAt        time.Time
	coldWhenSent     bool // the upstream was known to be cold when the call was granted

	fairQueue *fairQueue
	queue     *customerQueue // the customer's queue within fairQueue
	// older and newer link the calls of a customer queue or the running calls of an upstream.
	older, newer *call
}

// unlink removes the call from the linked list with the given ends.
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

// mayUse reports whether the call's exclusion list and the upstream's slow routes permit the upstream.
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

// class is one request class. Calls wait in one queue per version; calls with exclusion lists wait in a separate queue,
// so that they do not block other calls of the same customer.
type class struct {
	spec            ClassSpec
	queues          []*fairQueue
	retries         fairQueue
	queued          int
	credit          float64 // grants earned by the minimum share while calls wait, at most 2
	arrivalRate     eventRate
	serviceEstimate estimate
}

// maxRetryScan bounds the calls with exclusion lists that one scheduling decision examines.
const maxRetryScan = 8

func (k *class) queueOfVersion(version string) *fairQueue {
	for _, fq := range k.queues {
		if fq.version == version {
			return fq
		}
	}
	fq := &fairQueue{version: version, customers: map[string]*customerQueue{}}
	k.queues = append(k.queues, fq)
	return fq
}

func (p *Pool) enqueue(c *call) {
	k := &p.classes[c.queueClass]
	if len(c.req.Exclude) > 0 {
		k.retries.push(p, c)
	} else {
		k.queueOfVersion(c.req.Version).push(p, c)
	}
	k.queued++
	p.queued++
	if p.earliestDeadline.IsZero() || c.req.Deadline.Before(p.earliestDeadline) {
		p.earliestDeadline = c.req.Deadline
	}
}

func (p *Pool) unqueue(c *call) {
	p.classes[c.queueClass].queued--
	p.queued--
	c.fairQueue.remove(p, c)
}

// dispatchQueued grants queued calls as long as slots are free for them.
func (p *Pool) dispatchQueued(now time.Time) {
	for p.queued > 0 {
		var servable uint64
		var candidates [maxClasses]*call
		var upstreams [maxClasses]*upstream
		for class := range p.classes {
			if p.classes[class].queued == 0 {
				continue
			}
			if candidates[class], upstreams[class] = p.nextInClass(now, class); candidates[class] != nil {
				servable |= 1 << class
			}
		}
		class := p.nextClass(servable)
		if class < 0 {
			return
		}
		p.grantQueued(now, candidates[class], upstreams[class])
	}
}

// grantQueued grants a queued call that nextInClass returned.
func (p *Pool) grantQueued(now time.Time, c *call, u *upstream) {
	k := &p.classes[c.queueClass]
	p.updateCredits(c.queueClass)
	k.queued--
	p.queued--
	c.fairQueue.dequeue(p, c)
	p.grant(now, c, u)
}

// nextInClass returns the oldest of the calls at the heads of the class's queues that has a free upstream.
func (p *Pool) nextInClass(now time.Time, class int) (*call, *upstream) {
	k := &p.classes[class]
	var best *call
	var bestUpstream *upstream
	for _, fq := range k.queues {
		c := p.nextUnexpired(now, fq)
		if c == nil || best != nil && !c.arrivedAt.Before(best.arrivedAt) {
			continue
		}
		if u := p.pick(now, c); u != nil {
			best, bestUpstream = c, u
		}
	}
	if k.retries.n == 0 {
		return best, bestUpstream
	}
	scanned := 0
	for q := k.retries.current; q != nil && scanned < maxRetryScan; q = q.next {
		for c := q.head; c != nil && scanned < maxRetryScan; c = c.newer {
			scanned++
			if best != nil && !c.arrivedAt.Before(best.arrivedAt) {
				break
			}
			if p.missesDeadline(now, c) {
				continue // refused by the next Tick
			}
			if u := p.pick(now, c); u != nil {
				best, bestUpstream = c, u
			}
		}
		if q.next == k.retries.current {
			break
		}
	}
	return best, bestUpstream
}

// nextUnexpired returns the queue's next call that can still meet its deadline and refuses those before it that cannot.
func (p *Pool) nextUnexpired(now time.Time, fq *fairQueue) *call {
	for {
		c := fq.peek()
		if c == nil || !p.missesDeadline(now, c) {
			return c
		}
		p.unqueue(c)
		p.refuse(now, c, ReasonDeadline)
	}
}

// missesDeadline reports whether the call would miss its deadline even if it were granted now.
func (p *Pool) missesDeadline(now time.Time, c *call) bool {
	return now.Add(p.serviceTime(c.class)).After(c.req.Deadline)
}

// expireQueued refuses all queued calls that can no longer meet their deadline.
func (p *Pool) expireQueued(now time.Time) {
	if p.queued == 0 {
		p.earliestDeadline = time.Time{}
		return
	}
	if now.Add(p.maxServiceTime()).Before(p.earliestDeadline) {
		return
	}
	p.earliestDeadline = time.Time{}
	for i := range p.classes {
		for _, fq := range p.classes[i].queues {
			p.expireQueue(now, fq)
		}
		p.expireQueue(now, &p.classes[i].retries)
	}
}

func (p *Pool) expireQueue(now time.Time, fq *fairQueue) {
	p.refuseInQueue(now, fq, func(c *call) Reason {
		if p.missesDeadline(now, c) {
			return ReasonDeadline
		}
		if p.earliestDeadline.IsZero() || c.req.Deadline.Before(p.earliestDeadline) {
			p.earliestDeadline = c.req.Deadline
		}
		return ""
	})
}

// refuseInQueue refuses the queue's calls for which refusalReason returns a reason. It iterates over the ring of
// customers, not the map, so that the order is the same in every run.
func (p *Pool) refuseInQueue(now time.Time, fq *fairQueue, refusalReason func(*call) Reason) {
	q := fq.current
	for range len(fq.customers) {
		nextQueue := q.next
		for c := q.head; c != nil; {
			next := c.newer
			if r := refusalReason(c); r != "" {
				p.unqueue(c)
				p.refuse(now, c, r)
			}
			c = next
		}
		q = nextQueue
	}
}

// refuseQueued refuses the queued calls for which refusalReason returns a reason.
func (p *Pool) refuseQueued(now time.Time, refusalReason func(*call) Reason) {
	for i := range p.classes {
		k := &p.classes[i]
		for _, fq := range k.queues {
			p.refuseInQueue(now, fq, refusalReason)
		}
		p.refuseInQueue(now, &k.retries, refusalReason)
	}
}

// displaceQueued refuses a queued call to make room for a call of the class, and reports whether it found one. It takes
// the newest call of the lowest priority below the class, or of any other class if the class holds fewer places than
// are reserved for it. No class loses its reserved places, because a class with no waiting call loses its minimum share
// of the grants.
func (p *Pool) displaceQueued(now time.Time, class int) bool {
	lastProtected := class
	if p.classes[class].queued < p.reservedPlaces(class) {
		lastProtected = -1
	}
	for i := len(p.classes) - 1; i > lastProtected; i-- {
		k := &p.classes[i]
		if i == class || k.queued <= p.reservedPlaces(i) {
			continue
		}
		victim := k.newestQueued()
		p.unqueue(victim)
		p.refuse(now, victim, ReasonOverload)
		return true
	}
	return false
}

// reservedPlaces returns the number of places in the queue that the class's minimum share reserves.
func (p *Pool) reservedPlaces(class int) int {
	return int(float64(p.maxQueued()) * p.classes[class].spec.MinShare)
}

// newestQueued returns the newest call of the customer that is served last in the class's longest queue.
func (k *class) newestQueued() *call {
	longest := &k.retries
	for _, fq := range k.queues {
		if fq.n > longest.n {
			longest = fq
		}
	}
	return longest.current.prev.tail
}

// expectedWait estimates the queueing delay of a new call of the class and version. It is the shorter of two estimates:
// one for all calls of the same or a higher priority, served at the rate left over by new arrivals of higher classes;
// and one for the calls of its own class alone, served at the class's minimum share.
func (p *Pool) expectedWait(now time.Time, class int, version string) time.Duration {
	slots, queuedAhead, ownQueued, higherArrivals := p.capacity(now, version), 0, 0, 0.0
	for i := 0; i <= class; i++ {
		k := &p.classes[i]
		ownQueued = k.queued
		if version != "" {
			ownQueued = k.queuedFor(version)
		}
		queuedAhead += ownQueued
		if i < class {
			higherArrivals += k.arrivalRate.perSecond(now)
		}
	}
	if queuedAhead == 0 && p.inFlight < slots {
		return 0
	}
	if slots == 0 {
		return time.Hour
	}
	drainRate := float64(slots) / p.serviceEstimate.mean
	if total := p.capacity(now, ""); total > slots {
		higherArrivals *= float64(slots) / float64(total)
	}
	minShare := p.classes[class].spec.MinShare
	seconds := float64(queuedAhead+1) / max(drainRate-higherArrivals, drainRate*max(minShare, 0.01))
	if minShare > 0 {
		// A waiting class earns its share with each grant to another class, so it gets one of every 1/share + 1 grants.
		seconds = min(seconds, float64(ownQueued+1)*(1+minShare)/(drainRate*minShare))
	}
	return time.Duration(seconds * float64(time.Second))
}

func (k *class) queuedFor(version string) int {
	n := k.retries.n
	for _, fq := range k.queues {
		if fq.version == version || fq.version == "" {
			n += fq.n
		}
	}
	return n
}
