package configlog

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
)

// Outcome is the effect of a record.
type Outcome int

// The outcomes of Apply.
const (
	// Accepted means that the record took effect.
	Accepted Outcome = iota + 1
	// Refused means that the record is valid but was rejected: see Result.Winner for a change, Result.Reason otherwise.
	Refused
	// Repeated means that a change with this ID is already in the log. Result has the outcome of the first one.
	Repeated
	// Unknown means that the record has a schema version or kind of another build. It has no effect.
	Unknown
	// Malformed means that the record can't be decoded. It has no effect and is counted.
	Malformed
	// Stale means that this offset was applied before.
	Stale
	// Gap means that records before this one are missing. Nothing was applied; apply the records from Next on.
	Gap
	// Restored means that a snapshot replaced the state. Apply the records from Next on.
	Restored
	// Corrupt means that a snapshot's length, checksum or content is wrong. It has no effect and is counted.
	Corrupt
	// Noted means that the record is a valid snapshot that isn't needed. The state is unchanged.
	Noted
)

var outcomeNames = [...]string{
	"", "accepted", "refused", "repeated", "unknown", "malformed", "stale", "gap", "restored", "corrupt", "noted",
}

func (o Outcome) String() string {
	if o <= 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("Outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// Winner identifies the change that was accepted instead of a refused one.
type Winner struct {
	Offset   int64
	ChangeID string
	Operator string
}

// Result is what Apply did with one entry.
type Result struct {
	Offset   int64
	Outcome  Outcome
	Kind     Kind   // empty for Unknown, Malformed, Stale and Gap
	ChangeID string // for changes
	// First is the outcome of the first record with a repeated change ID: Accepted or Refused.
	First Outcome
	// FirstOffset is the offset of that record.
	FirstOffset int64
	Winner      *Winner
	// Differs lists the fields in which a refused change differs from the current configuration.
	Differs []string
	Reason  string
}

// Counters counts the records that had no effect.
type Counters struct {
	Malformed, Unknown, Corrupt, Refused int64
}

// Fold is the state that results from replaying the log up to an offset. It isn't safe for concurrent use. The offset and
// the version never decrease, whatever entries are applied.
type Fold struct {
	next    int64
	logTime time.Time
	version Version
	changes []change
	leases  map[string]LeaseState
	moves   map[Move]MoveState
	stops   map[Move]MoveState
	leaving map[string]LeavingState
	lifted  map[string]int64 // version that last cancelled the leaving of each data centre

	oldestNeeded time.Time // log time of the oldest record that a new reader of the log needs

	counters Counters
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	f := &Fold{}
	f.importState(state{}, nil)
	return f
}

// Next returns the offset of the record that Apply needs next.
func (f *Fold) Next() int64 { return f.next }

// Current returns the current configuration.
func (f *Fold) Current() Version { return f.version }

// Counters returns how many records had no effect.
func (f *Fold) Counters() Counters { return f.counters }

// Apply applies one entry. Entries may come in any order and more than once; only the one at Next, or a newer
// snapshot, changes the state.
func (f *Fold) Apply(e logservice.Entry) Result {
	if e.Offset < f.next {
		return Result{Offset: e.Offset, Outcome: Stale}
	}
	r, err := Decode(e.Data)
	if err == nil && r.Kind == KindSnapshot {
		return f.applySnapshot(e, r.Snapshot)
	}
	if e.Offset > f.next {
		return Result{Offset: e.Offset, Outcome: Gap, Reason: fmt.Sprintf("records from %d on are missing", f.next)}
	}
	f.advance(e)
	res := Result{Offset: e.Offset, Kind: r.Kind}
	switch {
	case errors.Is(err, ErrUnknownRecord):
		f.counters.Unknown++
		res.Outcome, res.Reason = Unknown, err.Error()
		return res
	case err != nil:
		f.counters.Malformed++
		res.Outcome, res.Reason = Malformed, err.Error()
		return res
	}
	reason := ""
	switch r.Kind {
	case KindChange:
		return f.applyChange(e, r.Change)
	case KindLease:
		reason = f.applyLease(e, r.Lease)
	case KindStep:
		reason = f.applyStep(r.Step)
	case KindFinished:
		reason = f.applyFinished(r.Finished)
	case KindStop:
		reason = f.applyStop(r.Stop)
	case KindLeaving:
		reason = f.applyLeaving(e, r.Leaving)
	}
	res.Outcome = Accepted
	if reason != "" {
		f.counters.Refused++
		res.Outcome, res.Reason = Refused, reason
	}
	return res
}

// advance moves past an entry. Log time never decreases, even if the log's clock is set back.
func (f *Fold) advance(e logservice.Entry) {
	f.next = e.Offset + 1
	if e.Time.After(f.logTime) {
		f.logTime = e.Time
	}
	if f.oldestNeeded.IsZero() {
		f.oldestNeeded = e.Time
	}
	f.stopOverdueMoves()
}

func (f *Fold) applyChange(e logservice.Entry, c *Change) Result {
	res := Result{Offset: e.Offset, Kind: KindChange, ChangeID: c.ID}
	if first, ok := f.change(c.ID); ok {
		res.Outcome, res.First, res.FirstOffset = Repeated, Accepted, first.Offset
		if first.Refused {
			res.First = Refused
			res.Winner = &Winner{Offset: first.Winner, ChangeID: first.WinnerID, Operator: first.WinnerOperator}
		}
		return res
	}
	inv, err := decodeInventory(c.Inventory)
	if err != nil { // Decode has checked it already.
		f.counters.Malformed++
		res.Outcome, res.Reason = Malformed, err.Error()
		return res
	}
	if c.Base != f.version.Offset {
		return f.refuseChange(res, c)
	}
	before := f.version.Inventory
	f.version = Version{
		Offset: e.Offset, ChangeID: c.ID, Operator: c.Operator, Time: e.Time, Inventory: inv, Raw: c.Inventory,
	}
	f.recordChange(change{ID: c.ID, Offset: e.Offset})
	f.carryOverMoves(inv)
	f.liftLeaving(before, inv)
	res.Outcome = Accepted
	return res
}

func (f *Fold) refuseChange(res Result, c *Change) Result {
	f.counters.Refused++
	res.Outcome = Refused
	if f.version.Offset == 0 {
		res.Reason = fmt.Sprintf("base %d, but there is no configuration yet", c.Base)
	} else {
		res.Reason = fmt.Sprintf("base %d, but the current version is %d", c.Base, f.version.Offset)
	}
	res.Winner = &Winner{Offset: f.version.Offset, ChangeID: f.version.ChangeID, Operator: f.version.Operator}
	res.Differs = Differences(f.version.Raw, c.Inventory)
	f.recordChange(change{
		ID: c.ID, Offset: res.Offset, Refused: true,
		Winner: f.version.Offset, WinnerID: f.version.ChangeID, WinnerOperator: f.version.Operator,
	})
	return res
}

// change returns the outcome of the first record with a change ID, if it is still stored.
func (f *Fold) change(id string) (change, bool) {
	i := slices.IndexFunc(f.changes, func(c change) bool { return c.ID == id })
	if i < 0 {
		return change{}, false
	}
	return f.changes[i], true
}

func (f *Fold) recordChange(c change) {
	f.changes = append(f.changes, c)
	if len(f.changes) > maxRememberedChanges {
		f.changes = slices.Clone(f.changes[len(f.changes)-maxRememberedChanges:])
	}
}

func (f *Fold) applyLease(e logservice.Entry, l *Lease) string {
	held, ok := f.leases[l.Name]
	if ok && held.Holder != l.Holder && f.logTime.Before(held.Until) {
		return fmt.Sprintf("held by %s until %s", held.Holder, held.Until.Format(time.RFC3339))
	}
	if !ok && !f.makeRoomForLease() {
		return fmt.Sprintf("%d leases are running already", maxLeases)
	}
	f.leases[l.Name] = LeaseState{
		Name: l.Name, Holder: l.Holder, Token: e.Offset,
		From: f.logTime, Until: f.logTime.Add(time.Duration(l.DurationMs) * time.Millisecond),
	}
	return ""
}

// makeRoomForLease removes expired leases at the limit and reports whether another one fits. Removal is safe, since the
// token of an expired lease is no longer valid.
func (f *Fold) makeRoomForLease() bool {
	if len(f.leases) < maxLeases {
		return true
	}
	maps.DeleteFunc(f.leases, func(_ string, l LeaseState) bool { return !f.logTime.Before(l.Until) })
	return len(f.leases) < maxLeases
}

// checkFencingToken returns why a record written under a lease has no effect, or "" if the token is that of the newest
// lease and the lease hasn't expired.
func (f *Fold) checkFencingToken(name string, token int64) string {
	held, ok := f.leases[name]
	switch {
	case !ok:
		return "no lease " + name
	case held.Token != token:
		return fmt.Sprintf("written under lease token %d, but the newest is %d", token, held.Token)
	case !f.logTime.Before(held.Until):
		return "lease expired at " + held.Until.Format(time.RFC3339)
	}
	return ""
}

// activeMove returns the state of a move, and the reason if the move can't be changed any more.
func (f *Fold) activeMove(service, name string) (MoveState, string) {
	m, ok := f.moves[Move{service, name}]
	switch {
	case !ok:
		return m, fmt.Sprintf("the configuration has no move %s of service %s", name, service)
	case m.Stopped:
		return m, "the move is stopped: " + m.Reason
	case m.Finished:
		return m, "the move is finished"
	}
	return m, ""
}

func (f *Fold) applyStep(s *Step) string {
	if reason := f.checkFencingToken(s.Lease, s.Token); reason != "" {
		return reason
	}
	m, reason := f.activeMove(s.Service, s.Move)
	if reason != "" {
		return reason
	}
	if s.Percent <= m.Percent {
		return fmt.Sprintf("step to %v %%, but the move is at %v %%", s.Percent, m.Percent)
	}
	m.Percent, m.StepAt = s.Percent, f.logTime
	f.moves[Move{s.Service, s.Move}] = m
	return ""
}

func (f *Fold) applyFinished(r *Finished) string {
	if reason := f.checkFencingToken(r.Lease, r.Token); reason != "" {
		return reason
	}
	m, reason := f.activeMove(r.Service, r.Move)
	if reason != "" {
		return reason
	}
	if m.Percent < 100 {
		return fmt.Sprintf("finished at %v %%", m.Percent)
	}
	m.Finished, m.EndedAt = true, f.logTime
	f.moves[Move{r.Service, r.Move}] = m
	return ""
}

// stopAfterFinishWindow is how long after the finished record a stop still takes effect. Both may be in flight at the
// same time, and the stop is the safer one.
const stopAfterFinishWindow = time.Minute

// applyStop records a stop even if the configuration doesn't have the move yet, or no longer has it. A stop is permanent:
// only a move with a new name can start again.
func (f *Fold) applyStop(s *Stop) string {
	key := Move{s.Service, s.Move}
	if _, ok := f.stops[key]; ok {
		return "the move is stopped already"
	}
	if m := f.moves[key]; m.Finished && f.logTime.Sub(m.EndedAt) > stopAfterFinishWindow {
		return "the move is finished"
	}
	f.stop(MoveState{
		Service: s.Service, Move: s.Move, To: s.Version,
		Stopped: true, Reason: s.Reason, Evidence: s.Evidence, EndedAt: f.logTime,
	})
	return ""
}

func versionRules(inv *model.Inventory) []model.VersionRule {
	if inv == nil || inv.Rules == nil {
		return nil
	}
	return inv.Rules.Versions
}

// MoveName returns the name of a version rule's move.
func MoveName(v model.VersionRule) string {
	if v.Move != nil && *v.Move != "" {
		return *v.Move
	}
	return v.From + "->" + v.To
}
