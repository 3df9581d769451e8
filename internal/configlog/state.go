package configlog

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/model"
)

// The limits of the state are part of the format, since all readers must discard the same items. They keep a snapshot
// within one record.
const (
	// maxRememberedChanges is how many change IDs are kept to detect a repeated change: a quarter of a day at 520
	// changes a day. A change that is repeated later is refused because its base is outdated.
	maxRememberedChanges = 128
	// maxRememberedStops limits the stops that are kept. Those of moves in the current configuration are never removed.
	maxRememberedStops = 24
	// maxLeases is the maximum number of unexpired leases.
	maxLeases = 16
	// maxLifted is how many cancelled leavings are kept; the oldest is discarded. It is well above the number of data
	// centres in an inventory of the design size.
	maxLifted = 64
)

// Version is a version of the configuration. Offset is the offset of the accepted record, or 0 if there is none. A Version
// and the data it points to must not be modified.
type Version struct {
	Offset    int64
	ChangeID  string
	Operator  string
	Time      time.Time // log time of the accepted record
	Inventory *model.Inventory
	Raw       json.RawMessage
}

// LeaseState is a granted lease. Token, the offset of its record, is its fencing token.
type LeaseState struct {
	Name   string    `json:"name"`
	Holder string    `json:"holder"`
	Token  int64     `json:"token"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
}

// Move names a version move.
type Move struct {
	Service, Name string
}

// MoveState is the progress of a version move that the current configuration names. Percent is 0 before the first
// step. It doesn't include stop facts that peers exchange but that aren't in the log.
type MoveState struct {
	Service  string    `json:"service"`
	Move     string    `json:"move"`
	From     string    `json:"from"`
	To       string    `json:"to"`
	By       time.Time `json:"by"`
	Percent  float64   `json:"percent"`
	StepAt   time.Time `json:"stepAt"` // log time of the last step
	Finished bool      `json:"finished"`
	EndedAt  time.Time `json:"endedAt"` // log time of the finished or the stop record
	Stopped  bool      `json:"stopped"`
	Reason   string    `json:"reason,omitempty"`
	Evidence string    `json:"evidence,omitempty"`
}

// LeavingState is a data centre that was taken out of service immediately.
type LeavingState struct {
	DataCentre string    `json:"dataCentre"`
	Offset     int64     `json:"offset"`
	Base       int64     `json:"base"`
	At         time.Time `json:"at"`
	Operator   string    `json:"operator,omitempty"`
	Reason     string    `json:"reason,omitempty"`
}

// View is an immutable copy of the state after the record at offset Through.
type View struct {
	Through int64
	LogTime time.Time // highest log time seen
	Version Version
	Leases  map[string]LeaseState
	Moves   map[Move]MoveState
	Leaving map[string]LeavingState
	// Lifted is the version that last cancelled the leaving of each data centre; facts with an older base don't apply.
	Lifted map[string]int64
}

// state is the content of a snapshot. Lists are sorted, so that equal states have the same encoding.
type state struct {
	Through  int64           `json:"through"`
	LogTime  time.Time       `json:"logTime"`
	Offset   int64           `json:"offset"`
	ChangeID string          `json:"changeID"`
	Operator string          `json:"operator"`
	Time     time.Time       `json:"time"`
	Raw      json.RawMessage `json:"inventory,omitempty"`
	Changes  []change        `json:"changes"`
	Leases   []LeaseState    `json:"leases"`
	Moves    []MoveState     `json:"moves"`
	Stops    []MoveState     `json:"stops"`
	Leaving  []LeavingState  `json:"leaving"`
	Lifted   []lift          `json:"lifted,omitempty"`
	Needed   time.Time       `json:"needed"` // log time of the oldest record that a new reader of the log needs
}

// lift is the version that last cancelled the leaving of a data centre. It is kept because the rule that cancelled the
// leaving may be gone from the configuration while a peer still forwards the older fact.
type lift struct {
	DataCentre string `json:"dataCentre"`
	Version    int64  `json:"version"`
}

// change is the outcome of the first record with a change ID.
type change struct {
	ID             string `json:"id"`
	Offset         int64  `json:"offset"`
	Refused        bool   `json:"refused,omitempty"`
	Winner         int64  `json:"winner,omitempty"`
	WinnerID       string `json:"winnerID,omitempty"`
	WinnerOperator string `json:"winnerOperator,omitempty"`
}

func (f *Fold) exportState() state {
	return state{
		Through: f.next - 1, LogTime: f.logTime,
		Offset: f.version.Offset, ChangeID: f.version.ChangeID, Operator: f.version.Operator,
		Time: f.version.Time, Raw: f.version.Raw,
		Changes: slices.Clone(f.changes),
		Leases:  sortedValues(f.leases, strings.Compare),
		Moves:   sortedValues(f.moves, compareMoves),
		Stops:   sortedValues(f.stops, compareMoves),
		Leaving: sortedValues(f.leaving, strings.Compare),
		Lifted:  f.lifts(),
		Needed:  f.oldestNeeded,
	}
}

func (f *Fold) importState(s state, inv *model.Inventory) {
	f.next = s.Through + 1
	f.logTime = s.LogTime
	f.version = Version{
		Offset: s.Offset, ChangeID: s.ChangeID, Operator: s.Operator, Time: s.Time, Inventory: inv, Raw: s.Raw,
	}
	f.changes = s.Changes
	f.leases = map[string]LeaseState{}
	for _, l := range s.Leases {
		f.leases[l.Name] = l
	}
	f.moves, f.stops = map[Move]MoveState{}, map[Move]MoveState{}
	for _, m := range s.Moves {
		f.moves[Move{m.Service, m.Move}] = m
	}
	for _, m := range s.Stops {
		f.stops[Move{m.Service, m.Move}] = m
	}
	f.oldestNeeded = s.Needed
	f.leaving = map[string]LeavingState{}
	for _, l := range s.Leaving {
		f.leaving[l.DataCentre] = l
	}
	f.lifted = map[string]int64{}
	for _, l := range s.Lifted {
		f.lifted[l.DataCentre] = l.Version
	}
}

// View returns an immutable copy of the state.
func (f *Fold) View() View {
	return View{
		Through: f.next - 1,
		LogTime: f.logTime,
		Version: f.version,
		Leases:  maps.Clone(f.leases),
		Moves:   maps.Clone(f.moves),
		Leaving: maps.Clone(f.leaving),
		Lifted:  maps.Clone(f.lifted),
	}
}

func sortedValues[K comparable, V any](m map[K]V, order func(a, b K) int) []V {
	list := make([]V, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), order) {
		list = append(list, m[k])
	}
	return list
}

func compareMoves(a, b Move) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Name, b.Name))
}
