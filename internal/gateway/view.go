package gateway

import (
	"maps"
	"time"
)

// Upstream is a registered process of a service.
type Upstream struct {
	ID         string        `cbor:"1,keyasint"`
	Service    string        `cbor:"2,keyasint"`
	Address    string        `cbor:"3,keyasint"`
	DataCentre string        `cbor:"4,keyasint"`
	Version    string        `cbor:"5,keyasint"`
	Slots      int           `cbor:"6,keyasint"`
	Draining   bool          `cbor:"7,keyasint"`
	ColdLeft   time.Duration `cbor:"8,keyasint"` // remaining duration of the cold start when the record was written
	Seq        uint64        `cbor:"9,keyasint"`
	Born       int64         `cbor:"10,keyasint"` // start time of the process in Unix milliseconds; 0 when unknown
}

// sameState reports whether the records are equal apart from the fields that change with every heartbeat.
func (u Upstream) sameState(v Upstream) bool {
	u.Seq, v.Seq, u.ColdLeft, v.ColdLeft = 0, 0, 0, 0
	return u == v
}

// Move is an operator's order to move the traffic of a service to a new version.
type Move struct {
	Service  string        `cbor:"1,keyasint"`
	Version  string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
}

// MoveState is the reported state of a move.
type MoveState uint8

// States of a move.
const (
	MoveRunning MoveState = iota + 1
	MoveCompleted
	MoveRolledBack
)

// String returns the name of the state.
func (s MoveState) String() string {
	return [...]string{"unknown", "running", "completed", "rolled back"}[s]
}

// MoveStatus is the last reported status of a move.
type MoveStatus struct {
	Service string    `cbor:"1,keyasint"`
	Version string    `cbor:"2,keyasint"`
	State   MoveState `cbor:"3,keyasint"`
}

// Entry is the record by which an entry process announces itself to the others.
type Entry struct {
	Name       string  `cbor:"1,keyasint"`
	DataCentre string  `cbor:"2,keyasint"`
	Callers    string  `cbor:"3,keyasint"` // address for callers
	Peer       string  `cbor:"4,keyasint"` // address for other entries
	CPUShare   float64 `cbor:"5,keyasint"` // in cores
}

// Source identifies the store log that an update comes from.
type Source uint8

// Store logs.
const (
	Operators Source = iota
	Upstreams
	Statuses
	Entries
	sourceCount
)

// String returns the name of the source.
func (s Source) String() string {
	return [...]string{"operators", "upstreams", "statuses", "entries"}[s]
}

// Update is a record of a log. One of the values is set, unless the record removes its key (Removed) or is invalid (neither).
type Update struct {
	Key      string      `cbor:"1,keyasint"`
	Offset   int64       `cbor:"2,keyasint"` // negative for a record that is known from an earlier epoch only
	Removed  bool        `cbor:"3,keyasint,omitempty"`
	Config   *Config     `cbor:"4,keyasint,omitempty"`
	Up       *Upstream   `cbor:"5,keyasint,omitempty"`
	Move     *Move       `cbor:"6,keyasint,omitempty"`
	Evacuate string      `cbor:"7,keyasint,omitempty"` // data centre to evacuate
	Status   *MoveStatus `cbor:"8,keyasint,omitempty"`
	Entry    *Entry      `cbor:"9,keyasint,omitempty"`
	// Age is the time since the order of a move was first seen. It preserves the deadline of the move across a change of leader.
	Age time.Duration `cbor:"10,keyasint,omitempty"`
	// Highest is the highest offset that the key had in earlier epochs, with a negative Offset. It tells an older order from a newer one.
	Highest int64 `cbor:"11,keyasint,omitempty"`
}

// Batch is a sequence of updates from one source. A snapshot contains all keys, so keys that it lacks have been removed, unless it is the
// first of a new epoch of the store.
type Batch struct {
	Source   Source   `cbor:"1,keyasint"`
	Snapshot bool     `cbor:"2,keyasint,omitempty"`
	End      int64    `cbor:"3,keyasint"` // offset after the last record
	Updates  []Update `cbor:"4,keyasint,omitempty"`
	Epoch    uint64   `cbor:"5,keyasint,omitempty"` // of the store; 0 when unknown. The store's client sets it for failed reads, too.
}

// Tombstone is an upstream whose record is gone. During a store outage records expire although their upstreams are alive, so it
// may come back until GraceEnd.
type Tombstone struct {
	Upstream Upstream
	GraceEnd time.Time
}

// View is the state that results from all updates. It is not safe for concurrent use.
type View struct {
	Config     *Config
	Upstreams  map[string]Upstream
	Tombstones map[string]Tombstone
	Evacuated  map[string]bool
	Moves      map[string]Move
	MoveOffset map[string]Position  // of the order, which distinguishes a repeated order from a new one
	MoveSeen   map[string]time.Time // when the order was first seen
	Statuses   map[string]MoveStatus
	Entries    map[string]Entry

	offsets [sourceCount]map[string]int64 // offset of the newest applied record of each key
	LogEnds [sourceCount]int64            // offset after the last applied record
	Synced  [sourceCount]bool             // at least one batch of the source was applied
	Epochs  [sourceCount]uint64           // epoch of the store in which the offsets are valid
	epochs  epochState
}

// NewView returns an empty View.
func NewView() *View {
	v := &View{
		Upstreams: map[string]Upstream{}, Tombstones: map[string]Tombstone{}, Evacuated: map[string]bool{},
		Moves: map[string]Move{}, MoveOffset: map[string]Position{},
		MoveSeen: map[string]time.Time{}, Statuses: map[string]MoveStatus{}, Entries: map[string]Entry{},
	}
	for i := range v.offsets {
		v.offsets[i] = map[string]int64{}
	}
	v.epochs = newEpochState()
	return v
}

// Apply applies a batch and returns the updates to forward to other entries: those that changed more than heartbeat fields, or all
// of a snapshot. The first batch of a new epoch of the store returns a snapshot of the view, one of an earlier epoch has no effect.
// graceEnd is the time until which missing records may come back; see Tombstone.
func (v *View) Apply(now time.Time, b Batch, graceEnd time.Time) Batch {
	if b.Epoch != 0 && b.Epoch < v.Epochs[b.Source] {
		return Batch{Source: b.Source, End: v.LogEnds[b.Source], Epoch: v.Epochs[b.Source]}
	}
	entered := b.Epoch > v.Epochs[b.Source]
	if entered {
		v.enterEpoch(now, b, graceEnd)
	}
	changed := Batch{Source: b.Source, End: b.End, Snapshot: b.Snapshot, Epoch: v.Epochs[b.Source]}
	for _, u := range b.Updates {
		if v.applyRecord(now, b, u, graceEnd) || b.Snapshot {
			changed.Updates = append(changed.Updates, u)
		}
	}
	if b.Snapshot {
		v.dropMissing(now, b, graceEnd)
	}
	v.Synced[b.Source] = true
	v.LogEnds[b.Source] = max(v.LogEnds[b.Source], b.End)
	if entered {
		return v.SnapshotOf(now, b.Source) // with what is known from earlier epochs
	}
	return changed
}

// setRecord makes the content of an update the value of its key, and reports whether that changed more than heartbeat fields.
func (v *View) setRecord(now time.Time, source Source, u Update, graceEnd time.Time) bool {
	switch {
	case u.Removed:
		return v.remove(now, source, u.Key, graceEnd)
	case u.Config != nil:
		return v.setConfig(u.Config)
	case u.Up != nil:
		return v.setUpstream(*u.Up)
	case u.Move != nil:
		v.setMove(now, u)
	case u.Evacuate != "":
		v.Evacuated[u.Evacuate] = true
	case u.Status != nil:
		v.Statuses[u.Status.Service] = *u.Status
	case u.Entry != nil:
		v.Entries[u.Key] = *u.Entry
	case source == Upstreams:
		// The newest record of the key is invalid, so the upstream must not be used.
		return v.remove(now, source, u.Key, time.Time{})
	default:
		return false
	}
	return true
}

func (v *View) setConfig(c *Config) bool {
	if v.Config != nil && c.Version <= v.Config.Version {
		return false
	}
	c.Index()
	v.Config = c
	return true
}

func (v *View) setUpstream(u Upstream) bool {
	old, known := v.Upstreams[u.ID]
	if known && isOlder(u, old) || !known && v.hasDeparted(u) {
		return false
	}
	if known && old.Draining && u.Born == old.Born {
		u.Draining = true // draining is final for a process; only a new process receives requests again
	}
	v.Upstreams[u.ID] = u
	delete(v.Tombstones, u.ID)
	return !known || !old.sameState(u)
}

// isOlder reports whether u was written before old, by an earlier process with the same ID or as an earlier heartbeat.
func isOlder(u, old Upstream) bool {
	if u.Born != old.Born {
		return u.Born < old.Born
	}
	return u.Seq < old.Seq
}

func (v *View) remove(now time.Time, source Source, key string, graceEnd time.Time) bool {
	switch source {
	case Upstreams:
		old, known := v.Upstreams[key]
		if known {
			v.recordDeparture(now, old)
			v.Tombstones[key] = Tombstone{Upstream: old, GraceEnd: graceEnd}
			delete(v.Upstreams, key)
		}
		return known
	case Entries:
		delete(v.Entries, key)
	case Operators:
		v.removeOperatorRecord(key)
	case Statuses:
	}
	return true
}

func (v *View) removeOperatorRecord(key string) {
	kind, name, _ := cutKey(key)
	switch kind {
	case EvacuateKey:
		delete(v.Evacuated, name)
	case MoveKey:
		delete(v.Moves, name)
	}
}

// dropMissing removes the keys that a snapshot lacks, apart from those written after it.
func (v *View) dropMissing(now time.Time, b Batch, graceEnd time.Time) {
	present := make(map[string]bool, len(b.Updates))
	for _, u := range b.Updates {
		present[u.Key] = true
	}
	for key, offset := range maps.Clone(v.offsets[b.Source]) {
		if !present[key] && offset < b.End {
			v.remove(now, b.Source, key, graceEnd)
			v.offsets[b.Source][key] = b.End - 1
		}
	}
}

// SnapshotOf returns a snapshot of one source, for an entry that joins.
func (v *View) SnapshotOf(now time.Time, source Source) Batch {
	b := Batch{Source: source, Snapshot: true, End: v.LogEnds[source], Epoch: v.Epochs[source]}
	switch source {
	case Operators:
		v.addOperatorRecords(now, &b)
	case Upstreams:
		for id, u := range v.Upstreams {
			b.add(v, id, Update{Up: &u})
		}
	case Statuses:
		for name, s := range v.Statuses {
			b.add(v, MoveKey+name, Update{Status: &s})
		}
	case Entries:
		for name, e := range v.Entries {
			b.add(v, name, Update{Entry: &e})
		}
	}
	return b
}

// ForgetUpstreams discards all upstream records, for callers that can't keep them up to date.
func (v *View) ForgetUpstreams() {
	v.Upstreams, v.Tombstones = map[string]Upstream{}, map[string]Tombstone{}
	v.offsets[Upstreams] = map[string]int64{}
	v.Synced[Upstreams] = false
	v.epochs.forget(Upstreams)
}

func (v *View) addOperatorRecords(now time.Time, b *Batch) {
	if v.Config != nil {
		b.add(v, ConfigKey, Update{Config: v.Config})
	}
	for name, m := range v.Moves {
		b.add(v, MoveKey+name, Update{Move: &m, Age: now.Sub(v.MoveSeen[name])})
	}
	for name := range v.Evacuated {
		b.add(v, EvacuateKey+name, Update{Evacuate: name})
	}
}

// add appends an update with the offset of the newest record of its key.
func (b *Batch) add(v *View, key string, u Update) {
	u.Key, u.Offset = key, -1
	if offset, known := v.offsets[b.Source][key]; known {
		u.Offset = offset
	} else if b.Source == Operators {
		u.Highest = v.epochs.highest[Operators][key]
	}
	b.Updates = append(b.Updates, u)
}
