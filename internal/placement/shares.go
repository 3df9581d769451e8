package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// shareMemory is the time constant with which the requests of accounts are forgotten. In that time even an account with one
	// request per second sends several.
	shareMemory = 5 * time.Second
	// minServedShare is the served fraction of an account's requests, relative to that of all accounts, below which its next request
	// counts as one of an account without recent use. An account counts as starved below 0.25; the rest allows for requests that are
	// refused later, and for delays of the measurement.
	minServedShare = 0.4
	// minCharge and maxCharge limit what a request counts, relative to the average service time, so that a wrong estimate
	// can't set an account back for long.
	minCharge, maxCharge = 0.1, 10
	// forgetPerArrival is the number of accounts that are checked at each arrival for whether they can be forgotten.
	forgetPerArrival = 2
)

// noAccount stands for the requests without an account, as a whole.
const noAccount = ""

// accountUse is what the pool knows of an account.
type accountUse struct {
	use    float64 // virtual time up to which the account has used its share
	queued float64 // charges of its queued calls
	// arrived and served count requests, and those of them that were started or queued and not refused since.
	arrived, served decayingCount
}

// decayingCount counts events and forgets them with the time constant shareMemory.
type decayingCount struct {
	value float64
	at    time.Time
}

func (d *decayingCount) add(now time.Time, n float64) {
	d.value, d.at = max(0, d.current(now)+n), now
}

func (d *decayingCount) current(now time.Time) float64 {
	if d.value == 0 || !now.After(d.at) {
		return d.value
	}
	return d.value * math.Exp(-float64(now.Sub(d.at))/float64(shareMemory))
}

// shares orders the waiting requests of equal priority by what their accounts have used recently, all accounts with the same
// weight. It is start-time fair queueing: virtual time advances with the requests that start, each account's use advances by the
// charge of its own ones, and a queued call is ranked by the use at which it would start. Only started requests are charged, so an
// account is not set back by refusals.
//
// With equal shares alone, an account that sends far more than its share would be starved. Its requests are therefore ranked as if
// it had no recent use, and not charged, while too few of them are served in comparison with those of all accounts.
//
// Requests without an account have no share. They are ranked first while a smaller part of them is served than of all requests, and
// last otherwise, so that as a whole they fare as all requests do. While no account sends requests, all are ranked alike.
type shares struct {
	accounts        map[string]*accountUse
	names           []string // of accounts, in no particular order
	checked         int      // index in names of the last account that was checked by forgetIdle
	virtual         float64
	lastTag         float64       // the largest of a call that was queued
	arrived, served decayingCount // of all accounts
	displaced       uint64        // calls refused by displace
	now             time.Time     // of the last arrival, for the counts
}

// arrive counts a request that may be started or queued.
func (s *shares) arrive(now time.Time, c *call, averageWork, work time.Duration) {
	if c.ask.Account == noAccount && len(s.accounts) == 0 {
		c.tag = max(s.virtual, s.lastTag) // the same for all while no account sends requests
		return
	}
	if s.accounts == nil {
		s.accounts = map[string]*accountUse{}
	}
	s.now = now
	s.forgetIdle()
	a := s.accounts[c.ask.Account]
	if a == nil {
		a = &accountUse{}
		s.accounts[c.ask.Account] = a
		s.names = append(s.names, c.ask.Account)
	}
	switch {
	case c.ask.Account == noAccount && !s.underserved(a, 1):
		c.tag = max(s.virtual, s.lastTag)
	case c.ask.Account == noAccount || s.underserved(a, minServedShare):
		c.tag = s.virtual
	default:
		c.tag = max(s.virtual, a.use) + a.queued
		c.charge = min(maxCharge, max(minCharge, float64(work)/float64(max(1, averageWork))))
	}
	if c.ask.Attempt <= 1 {
		a.arrived.add(now, 1)
		s.arrived.add(now, 1)
	}
}

// underserved reports whether the served fraction of the account's requests is below the given share of that of all requests.
func (s *shares) underserved(a *accountUse, share float64) bool {
	return a.served.current(s.now)*s.arrived.current(s.now) < share*s.served.current(s.now)*a.arrived.current(s.now)
}

// forgetIdle forgets some accounts that have sent nothing for several times shareMemory. Their use is ahead of the virtual time by
// little more than the charge of one call.
func (s *shares) forgetIdle() {
	const negligible = 0.01 // requests; a single one falls below it after 4.6 times shareMemory
	for range min(forgetPerArrival, len(s.names)) {
		s.checked = (s.checked + 1) % len(s.names)
		name := s.names[s.checked]
		if a := s.accounts[name]; a.queued == 0 && a.arrived.current(s.now) < negligible {
			delete(s.accounts, name)
			s.names[s.checked] = s.names[len(s.names)-1]
			s.names = s.names[:len(s.names)-1]
		}
		if len(s.names) == 0 {
			return
		}
	}
}

// enqueue ranks a call that is queued. Ranks are whole numbers, so that calls with almost equal tags are ordered by their objectives.
func (s *shares) enqueue(c *call) {
	s.lastTag = max(s.lastTag, c.tag)
	c.rank = int64(c.tag)
	if a := s.accounts[c.ask.Account]; a != nil {
		c.queued = true
		a.queued += c.charge
		s.countServed(a, c, 1)
	}
}

// leave accounts for a queued call that is refused or cancelled.
func (s *shares) leave(c *call) {
	if a := s.accounts[c.ask.Account]; a != nil && c.queued {
		s.dequeue(a, c)
		s.countServed(a, c, -1)
	}
}

func (s *shares) dequeue(a *accountUse, c *call) {
	c.queued = false
	if a.queued -= c.charge; a.queued < minCharge/2 { // 0 but for rounding
		a.queued = 0
	}
}

// countServed counts a request that is started or queued, or takes that back.
func (s *shares) countServed(a *accountUse, c *call, n float64) {
	if c.ask.Attempt <= 1 {
		a.served.add(s.now, n)
		s.served.add(s.now, n)
	}
}

// start charges a call that starts. Hedges aren't charged: there are none while upstreams lack capacity.
func (s *shares) start(c *call) {
	a := s.accounts[c.ask.Account]
	if a == nil {
		return
	}
	if c.queued {
		s.dequeue(a, c)
	} else {
		s.countServed(a, c, 1)
	}
	a.use = max(a.use, s.virtual) + c.charge
	s.virtual = max(s.virtual, c.tag)
}

// clone returns a copy that shares nothing with s.
func (s *shares) clone() shares {
	c := *s
	c.names, c.accounts = slices.Clone(s.names), maps.Clone(s.accounts)
	for name, a := range c.accounts {
		use := *a
		c.accounts[name] = &use
	}
	return c
}

// displaceable returns the index of a queued call of the same priority that may be refused in favour of c, which can't be queued beside it,
// or -1 if there is none. Its account has used more of its share, by the charge of an average request at least. Neither call is late.
func (p *Pool) displaceable(now time.Time, c *call) int {
	if len(p.shares.accounts) == 0 || len(p.waiting) == 0 || !p.lateAtWhenBusy(now, c).After(now) {
		return -1
	}
	end := sort.Search(len(p.waiting), func(i int) bool {
		w := p.waiting[i]
		return w.late || w.ask.Priority > c.ask.Priority
	})
	if end == 0 {
		return -1
	}
	last := p.waiting[end-1]
	if last.ask.Priority != c.ask.Priority || last.tag < c.tag+1 {
		return -1
	}
	return end - 1
}

// displace refuses a call that is displaceable in favour of c, and reports whether there was one.
func (p *Pool) displace(now time.Time, c *call) bool {
	i := p.displaceable(now, c)
	if i < 0 {
		return false
	}
	last := p.waiting[i]
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.removeWork(last)
	p.shares.leave(last)
	p.shares.displaced++
	p.refuse(now, last, ReasonOverload)
	return true
}

// ShareStatus tells how the capacity is shared between accounts.
type ShareStatus struct {
	Accounts  int    // that sent requests lately
	Displaced uint64 // queued requests that were refused in favour of accounts that had used less, since the start
}

// Shares returns how the capacity is shared between accounts.
func (p *Pool) Shares() ShareStatus {
	status := ShareStatus{Accounts: len(p.shares.accounts), Displaced: p.shares.displaced}
	if p.shares.accounts[noAccount] != nil {
		status.Accounts--
	}
	return status
}

// AccountLoad is the recent load of an account.
type AccountLoad struct {
	Account   string
	PerSecond float64 // requests
	Served    float64 // fraction of them that was started or is queued
}

// LargestAccounts returns the accounts with the most recent requests, at most n of them.
func (p *Pool) LargestAccounts(now time.Time, n int) []AccountLoad {
	var largest []AccountLoad
	for name, a := range p.shares.accounts {
		if name == noAccount {
			continue
		}
		arrived := a.arrived.current(now)
		l := AccountLoad{Account: name, PerSecond: arrived / shareMemory.Seconds(), Served: min(1, a.served.current(now)/max(1, arrived))}
		i, _ := slices.BinarySearchFunc(largest, l, func(a, b AccountLoad) int {
			return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Account, b.Account))
		})
		if i < n {
			largest = slices.Insert(largest, i, l)
			largest = largest[:min(n, len(largest))]
		}
	}
	return largest
}
