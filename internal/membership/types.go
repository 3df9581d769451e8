package membership

import (
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Member is one run of an entry.
type Member struct {
	// Incarnation is the random identity of the run, 16 hexadecimal digits.
	Incarnation string
	// Host is the name of the entry host on the platform's list. It stays the same when the entry restarts.
	Host             string
	DataCentre       string
	CallerAddress    string
	PeerAddress      string
	OperatorsAddress string
	// Leaving members run their calls to the end and own no pools.
	Leaving bool
	// Version is the configuration version that the member has in force; 0 when unknown.
	Version int
}

// Host is an entry host on the platform's list.
type Host struct {
	Name        string
	DataCentre  string
	PeerAddress string
	Leaving     bool
}

// PoolID names one shard of the upstreams of a service in a data centre.
type PoolID struct {
	Service    string
	DataCentre string
	Shard      int
}

// Config holds the intervals and limits of a table. All entries must use the same ViewTransition and OwnFresh, and
// ViewTransition must exceed OwnFresh: otherwise two views can be confirmed at the same moment.
type Config struct {
	// TickInterval is the interval at which Tick is called.
	TickInterval time.Duration
	// Interval is the shortest heartbeat interval.
	Interval time.Duration
	// HeartbeatBudget is the largest sum of heartbeats that a node sends, in bytes per second.
	HeartbeatBudget int
	// DeadIntervals is the number of heartbeat intervals without a heartbeat after which a peer is dead.
	DeadIntervals int
	// ViewTransition is the time during which a member whose view changed reports hash 0.
	ViewTransition time.Duration
	// OwnFresh is the age up to which an own echoed heartbeat proves contact, measured from its sending.
	OwnFresh time.Duration
	// PauseGap is the gap between ticks above which the own process counts as paused.
	PauseGap time.Duration
	// RosterHold is the time for which a replaced roster still takes part in the confirmation. It covers the time by
	// which other entries read the platform's list later.
	RosterHold time.Duration
	// DigestDead is the silence after which a digest counts no longer.
	DigestDead time.Duration
	// DigestSuspect is the silence after which a source counts no longer if another one has dropped it.
	DigestSuspect time.Duration
	// FlapWindow is the time in which a second death of the same incarnation delays its return.
	FlapWindow time.Duration
	// MaxFlapHold is the longest delay of a return.
	MaxFlapHold time.Duration
	// LinksPerDataCentre is the number of links to each other data centre.
	LinksPerDataCentre int
	// LinkRetry is the time for which WantedHosts passes over a remote host that was reported unreachable.
	LinkRetry time.Duration
	// Distance is the delay between two data centres; nil means that all are equally far.
	Distance func(a, b string) time.Duration
}

// DefaultConfig returns the values of the design page.
func DefaultConfig() Config {
	return Config{
		TickInterval:       50 * time.Millisecond,
		Interval:           250 * time.Millisecond,
		HeartbeatBudget:    8 << 10,
		DeadIntervals:      8,
		ViewTransition:     1500 * time.Millisecond,
		OwnFresh:           time.Second,
		PauseGap:           500 * time.Millisecond,
		RosterHold:         30 * time.Second,
		DigestDead:         8 * time.Second,
		DigestSuspect:      2500 * time.Millisecond,
		FlapWindow:         time.Minute,
		MaxFlapHold:        30 * time.Second,
		LinksPerDataCentre: 2,
		LinkRetry:          30 * time.Second,
	}
}

// ChangeKind is the kind of a Change.
type ChangeKind int

// Kinds of changes.
const (
	// Joined is a member that was not live before.
	Joined ChangeKind = iota
	// Died is a member of the own data centre that was silent for too long.
	Died
	// Left is a member that said goodbye, was replaced by a newer incarnation of its host, or vanished from digests.
	Left
	// LeavingSet is a live member that began to leave.
	LeavingSet
	// Paused is the own process after a gap between ticks; Change.Gap holds its length.
	Paused
)

// String returns the name of the kind as used in logs.
func (k ChangeKind) String() string {
	return [...]string{"joined", "died", "left", "leaving", "paused"}[k]
}

// Change is one change of the table, reported by Tick.
type Change struct {
	Kind   ChangeKind
	Member Member
	Gap    time.Duration
}

// FromWire converts a member of a message.
func FromWire(m wire.Member) Member {
	out := Member{Incarnation: m.Incarnation, Host: m.Host, DataCentre: m.DataCentre, CallerAddress: m.CallerAddress,
		PeerAddress: m.PeerAddress}
	if m.OperatorsAddress != nil {
		out.OperatorsAddress = *m.OperatorsAddress
	}
	if m.Leaving != nil {
		out.Leaving = *m.Leaving
	}
	if m.Version != nil {
		out.Version = *m.Version
	}
	return out
}

// Wire converts a member for a message.
func (m Member) Wire() wire.Member {
	out := wire.Member{Incarnation: m.Incarnation, Host: m.Host, DataCentre: m.DataCentre,
		CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress}
	if m.OperatorsAddress != "" {
		out.OperatorsAddress = &m.OperatorsAddress
	}
	if m.Leaving {
		out.Leaving = &m.Leaving
	}
	if m.Version != 0 {
		out.Version = &m.Version
	}
	return out
}
