package gateway

import (
	"maps"
	"time"
)

// Upstream is one registered process of a service.
type Upstream struct {
	ID         string        `cbor:"1,keyasint"`
	Service    string        `cbor:"2,keyasint"`
	Address    string        `cbor:"3,keyasint"`
	DataCentre string        `cbor:"4,keyasint"`
	Version    string        `cbor:"5,keyasint"`
	Slots      int           `cbor:"6,keyasint"`
	Draining   bool          `cbor:"7,keyasint"`
	ColdLeft   time.Duration `cbor:"8,keyasint"` // remaining cold start when the record was written
	Seq        uint64        `cbor:"9,keyasint"`
	Born       int64         `cbor:"10,keyasint"` // Unix milliseconds of its start; 0 when unknown
}

// sameState reports whether the two records differ in heartbeat fields only.
func (u Upstream) sameState(v Upstream) bool {
	u.Seq, v.Seq, u.ColdLeft, v.ColdLeft = 0, 0, 0, 0
	return u == v
}

// Move is an operator's order to move a service's traffic to a version.
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

// String returns the state in words.
func (s MoveState) String() string {
	return [...]string{"unknown", "running", "completed", "rolled back"}[s]
}

// MoveStatus is what the system reported of a move.
type MoveStatus struct {
	Service string    `cbor:"1,keyasint"`
	Version string    `cbor:"2,keyasint"`
	State   MoveState `cbor:"3,keyasint"`
}

// Entry is one process of this system as it announces itself to the others.
type Entry struct {
	Name       string  `cbor:"1,keyasint"`
	DataCentre string  `cbor:"2,keyasint"`
	Callers    string  `cbor:"3,keyasint"` // address for callers
	Peer       string  `cbor:"4,keyasint"` // address for other entries
	CPUShare   float64 `cbor:"5,keyasint"` // share of a core
}

// Source names the log that an update comes from.
type Source uint8

// Sources of updates.
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

// Update is one record. Exactly one of the pointers is set, or none: Removed drops the key, and a record that can't be
// used has neither.
type Update struct {
	Key      string      `cbor:"1,keyasint"`
	Offset   int64       `cbor:"2,keyasint"`
	Removed  bool        `cbor:"3,keyasint,omitempty"`
	Config   *Config     `cbor:"4,keyasint,omitempty"`
	Up       *Upstream   `cbor:"5,keyasint,omitempty"`
	Move     *Move       `cbor:"6,keyasint,omitempty"`
	Evacuate string      `cbor:"7,keyasint,omitempty"` // data centre to be taken out
	Status   *MoveStatus `cbor:"8,keyasint,omitempty"`
	Entry    *Entry      `cbor:"9,keyasint,omitempty"`
	// Age is the time since the order of a move was first seen, so that its deadline survives a change of the leader.
	Age time.Duration `cbor:"10,keyasint,omitempty"`
}

// Batch is a run of updates of one source. A snapshot holds every key, so the keys that it lacks are gone.
type Batch struct {
	Source   Source   `cbor:"1,keyasint"`
	Snapshot bool     `cbor:"2,keyasint,omitempty"`
	End      int64    `cbor:"3,keyasint"` // offset after the last record
	Updates  []Update `cbor:"4,keyasint,omitempty"`
}

// Tombstone is an upstream whose record vanished. Until GraceEnd it may come back, because the record may have lapsed in an
// outage of the store although the upstream lives.
type Tombstone struct {
	Upstream Upstream
	GraceEnd time.Time
}

// View is the fold of all updates. It is not safe for concurrent use.
type View struct {
	Config     *Config
	Upstreams  map[string]Upstream
	Tombstones map[string]Tombstone
	Evacuated  map[string]bool
	Moves      map[string]Move
	MoveOffset map[string]int64 // offset of the order, which tells a repeated order from a new one
	MoveSeen   map[string]time.Time
	Statuses   map[string]MoveStatus
	Entries    map[string]Entry

	offsets [sourceCount]map[string]int64
	Ends    [sourceCount]int64
	Known   [sourceCount]bool // a batch of the source was applied
}

// NewView returns a View that knows nothing.
func NewView() *View {
	w := &View{
		Upstreams: map[string]Upstream{}, Tombstones: map[string]Tombstone{}, Evacuated: map[string]bool{},
		Moves: map[string]Move{}, MoveOffset: map[string]int64{},
		MoveSeen: map[string]time.Time{}, Statuses: map[string]MoveStatus{}, Entries: map[string]Entry{},
	}
	for i := range w.offsets {
		w.offsets[i] = map[string]int64{}
	}
	return w
}

// Apply folds a batch and returns the updates that changed more than a heartbeat, as a batch to pass on to other entries.
// lapseEnd is the time until which missing records may come back; see Tombstone.
func (w *View) Apply(now time.Time, b Batch, lapseEnd time.Time) Batch {
	changed := Batch{Source: b.Source, End: b.End, Snapshot: b.Snapshot}
	for _, u := range b.Updates {
		if w.applyOne(now, b.Source, u, lapseEnd) || b.Snapshot {
			changed.Updates = append(changed.Updates, u)
		}
	}
	if b.Snapshot {
		w.dropMissing(b, lapseEnd)
	}
	w.Known[b.Source] = true
	w.Ends[b.Source] = max(w.Ends[b.Source], b.End)
	return changed
}

func (w *View) applyOne(now time.Time, source Source, u Update, lapseEnd time.Time) bool {
	if last, known := w.offsets[source][u.Key]; known && u.Offset <= last {
		return false
	}
	w.offsets[source][u.Key] = u.Offset
	switch {
	case u.Removed:
		return w.remove(source, u.Key, lapseEnd)
	case u.Config != nil:
		return w.setConfig(u.Config)
	case u.Up != nil:
		return w.setUpstream(*u.Up)
	case u.Move != nil:
		w.Moves[u.Move.Service] = *u.Move
		w.MoveOffset[u.Move.Service] = u.Offset
		w.MoveSeen[u.Move.Service] = now.Add(-u.Age)
	case u.Evacuate != "":
		w.Evacuated[u.Evacuate] = true
	case u.Status != nil:
		w.Statuses[u.Status.Service] = *u.Status
	case u.Entry != nil:
		w.Entries[u.Key] = *u.Entry
	case source == Upstreams:
		// The newest record can't be read: it names no upstream to use.
		return w.remove(source, u.Key, time.Time{})
	default:
		return false
	}
	return true
}

func (w *View) setConfig(c *Config) bool {
	if w.Config != nil && c.Version <= w.Config.Version {
		return false
	}
	c.Index()
	w.Config = c
	return true
}

func (w *View) setUpstream(u Upstream) bool {
	old, known := w.Upstreams[u.ID]
	if known && outdated(u, old) {
		return false
	}
	if known && old.Draining && u.Born == old.Born {
		u.Draining = true // a process that drains ends; only a new one serves again
	}
	w.Upstreams[u.ID] = u
	delete(w.Tombstones, u.ID)
	return !known || !old.sameState(u)
}

// outdated reports whether u was written before old: by an earlier process under the same ID, or as an earlier heartbeat.
func outdated(u, old Upstream) bool {
	if u.Born != old.Born {
		return u.Born < old.Born
	}
	return u.Seq < old.Seq
}

func (w *View) remove(source Source, key string, lapseEnd time.Time) bool {
	switch source {
	case Upstreams:
		old, known := w.Upstreams[key]
		if known {
			w.Tombstones[key] = Tombstone{Upstream: old, GraceEnd: lapseEnd}
			delete(w.Upstreams, key)
		}
		return known
	case Entries:
		delete(w.Entries, key)
	case Operators:
		w.removeOrder(key)
	case Statuses:
	}
	return true
}

func (w *View) removeOrder(key string) {
	kind, name, _ := cutKey(key)
	switch kind {
	case EvacuateKey:
		delete(w.Evacuated, name)
	case MoveKey:
		delete(w.Moves, name)
	}
}

func (w *View) dropMissing(b Batch, lapseEnd time.Time) {
	present := make(map[string]bool, len(b.Updates))
	for _, u := range b.Updates {
		present[u.Key] = true
	}
	for key, offset := range maps.Clone(w.offsets[b.Source]) {
		if !present[key] && offset < b.End {
			w.remove(b.Source, key, lapseEnd)
			w.offsets[b.Source][key] = b.End - 1
		}
	}
}

// SnapshotOf returns what is known from one source as a batch, for an entry that joins.
func (w *View) SnapshotOf(now time.Time, source Source) Batch {
	b := Batch{Source: source, Snapshot: true, End: w.Ends[source]}
	switch source {
	case Operators:
		w.addOrders(now, &b)
	case Upstreams:
		for id, u := range w.Upstreams {
			b.add(w, id, Update{Up: &u})
		}
	case Statuses:
		for name, s := range w.Statuses {
			b.add(w, MoveKey+name, Update{Status: &s})
		}
	case Entries:
		for name, e := range w.Entries {
			b.add(w, name, Update{Entry: &e})
		}
	}
	return b
}

// ForgetUpstreams drops what is known of upstreams, because it may be out of date.
func (w *View) ForgetUpstreams() {
	w.Upstreams, w.Tombstones = map[string]Upstream{}, map[string]Tombstone{}
	w.offsets[Upstreams] = map[string]int64{}
}

func (w *View) addOrders(now time.Time, b *Batch) {
	if w.Config != nil {
		b.add(w, ConfigKey, Update{Config: w.Config})
	}
	for name, m := range w.Moves {
		b.add(w, MoveKey+name, Update{Move: &m, Age: now.Sub(w.MoveSeen[name])})
	}
	for name := range w.Evacuated {
		b.add(w, EvacuateKey+name, Update{Evacuate: name})
	}
}

func (b *Batch) add(w *View, key string, u Update) {
	u.Key, u.Offset = key, w.offsets[b.Source][key]
	b.Updates = append(b.Updates, u)
}
