package membership

import (
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Member is one incarnation of an entry: a single run of its process.
type Member struct {
	// Incarnation is the random identity of the run, 16 hexadecimal digits.
	Incarnation string
	// Host is the name of the entry host on the platform's list. It stays the same when the entry restarts.
	Host             string
	DataCentre       string
	CallerAddress    string
	PeerAddress      string
	OperatorsAddress string
	// Leaving members finish their running calls and own no pools.
	Leaving bool
	// Version is the configuration version in force at the member; 0 when unknown.
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
	// HeartbeatBudget limits the heartbeats that an entry sends to all its peers together, in bytes per second.
	HeartbeatBudget int
	// DeadIntervals is the number of heartbeat intervals without a heartbeat after which a peer is declared dead.
	DeadIntervals int
	// ViewTransition is the time for which a member reports view hash 0 after its view has changed.
	ViewTransition time.Duration
	// OwnFresh is the age, counted from sending, up to which a heartbeat of this entry that a peer echoes proves
	// contact with that peer.
	OwnFresh time.Duration
	// PauseGap is the gap between ticks above which this process is considered paused.
	PauseGap time.Duration
	// RosterHold is the time for which a view must still be confirmed by a replaced roster as well. It covers the delay
	// until all other entries have read the platform's new list.
	RosterHold time.Duration
	// DigestDead is the time without a digest after which a source of digests expires.
	DigestDead time.Duration
	// DigestSuspect is the time without a digest after which a source expires if a more recent source no longer
	// lists it.
	DigestSuspect time.Duration
	// FlapWindow is the time within which a second death of the same incarnation delays its return to the view.
	FlapWindow time.Duration
	// MaxFlapHold is the upper limit of that delay.
	MaxFlapHold time.Duration
	// LinksPerDataCentre is the number of links to each other data centre.
	LinksPerDataCentre int
	// LinkRetry is the time for which WantedHosts avoids a remote host that was reported unreachable.
	LinkRetry time.Duration
	// Distance is the delay between two data centres; nil means that all are equally far.
	Distance func(a, b string) time.Duration
}

// DefaultConfig returns the default intervals and limits.
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

// ChangeKind says what happened to a member.
type ChangeKind int

// Kinds of changes.
const (
	// Joined is a member that was not live before.
	Joined ChangeKind = iota
	// Died is a member of the local data centre whose heartbeats stopped.
	Died
	// Left is a member that announced its stop, was replaced by a newer incarnation of its host, or disappeared
	// from the digests.
	Left
	// LeavingSet is a live member that has started to leave.
	LeavingSet
	// Paused is this process after a gap between ticks; Change.Gap is the length of the gap.
	Paused
)

// String returns the name of the kind as used in logs.
func (k ChangeKind) String() string {
	return [...]string{"joined", "died", "left", "leaving", "paused"}[k]
}

// Change is a change of the membership, as Tick reports it.
type Change struct {
	Kind   ChangeKind
	Member Member
	Gap    time.Duration
}

// FromWire converts a member from its message form.
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

// Wire converts a member to its message form.
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
