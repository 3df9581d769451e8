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

// The bounds of the state are part of the format, since all readers must forget the same things. They keep a snapshot
// within one record.
const (
	// rememberedChanges is how many change IDs are kept to recognise a repeated change: a quarter of a day at 520
	// changes a day. A change that is repeated later loses by its base.
	rememberedChanges = 128
	// rememberedStops is how many stopped moves are kept when no configuration names them any more.
	rememberedStops = 24
	// maxLeases is how many leases may run at once.
	maxLeases = 16
	// maxLifted is how many lifted leavings are kept; the oldest is forgotten. It is well above the data centres of an
	// inventory of the design size.
	maxLifted = 64
)

// Version is a configuration. Offset is the offset of the accepted record and 0 while there is none. It and what it
// points to must not be changed.
type Version struct {
	Offset    int64
	ChangeID  string
	Operator  string
	Time      time.Time // log time of the accepted record
	Inventory *model.Inventory
	Raw       json.RawMessage
}

// LeaseState is a granted lease. Token is the offset of its record.
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
// step. Stop facts that only travel between peers are not in it.
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

// LeavingState is a data centre that was taken out of service at once.
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
	// Lifted has the last version that lifted the leaving of a data centre; facts with an older base don't apply.
	Lifted map[string]int64
}

// state is what a snapshot holds. Lists are sorted, so that equal states have equal bytes.
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

// lift remembers the last version that lifted the leaving of a data centre. The rule that did may have left the
// configuration since, while a peer still passes an older leaving on.
type lift struct {
	DataCentre string `json:"dataCentre"`
	Version    int64  `json:"version"`
}

// change remembers how the first record with a change ID ended.
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
		Needed:  f.needed,
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
	f.needed = s.Needed
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
