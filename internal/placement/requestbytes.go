package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxReservedShare is the fraction of the usable upstreams that may be reserved for calls that wait for request bytes, since a reserved
// upstream is partly unused while it drains. One upstream may always be reserved.
const maxReservedShare = 0.25

// requestBytesState is the state of the limit on request bytes. The zero value has no reservations.
//
// Without reservations, small requests that fill each gap at once would keep a large one waiting until its deadline. The first calls that
// only the limit keeps from starting therefore reserve an upstream each: it accepts no other request with a body until the call has
// started, there or elsewhere.
type requestBytesState struct {
	reserved map[string]*call // by ID of the upstream
	stats    RequestByteStats
}

// RequestByteStats counts the effects of the limit on request bytes since the pool exists.
type RequestByteStats struct {
	Held     uint64 // requests that the limit has kept from starting at once
	Refused  uint64 // those among them that were refused
	Reserved uint64 // reservations of upstreams
}

// RequestByteUse is the use of the limit on request bytes.
type RequestByteUse struct {
	RequestByteStats
	Limit         int64 // 0 if there is none
	Running, Most int64 // bytes of the running requests: of all upstreams, and the most of one
	Reservations  int   // upstreams that are reserved now
}

// RequestBytes returns the use of the limit on request bytes.
func (p *Pool) RequestBytes() RequestByteUse {
	use := RequestByteUse{RequestByteStats: p.bytes.stats, Limit: p.spec.MaxRequestBytes, Reservations: len(p.bytes.reserved)}
	for _, u := range p.sortedUpstreams {
		n := u.requestBytes()
		use.Running += n
		use.Most = max(use.Most, n)
	}
	return use
}

// requestBytes is the size of the call's request, 0 if it has no body or its size isn't known.
func (c *call) requestBytes() int64 { return max(0, c.ask.RequestBytes) }

// requestBytes is the sum over the running calls. It is computed when it is needed, which is at most once per event of the upstream.
func (u *upstream) requestBytes() int64 {
	var sum int64
	for _, c := range u.running {
		sum += c.requestBytes()
	}
	return sum
}

// fitsBeside reports whether a request with a body may run beside the given number of others, which have used bytes together.
func (p *Pool) fitsBeside(bytes, used int64, running int) bool {
	switch {
	case p.holdsBodies():
		return false
	case p.spec.OneBody:
		return used == 0
	}
	return running == 0 || bytes <= p.spec.MaxRequestBytes-used
}

// holdsBodies reports whether no request with a body may start.
func (p *Pool) holdsBodies() bool { return p.spec.HoldBodies || p.suspension.holds }

// needsIdle reports whether the call exceeds the limit alone, so that it runs on an upstream without other requests only.
func (p *Pool) needsIdle(c *call) bool {
	return !p.spec.OneBody && c.requestBytes() > p.spec.MaxRequestBytes
}

// admitsBytes reports whether the limit on request bytes lets the call start on the upstream.
func (p *Pool) admitsBytes(c *call, u *upstream) bool {
	if p.spec.MaxRequestBytes <= 0 {
		return true
	}
	bytes := c.requestBytes()
	if holder := p.bytes.reserved[u.spec.ID]; holder != nil && holder != c && (bytes > 0 || p.needsIdle(holder)) {
		return false
	}
	return bytes == 0 || p.fitsBeside(bytes, u.requestBytes(), len(u.running))
}

// freeRequestBytes is the size of the largest request body that the upstream may get now. The call for which it is reserved is left out:
// startReserved starts that one.
func (p *Pool) freeRequestBytes(u *upstream) int64 {
	if p.spec.MaxRequestBytes <= 0 {
		return math.MaxInt64
	}
	used := int64(0)
	switch {
	case p.bytes.reserved[u.spec.ID] != nil:
		return 0
	case len(u.running) > 0:
		used = u.requestBytes()
	}
	switch {
	case p.fitsBeside(math.MaxInt64, used, len(u.running)):
		return math.MaxInt64
	case p.spec.OneBody || p.holdsBodies():
		return 0
	}
	return max(0, p.spec.MaxRequestBytes-used)
}

// reservable reports whether the call would start on the upstream if there were a slot and enough request bytes. The slowdown of a nearly
// full upstream is left out, since the upstream drains before the call starts.
func (p *Pool) reservable(now time.Time, c *call, u *upstream) bool {
	if !u.usable(now, p.spec.AllowUnprobed) || u.cold(now) || !p.move.admits(u.spec.Version) || slices.Contains(c.ask.Exclude, u.spec.ID) {
		return false
	}
	end := now.Add(time.Duration(float64(p.serviceTime(c)) * u.slowdown(now, p.averagePace)))
	if !end.After(c.ask.Objective) {
		return true
	}
	return !p.canMeetObjective(now, c) && p.spareForLateCalls(now) && !end.After(c.ask.Deadline)
}

// lacksBytes reports whether only the limit on request bytes keeps the call from each upstream that suits it, apart from occupied slots.
func (p *Pool) lacksBytes(now time.Time, c *call) bool {
	if p.spec.MaxRequestBytes <= 0 || c.requestBytes() == 0 {
		return false
	}
	lacks := false
	for _, u := range p.sortedUpstreams {
		if !p.reservable(now, c, u) {
			continue
		}
		if p.admitsBytes(c, u) {
			return false
		}
		lacks = true
	}
	return lacks
}

// recordHeld records whether the limit on request bytes keeps a call from starting.
func (p *Pool) recordHeld(now time.Time, c *call) {
	if !c.held && p.lacksBytes(now, c) {
		c.held = true
		p.bytes.stats.Held++
	}
}

// countHeldRefusal counts the refusal of a call that the limit on request bytes has held.
func (p *Pool) countHeldRefusal(c *call) {
	if c.held {
		p.bytes.stats.Refused++
	}
}

// reserveBytes ends reservations that are no longer useful, and reserves upstreams for the first calls that lack request bytes.
func (p *Pool) reserveBytes(now time.Time) {
	if p.spec.MaxRequestBytes <= 0 && len(p.bytes.reserved) == 0 {
		return
	}
	p.endUselessReservations(now)
	limit := p.maxReservations(now)
	if p.spec.MaxRequestBytes <= 0 || len(p.bytes.reserved) >= limit {
		return
	}
	for _, c := range p.waitingWithBody() {
		if p.reservationOf(c) != nil || !p.lacksBytes(now, c) {
			continue
		}
		p.recordHeld(now, c)
		if u := p.firstToDrain(now, c); u != nil {
			p.reserve(now, c, u)
		}
		if len(p.bytes.reserved) >= limit {
			return
		}
	}
}

// endUselessReservations ends the reservations of calls that no longer wait or that no longer suit their upstream.
func (p *Pool) endUselessReservations(now time.Time) {
	for _, u := range p.sortedUpstreams {
		c := p.bytes.reserved[u.spec.ID]
		if c != nil && (p.spec.MaxRequestBytes <= 0 || !slices.Contains(p.waiting, c) || !p.reservable(now, c, u)) {
			p.endReservation(now, u)
		}
	}
	for id := range p.bytes.reserved {
		if p.upstreams[id] == nil {
			delete(p.bytes.reserved, id)
		}
	}
}

// maxReservations returns how many upstreams may be reserved at a time.
func (p *Pool) maxReservations(now time.Time) int {
	usable := 0
	for _, u := range p.sortedUpstreams {
		if u.usable(now, p.spec.AllowUnprobed) {
			usable++
		}
	}
	return max(1, int(maxReservedShare*float64(usable)))
}

// waitingWithBody returns the queued calls with a body in the order of their priority, the use of their accounts and their arrival. A call
// that has become late keeps its place, unlike in the queue, since it would fall behind all that arrive later.
func (p *Pool) waitingWithBody() []*call {
	var calls []*call
	for _, c := range p.waiting {
		if c.requestBytes() > 0 {
			calls = append(calls, c)
		}
	}
	slices.SortStableFunc(calls, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(a.rank, b.rank), a.queuedAt.Compare(b.queuedAt))
	})
	return calls
}

// reserve reserves an upstream for a queued call.
func (p *Pool) reserve(now time.Time, c *call, u *upstream) {
	if p.bytes.reserved == nil {
		p.bytes.reserved = map[string]*call{}
	}
	p.bytes.reserved[u.spec.ID] = c
	p.bytes.stats.Reserved++
	p.updateCandidate(now, u)
}

func (p *Pool) endReservation(now time.Time, u *upstream) {
	delete(p.bytes.reserved, u.spec.ID)
	p.updateCandidate(now, u)
}

// reservationOf returns the upstream that is reserved for the call, or nil.
func (p *Pool) reservationOf(c *call) *upstream {
	for id, holder := range p.bytes.reserved {
		if holder == c {
			return p.upstreams[id]
		}
	}
	return nil
}

// endReservationOf ends the reservation of a call that starts, if it has one.
func (p *Pool) endReservationOf(now time.Time, c *call) {
	if u := p.reservationOf(c); u != nil {
		p.endReservation(now, u)
	}
}

// firstToDrain returns the upstream that will probably have room for the call first, of those that aren't reserved.
func (p *Pool) firstToDrain(now time.Time, c *call) *upstream {
	var first *upstream
	var earliest time.Duration
	for _, u := range p.sortedUpstreams {
		if p.bytes.reserved[u.spec.ID] != nil || !p.reservable(now, c, u) {
			continue
		}
		if in := p.timeUntilRoom(now, c, u); first == nil || in < earliest {
			first, earliest = u, in
		}
	}
	return first
}

// timeUntilRoom estimates the time until enough running calls have ended for the call to fit on the upstream.
func (p *Pool) timeUntilRoom(now time.Time, c *call, u *upstream) time.Duration {
	type end struct {
		in    time.Duration
		bytes int64
	}
	ends := make([]end, 0, len(u.running))
	for _, r := range u.running {
		elapsed := now.Sub(r.started)
		left := time.Duration(expectedLatency(r, p.serviceTime(r))) - elapsed
		if left < 0 {
			left = elapsed // overdue: assumed to take as long again
		}
		ends = append(ends, end{left, r.requestBytes()})
	}
	slices.SortFunc(ends, func(a, b end) int { return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.bytes, b.bytes)) })
	used, in := u.requestBytes(), time.Duration(0)
	for i, e := range ends {
		if p.fitsBeside(c.requestBytes(), used, len(ends)-i) {
			break
		}
		used -= e.bytes
		in = e.in
	}
	return in
}

// startReserved starts the calls for which upstreams are reserved, as far as they fit. changed limits it to one upstream, unless it is nil.
// They go before all other queued calls, whose number could otherwise keep dispatch from reaching them.
func (p *Pool) startReserved(now time.Time, changed *upstream) {
	if len(p.bytes.reserved) == 0 {
		return
	}
	for _, u := range p.sortedUpstreams {
		c := p.bytes.reserved[u.spec.ID]
		if c == nil || changed != nil && u != changed {
			continue
		}
		i := slices.Index(p.waiting, c)
		if i < 0 {
			p.endReservation(now, u)
			continue
		}
		if p.eligible(now, c, u) && p.shouldStartNow(now, c, u) {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			p.removeWork(c)
			p.grant(now, c, u)
		}
	}
}

// byteWait estimates the queueing time that the limit on request bytes causes for the call: the time in which the usable upstreams work off
// the bodies that are queued at its priority and above.
func (p *Pool) byteWait(now time.Time, c *call) time.Duration {
	if p.spec.MaxRequestBytes <= 0 || c.requestBytes() == 0 {
		return 0
	}
	work := 0.0 // time for which an upstream's whole limit is used
	for _, w := range p.waiting {
		if w.requestBytes() > 0 && priorityLevel(w) <= priorityLevel(c) {
			work += float64(w.work) * p.limitShare(w)
		}
	}
	if work == 0 {
		return 0
	}
	usable := 0
	candidates := p.currentCandidates(now)
	for i := range candidates {
		if p.accepts(&candidates[i]) {
			usable++
		}
	}
	return time.Duration(min(float64(maxWait), assumedSlowdown*work/float64(max(1, usable))))
}

// limitShare is the share of an upstream's limit that the call uses.
func (p *Pool) limitShare(c *call) float64 {
	if p.spec.OneBody {
		return 1
	}
	return min(1, float64(c.requestBytes())/float64(p.spec.MaxRequestBytes))
}

// byteExclusion returns a text for operators on how the limit on request bytes excludes an upstream, or an empty string if it doesn't.
func (p *Pool) byteExclusion(c *call, u *upstream) string {
	used := u.requestBytes()
	switch {
	case p.admitsBytes(c, u):
		return ""
	case p.bytes.reserved[u.spec.ID] != nil:
		return "reserved for another request that waits for room in the limit on request bytes"
	case p.suspension.holds:
		return "the limit on request bytes: no request with a body for a while after this leader was suspended"
	case p.spec.HoldBodies:
		return "the limit on request bytes: no request with a body until the other entries have joined this leader"
	case p.spec.OneBody:
		return "the limit on request bytes: one request with a body at a time until most entries follow this leader"
	case p.needsIdle(c):
		return fmt.Sprintf("the limit on request bytes: the request exceeds the %d bytes alone, so it needs an upstream without running requests", p.spec.MaxRequestBytes)
	}
	return fmt.Sprintf("the limit on request bytes: its running requests have %d of %d bytes", used, p.spec.MaxRequestBytes)
}
