package operators

import (
	"context"
	"time"

	"boragehinge.example/boragehinge/internal/dispatch"
	"boragehinge.example/boragehinge/internal/rollout"
	"boragehinge.example/boragehinge/inventory"
)

// Source supplies the facts of an entry. All methods are safe for concurrent use, and all but Leave return without
// blocking on the network.
type Source interface {
	// Ready reports whether the entry serves callers, and if not, why.
	Ready() (ok bool, reason string)
	// State returns the facts of this moment. It is called about once a second and for each request of the status.
	State() State
	// Snapshot returns the configuration in force; nil before the first one.
	Snapshot() *inventory.Snapshot
	// Candidates returns the pools of a service that may serve calls of a version, in the order in which this entry
	// would try them, followed by the pools that it would not try, with the reason in Excluded.
	Candidates(service, version string) []Candidate
	// Leave takes a data centre out of service at once: it spreads the fact to the peers and appends it to the log. The
	// error is ErrUnknownDataCentre, or that no new fact could be added.
	Leave(ctx context.Context, l Leaving) (LeaveResult, error)
}

// State holds the facts of an entry at one moment.
type State struct {
	Now           time.Time
	Self          Self
	Configuration Configuration
	Log           Log
	Members       []Member // live members, this entry included
	DataCentres   []DataCentre
	Moves         []rollout.Status
	Upstreams     []Upstream // of the pools that this entry owns
}

// Self describes the entry.
type Self struct {
	Host          string    `json:"host"`
	DataCentre    string    `json:"dataCentre"`
	Incarnation   string    `json:"incarnation"`
	Started       time.Time `json:"started,omitzero"`
	Stopping      bool      `json:"stopping,omitempty"`      // a planned stop is under way
	StopBy        time.Time `json:"stopBy,omitzero"`         // end of the planned stop
	RunningCalls  int       `json:"runningCalls,omitempty"`  // calls that this entry still serves
	ViewConfirmed bool      `json:"viewConfirmed,omitempty"` // cold upstreams get work only with a confirmed view
}

// Configuration is the configuration in force at this entry. Version is 0 before the first one.
type Configuration struct {
	Version  int64     `json:"version"`
	ChangeID string    `json:"changeId,omitempty"`
	Operator string    `json:"operator,omitempty"`
	Since    time.Time `json:"since,omitzero"` // log time of the accepted change
	// LowestVersion is the lowest version that a live entry has in force; 0 when one is not known. The version is in force
	// everywhere when it is not higher.
	LowestVersion int64 `json:"lowestVersion"`
}

// Log says whether the platform's log can be read.
type Log struct {
	Used      bool      `json:"used"` // false without a platform URL
	Reachable bool      `json:"reachable"`
	LastRead  time.Time `json:"lastRead,omitzero"`
	Problem   string    `json:"problem,omitempty"`
}

// Member is a live entry.
type Member struct {
	Host        string `json:"host"`
	DataCentre  string `json:"dataCentre"`
	Incarnation string `json:"incarnation"`
	Operators   string `json:"operators,omitempty"` // address of its operators' port
	Version     int64  `json:"version,omitempty"`   // configuration in force there; 0 when unknown, as in other data centres
	Leaving     bool   `json:"leaving,omitempty"`
}

// DataCentre is the state of a data centre as far as this entry knows it. Calls and cold upstreams are counted in the
// KnownPools, which are those that this entry owns.
type DataCentre struct {
	Name         string    `json:"name"`
	Leaving      bool      `json:"leaving,omitempty"`
	Urgent       bool      `json:"urgent,omitempty"` // by the urgent command, not by a rule of the configuration
	Reason       string    `json:"reason,omitempty"`
	Operator     string    `json:"operator,omitempty"`
	Since        time.Time `json:"since,omitzero"` // when it began to leave or to return
	Returning    bool      `json:"returning,omitempty"`
	Entries      int       `json:"entries"`
	Upstreams    int       `json:"upstreams"`
	Cold         int       `json:"cold,omitempty"`
	Pools        int       `json:"pools"`
	KnownPools   int       `json:"knownPools"`
	RunningCalls int       `json:"runningCalls"`
	QueuedCalls  int       `json:"queuedCalls,omitempty"`
}

// Upstream is an upstream with the pool that it belongs to.
type Upstream struct {
	dispatch.UpstreamStatus
	Service    string
	DataCentre string
	Pool       string
	Since      time.Time // when its state of health began, as far as known
}

// Candidate is a pool that may serve a call.
type Candidate struct {
	Pool          string                 `json:"pool"`
	DataCentre    string                 `json:"dataCentre"`
	Owner         string                 `json:"owner,omitempty"`        // host name; empty when no entry owns the pool
	OwnerHere     bool                   `json:"ownerHere,omitempty"`    // this entry is the owner
	Delay         time.Duration          `json:"delayNs"`                // one way, from this entry's data centre
	Waits         []dispatch.WaitSummary `json:"waits,omitempty"`        // by priority; empty when nothing is known yet
	Slots         int                    `json:"slots"`                  // usable now, for the version
	InFlight      int                    `json:"inFlight"`               // for the version
	WeightPercent float64                `json:"weightPercent"`          // part of the calls that this entry sends to it
	Excluded      string                 `json:"excluded,omitempty"`     // why the pool gets no such calls
	AgeOfFigures  time.Duration          `json:"ageOfFigures,omitempty"` // of a pool of another owner
}

// Leaving asks for the urgent leaving of a data centre.
type Leaving struct {
	DataCentre string `json:"dataCentre"`
	Reason     string `json:"reason"`
	Operator   string `json:"operator,omitempty"`
}

// LeaveResult says how far an urgent leaving got.
type LeaveResult struct {
	DataCentre string `json:"dataCentre"`
	Known      bool   `json:"known"`          // it was leaving already
	Told       int    `json:"told"`           // peers that the fact was sent to
	Logged     bool   `json:"logged"`         // the log holds it; otherwise it is appended as soon as the log is back
	Base       int64  `json:"base"`           // configuration that it was declared at; a later one that names the state lifts it
	Text       string `json:"text,omitempty"` // the statement; set by this package
}
