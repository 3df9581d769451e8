package membudget

import (
	"sync"
	"time"
)

// Limits bound what all accounts together hold.
type Limits struct {
	Bytes int64
	Conns int
	// MinStall is the time without progress after which the response of a slow reader may be evicted.
	MinStall time.Duration
}

// State tells whether an account may be evicted.
type State int

const (
	// Running is a complete request, or a connection with requests. It is never evicted.
	Running State = iota
	// Receiving is a request that is not complete.
	Receiving
	// Sending is a response that is being written. Setting the state again records progress.
	Sending
	// Fresh is a connection that has not begun a request.
	Fresh
	// Idle is a connection that has had requests and waits for the next one.
	Idle
	// Unread is an idle connection whose caller has not read its last response.
	Unread
	stateCount
)

// Account is what one connection or one request holds. Its Budget guards all fields but Owner.
type Account struct {
	Owner any // set by the user of the budget

	conn     *Account // connection of a request; nil for a connection
	bytes    int64
	unread   int64 // part of bytes: written to a connection, and not read by the caller
	requests int   // open requests of a connection
	state    State
	since    time.Time
	listed   bool
	previous *Account // in the list of its state
	next     *Account
	evicted  bool
	closed   bool
}

// EvictedFrom returns the state in which a victim was evicted.
func (a *Account) EvictedFrom() State { return a.state }

// String returns the name of the state in logs and metrics.
func (s State) String() string {
	return [stateCount]string{"running", "receiving", "sending", "fresh", "idle", "unread"}[s]
}

// Stats are the current totals of a Budget.
type Stats struct {
	Bytes, EvictingBytes  int64
	Conns, EvictingConns  int
	Requests              int
	EvictedByState        [stateCount]uint64
	RefusedBytes, Refused uint64 // reservations and connections that were refused
}

// Budget holds the accounts. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	limits Limits
	lists  [stateCount]accounts
	stats  Stats
}

// accounts is a list ordered by since, oldest first. It is intrusive, because an allocation for each request would be paid on the hot path.
type accounts struct{ first, last *Account }

func (l *accounts) pushBack(a *Account) {
	a.previous, a.next = l.last, nil
	if l.last == nil {
		l.first = a
	} else {
		l.last.next = a
	}
	l.last = a
}

func (l *accounts) remove(a *Account) {
	if a.previous == nil {
		l.first = a.next
	} else {
		a.previous.next = a.next
	}
	if a.next == nil {
		l.last = a.previous
	} else {
		a.next.previous = a.previous
	}
	a.previous, a.next = nil, nil
}

// While victims end, 1/evictingShare of the bytes and 1/evictingConnsShare of the connections may be in use beyond the limits. The share
// of connections is smaller, because a process fails sooner for lack of descriptors than for lack of memory.
const (
	evictingShare      = 4
	evictingConnsShare = 16
)

// New returns an empty budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

// OpenConn opens the account of a connection that holds n bytes. Without room even after the eviction of the victims it returns nil.
func (b *Budget) OpenConn(now time.Time, n int64, owner any) (a *Account, victims []*Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.stats.Conns-b.stats.EvictingConns >= b.limits.Conns {
		v := b.oldest(Fresh, Receiving)
		if v == nil {
			v = b.oldest(Idle, Unread)
		}
		if v == nil {
			break
		}
		b.evict(v)
		victims = append(victims, v)
	}
	room := b.stats.Conns-b.stats.EvictingConns < b.limits.Conns && b.stats.Conns < b.limits.Conns+max(1, b.limits.Conns/evictingConnsShare)
	if room {
		var more []*Account
		room, more = b.makeRoom(now, n)
		victims = append(victims, more...)
	}
	if !room {
		b.stats.Refused++
		return nil, victims
	}
	a = &Account{Owner: owner, bytes: n}
	b.stats.Bytes += n
	b.stats.Conns++
	b.setState(a, Fresh, now)
	return a, victims
}

// OpenRequest opens the account of a request of which the first byte has arrived on a connection. It is Receiving and holds nothing.
func (b *Budget) OpenRequest(now time.Time, conn *Account, owner any) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{Owner: owner, conn: conn}
	conn.requests++
	b.setState(conn, Running, now)
	b.stats.Requests++
	b.setState(a, Receiving, now)
	return a
}

// Grow reserves n more bytes for an account, and returns the accounts that have to be evicted for them. It reserves nothing and returns
// false if there is no room, or the account has been evicted itself.
func (b *Budget) Grow(now time.Time, a *Account, n int64) (ok bool, victims []*Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || a.closed {
		return false, nil
	}
	ok, victims = b.makeRoom(now, n)
	if a.evicted {
		return false, victims // it was the oldest one
	}
	if !ok {
		b.stats.RefusedBytes++
		return false, victims
	}
	a.bytes += n
	b.stats.Bytes += n
	return true, victims
}

// Shrink returns n bytes of an account, or all of them if it has fewer.
func (b *Budget) Shrink(a *Account, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.bytes)
	a.bytes -= n
	b.stats.Bytes -= n
	if a.evicted {
		b.stats.EvictingBytes -= n
	}
}

// SetState records a new state, or progress in the same state. It returns false if the account has been evicted.
func (b *Budget) SetState(now time.Time, a *Account, s State) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.evicted || a.closed {
		return false
	}
	b.setState(a, s, now)
	return true
}

// SetUnread sets how many bytes that were written to a connection its caller has not read. They are counted even beyond the limit, since
// they are in use already; the next reservation evicts for them.
func (b *Budget) SetUnread(now time.Time, conn *Account, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if conn.closed || n == conn.unread {
		return
	}
	conn.bytes += n - conn.unread
	b.stats.Bytes += n - conn.unread
	if conn.evicted {
		b.stats.EvictingBytes += n - conn.unread
	}
	conn.unread = n
	if conn.requests == 0 {
		b.setState(conn, conn.idleState(), now)
	}
}

// idleState returns the state of a connection without requests.
func (a *Account) idleState() State {
	if a.unread > 0 {
		return Unread
	}
	return Idle
}

// Close ends an account and returns all that it holds. Further calls have no effect.
func (b *Budget) Close(now time.Time, a *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	b.stats.Bytes -= a.bytes
	if a.evicted {
		b.stats.EvictingBytes -= a.bytes
	}
	a.bytes = 0
	b.unlist(a)
	if a.conn == nil {
		b.stats.Conns--
		if a.evicted {
			b.stats.EvictingConns--
		}
		return
	}
	b.stats.Requests--
	a.conn.requests--
	if a.conn.requests == 0 && !a.conn.closed {
		b.setState(a.conn, a.conn.idleState(), now)
	}
}

// Stats returns the current totals.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

// makeRoom evicts until n more bytes fit, and reports whether they do.
func (b *Budget) makeRoom(now time.Time, n int64) (ok bool, victims []*Account) {
	if n > b.limits.Bytes {
		return false, nil
	}
	for b.stats.Bytes-b.stats.EvictingBytes+n > b.limits.Bytes {
		v := b.byteVictim(now)
		if v == nil {
			return false, victims
		}
		b.evict(v)
		victims = append(victims, v)
	}
	return b.stats.Bytes+n <= b.limits.Bytes+b.limits.Bytes/evictingShare, victims
}

// byteVictim returns the account to be evicted next when bytes are short, or nil: the oldest incomplete request or unused connection,
// unless a response has made no progress for longer. Otherwise clients that don't read would displace callers that have just come.
func (b *Budget) byteVictim(now time.Time) *Account {
	incomplete, stalled := b.oldest(Receiving, Fresh), b.oldest(Sending, Unread)
	if stalled != nil && now.Sub(stalled.since) < b.limits.MinStall {
		stalled = nil
	}
	if incomplete == nil || stalled != nil && stalled.since.Before(incomplete.since) {
		return stalled
	}
	return incomplete
}

// oldest returns the account that has been in its state, one of those given, for the longest time, or nil if there is none.
func (b *Budget) oldest(states ...State) *Account {
	var found *Account
	for _, s := range states {
		if a := b.lists[s].first; a != nil && (found == nil || a.since.Before(found.since)) {
			found = a
		}
	}
	return found
}

// evict marks an account as evicted, and its connection, which ends with it.
func (b *Budget) evict(a *Account) {
	b.stats.EvictedByState[a.state]++
	b.markEvicted(a)
	if a.conn != nil && !a.conn.evicted {
		b.markEvicted(a.conn)
	}
}

func (b *Budget) markEvicted(a *Account) {
	a.evicted = true
	b.stats.EvictingBytes += a.bytes
	if a.conn == nil {
		b.stats.EvictingConns++
	}
	b.unlist(a)
}

// setState moves an account to the end of the list of its new state. It does nothing to an evicted one, whose state says from what it was
// evicted.
func (b *Budget) setState(a *Account, s State, now time.Time) {
	if a.evicted {
		return
	}
	b.unlist(a)
	a.state, a.since = s, now
	if s != Running {
		b.lists[s].pushBack(a)
		a.listed = true
	}
}

func (b *Budget) unlist(a *Account) {
	if a.listed {
		b.lists[a.state].remove(a)
		a.listed = false
	}
}
