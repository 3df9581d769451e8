package cluster

import (
	"time"

	"boragehinge.example/boragehinge/internal/facts"
	"boragehinge.example/boragehinge/internal/membership"
	"boragehinge.example/boragehinge/internal/wire"
)

// DigestInterval is the interval of the digests to peers of other data centres.
const DigestInterval = time.Second

// Callbacks are called after a message or a tick was handled, outside the lock of Node, from the goroutine of a link or
// of Node.Run. They must not block. Each may be nil.
type Callbacks struct {
	// RecordsRequest is answered with Node.Send.
	RecordsRequest func(from membership.Member, r wire.RecordsRequest)
	Records        func(from membership.Member, r wire.Records)
	Statistics     func(from membership.Member, s wire.Statistics)
	ColdUpstreams  func(from membership.Member, c wire.ColdUpstreams)
	// Fact receives each fact that is new here, own ones included.
	Fact func(e wire.Envelope)
	// NewerVersion is called with each heartbeat or digest that reports a configuration version above the own one. The
	// receiver requests the missing records from the peer, and bounds how often it does.
	NewerVersion func(from membership.Member, version int)
	// PoolSummaries receives the summaries of a digest.
	PoolSummaries func(from membership.Member, pools []wire.PoolSummary)
	// Changes receives the members that came and went.
	Changes func(changes []membership.Change)
	// Pools returns the summaries for the next digest. It is called with the lock of Node held and must not call Node.
	Pools func() []wire.PoolSummary
}

// Sender sends a message to a peer by its incarnation. Errors are of no interest here: each message but a fact is
// repeated, and facts are sent again on the next link.
type Sender func(incarnation string, e wire.Envelope)

// Core is the pure part of a Node.
type Core struct {
	table      *membership.Table
	facts      *facts.Store
	send       Sender
	calls      Callbacks
	linked     map[string]membership.Member
	lastDigest time.Time
	asked      map[string]asked // last request for a member list, by data centre
	after      []func()
}

type asked struct {
	hash int
	at   time.Time
}

// NewCore returns a core without links.
func NewCore(self membership.Member, cfg membership.Config, f facts.Config, calls Callbacks, send Sender, now time.Time) *Core {
	return &Core{
		table: membership.New(self, cfg, now), facts: facts.New(f), send: send, calls: calls,
		linked: map[string]membership.Member{}, asked: map[string]asked{},
	}
}

// Table returns the membership table.
func (c *Core) Table() *membership.Table { return c.table }

// Facts returns the store of facts; facts are added with AddFact.
func (c *Core) Facts() *facts.Store { return c.facts }

// Deferred returns the callbacks to call once the lock is released.
func (c *Core) Deferred() []func() {
	calls := c.after
	c.after = nil
	return calls
}

// Tick advances the table and sends what is due.
func (c *Core) Tick(now time.Time) {
	changes := c.table.Tick(now)
	if len(changes) > 0 && c.calls.Changes != nil {
		c.after = append(c.after, func() { c.calls.Changes(changes) })
	}
	c.facts.Tick(now)
	if c.table.HeartbeatDue(now) {
		c.sendHeartbeats(now)
	}
	if now.Sub(c.lastDigest) >= DigestInterval {
		c.lastDigest = now
		c.sendDigests()
	}
}

func (c *Core) sendHeartbeats(now time.Time) {
	hb := c.table.Heartbeat(now)
	own := c.table.Self().DataCentre
	for id, m := range c.linked {
		if m.DataCentre != own {
			continue
		}
		reduced := membership.EchoFor(hb, id)
		c.send(id, wire.Envelope{Type: wire.EnvelopeTypeHeartbeat, Heartbeat: &reduced})
	}
}

func (c *Core) sendDigests() {
	d := c.table.Digest()
	if c.calls.Pools != nil {
		d.Pools = c.calls.Pools()
	}
	own := c.table.Self().DataCentre
	for id, m := range c.linked {
		if m.DataCentre != own {
			c.sendDigest(id, d)
		}
	}
}

func (c *Core) sendDigest(to string, d wire.Digest) {
	c.send(to, wire.Envelope{Type: wire.EnvelopeTypeDigest, Digest: &d})
}

// Linked takes a new link into use and sends the facts on it.
func (c *Core) Linked(now time.Time, peer membership.Member) {
	c.linked[peer.Incarnation] = peer
	for _, e := range c.facts.Messages(now) {
		c.send(peer.Incarnation, *e)
	}
	if peer.DataCentre != c.table.Self().DataCentre {
		c.sendDigest(peer.Incarnation, c.table.Digest())
	}
}

// Unlinked forgets a link. The peer stays a member until it is silent for too long.
func (c *Core) Unlinked(incarnation string) {
	delete(c.linked, incarnation)
}

// Receive handles a message of a linked peer.
func (c *Core) Receive(now time.Time, from membership.Member, e *wire.Envelope) {
	switch e.Type {
	case wire.EnvelopeTypeHeartbeat:
		c.table.Observe(now, from, *e.Heartbeat)
		c.checkVersion(from, e.Heartbeat.Version)
	case wire.EnvelopeTypeDigest:
		c.receiveDigest(now, from, *e.Digest)
	case wire.EnvelopeTypeStopFact, wire.EnvelopeTypeLeavingFact, wire.EnvelopeTypePoisonFact:
		c.spread(now, from.Incarnation, *e)
	case wire.EnvelopeTypeGoodbye:
		c.table.Goodbye(now, from.Incarnation)
	case wire.EnvelopeTypeRecordsRequest:
		if call := c.calls.RecordsRequest; call != nil {
			c.after = append(c.after, func() { call(from, *e.RecordsRequest) })
		}
	case wire.EnvelopeTypeRecords:
		if call := c.calls.Records; call != nil {
			c.after = append(c.after, func() { call(from, *e.Records) })
		}
	case wire.EnvelopeTypeColdUpstreams:
		if call := c.calls.ColdUpstreams; call != nil {
			c.after = append(c.after, func() { call(from, *e.ColdUpstreams) })
		}
	case wire.EnvelopeTypeStatistics:
		if call := c.calls.Statistics; call != nil {
			c.after = append(c.after, func() { call(from, *e.Statistics) })
		}
	}
}

func (c *Core) receiveDigest(now time.Time, from membership.Member, d wire.Digest) {
	want := c.table.ObserveDigest(now, from, d)
	c.checkVersion(from, d.Version)
	if d.WantMembers != nil && *d.WantMembers {
		c.sendDigest(from.Incarnation, c.table.DigestWithMembers())
	}
	if want {
		c.askMembers(now, from, d)
	}
	if call := c.calls.PoolSummaries; call != nil && len(d.Pools) > 0 {
		c.after = append(c.after, func() { call(from, d.Pools) })
	}
}

// askMembers asks one of the sources that name a new hash, not each of them: a list of 66 members takes 10 KB.
func (c *Core) askMembers(now time.Time, from membership.Member, d wire.Digest) {
	last := c.asked[d.DataCentre]
	if last.hash == *d.MembersHash && now.Sub(last.at) < DigestInterval {
		return
	}
	c.asked[d.DataCentre] = asked{*d.MembersHash, now}
	reply := c.table.Digest()
	yes := true
	reply.WantMembers = &yes
	c.sendDigest(from.Incarnation, reply)
}

func (c *Core) checkVersion(from membership.Member, version int) {
	if call := c.calls.NewerVersion; call != nil && version > c.table.Self().Version {
		c.after = append(c.after, func() { call(from, version) })
	}
}

// AddFact adds an own fact and sends it to all peers.
func (c *Core) AddFact(now time.Time, e wire.Envelope) facts.Verdict {
	return c.spread(now, "", e)
}

// spread passes a fact on when it is new here, to all links but the one that it came from.
func (c *Core) spread(now time.Time, from string, e wire.Envelope) facts.Verdict {
	verdict := c.facts.Add(now, &e)
	if verdict != facts.Added {
		return verdict
	}
	for id := range c.linked {
		if id != from {
			c.send(id, e)
		}
	}
	if call := c.calls.Fact; call != nil {
		c.after = append(c.after, func() { call(e) })
	}
	return verdict
}

// SetVersion sets the configuration version in force and lifts the leaving facts that it ends.
func (c *Core) SetVersion(version int) {
	c.table.SetVersion(version)
	c.facts.SetVersion(version)
}

// Goodbye tells all peers that the entry stops.
func (c *Core) Goodbye(reason string) {
	for id := range c.linked {
		c.send(id, wire.Envelope{Type: wire.EnvelopeTypeGoodbye, Goodbye: &wire.Goodbye{Reason: reason}})
	}
}
