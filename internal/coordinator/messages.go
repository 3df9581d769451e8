package coordinator

import (
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
	"boragehinge.example/boragehinge/internal/placement"
)

// Frame is one message on a link between two entries. The follower sends Hello, asks, ends and cancels; the leader answers
// with grants and refusals, and passes on what it knows. Any frame shows that the sender lives.
type Frame struct {
	Hello    *Hello              `cbor:"1,keyasint,omitempty"`
	Asks     []Ask               `cbor:"2,keyasint,omitempty"`
	Ends     []End               `cbor:"3,keyasint,omitempty"`
	Cancels  []uint64            `cbor:"4,keyasint,omitempty"`
	Grants   []placement.Grant   `cbor:"5,keyasint,omitempty"`
	Refusals []placement.Refusal `cbor:"6,keyasint,omitempty"`
	Batches  []gateway.Batch     `cbor:"7,keyasint,omitempty"`
	Roster   *Roster             `cbor:"8,keyasint,omitempty"`
	Moves    []MoveNotice        `cbor:"10,keyasint,omitempty"`
}

// Hello opens a link from a follower to the leader, and tells later changes of its state.
type Hello struct {
	Entry   gateway.Entry `cbor:"1,keyasint"`
	Leaving bool          `cbor:"2,keyasint,omitempty"` // is about to stop
	Running []Running     `cbor:"3,keyasint,omitempty"`
}

// Running is a call that an earlier leader placed.
type Running struct {
	Ask      Ask    `cbor:"1,keyasint"`
	Upstream string `cbor:"2,keyasint"`
}

// Ask is placement.Ask with times that don't depend on the sender's clock.
type Ask struct {
	ID            uint64        `cbor:"1,keyasint"`
	RequestID     string        `cbor:"2,keyasint"`
	Service       string        `cbor:"3,keyasint"`
	Route         string        `cbor:"4,keyasint"`
	DataCentre    string        `cbor:"5,keyasint"`
	Large         bool          `cbor:"6,keyasint,omitempty"`
	Priority      int           `cbor:"7,keyasint,omitempty"`
	ObjectiveLeft time.Duration `cbor:"8,keyasint"`
	DeadlineLeft  time.Duration `cbor:"9,keyasint"`
	Attempt       int           `cbor:"10,keyasint"`
	Exclude       []string      `cbor:"11,keyasint,omitempty"`
	Fingerprint   uint64        `cbor:"12,keyasint,omitempty"`
	Returns       bool          `cbor:"13,keyasint,omitempty"` // the caller is expected to come back after a refusal
	MayHedge      bool          `cbor:"14,keyasint,omitempty"` // a second attempt may run beside the first
}

func (a *Ask) placementAsk(now time.Time, id uint64) placement.Ask {
	return placement.Ask{
		ID: id, RequestID: a.RequestID, Route: a.Route, DataCentre: a.DataCentre, Large: a.Large, Priority: a.Priority,
		Objective: now.Add(a.ObjectiveLeft), Deadline: now.Add(a.DeadlineLeft), Attempt: a.Attempt, Exclude: a.Exclude,
		Returns: a.Returns, MayHedge: a.MayHedge,
		Fingerprint: a.Fingerprint,
	}
}

// End is the end of a granted ask.
type End struct {
	Ask     uint64            `cbor:"1,keyasint"`
	Outcome placement.Outcome `cbor:"2,keyasint"`
	Latency time.Duration     `cbor:"3,keyasint"`
	Load    *placement.Load   `cbor:"4,keyasint,omitempty"`
}

// Roster names the entries that callers are sent to, by data centre.
type Roster struct {
	Leader  string              `cbor:"1,keyasint"`
	Callers map[string][]string `cbor:"2,keyasint"` // addresses for callers by data centre
}

// MoveNotice tells followers where a version move stands, for the time in which they place by themselves.
type MoveNotice struct {
	Service string              `cbor:"1,keyasint"`
	Version string              `cbor:"2,keyasint"`
	Phase   placement.MovePhase `cbor:"3,keyasint"`
}
