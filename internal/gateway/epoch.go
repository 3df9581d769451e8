package gateway

import (
	"maps"
	"slices"
	"time"
)

// GracePeriod is how long after an outage or a restore of the store missing records may come back. Live upstreams register again within
// about 2 s; the others count as gone after that.
const GracePeriod = 2200 * time.Millisecond

// departureRetention is how long a removed upstream is remembered. A backup is some seconds old, so it holds no older records.
const departureRetention = time.Minute

// Position is a place in a log of the store. An offset means the same record only within one epoch of the store, because offsets are
// used again after the store was restored from a backup. An epoch of 0 is unknown.
type Position struct {
	Epoch  uint64 `cbor:"1,keyasint,omitempty"`
	Offset int64  `cbor:"2,keyasint"`
}

// epochState is what a View knows from earlier epochs of the store and has not found in the present one yet.
type epochState struct {
	// carried are the keys whose values are known from an earlier epoch only. They expire at graceEnd, apart from the statuses of moves.
	carried [sourceCount]map[string]struct{}
	// held are records of a restored log that are older than the values in force. They take effect at graceEnd, if their writers have
	// not written again by then.
	held     [sourceCount]map[string]Update
	graceEnd [sourceCount]time.Time
	// highest is the highest offset of a key in earlier epochs. A record of a restored log at a lower offset may be an older one.
	highest [sourceCount]map[string]int64
	// firstEnd is the end of the log in the first snapshot of the epoch. Later records were written in the epoch.
	firstEnd [sourceCount]int64
	departed map[string]departure // removed upstreams
}

// departure is the removal of an upstream.
type departure struct {
	last  Upstream
	epoch uint64
	at    time.Time
}

func newEpochState() epochState {
	s := epochState{departed: map[string]departure{}}
	for source := range sourceCount {
		s.forget(source)
		s.highest[source] = map[string]int64{}
	}
	return s
}

// forget discards the values of a source that are known from earlier epochs only.
func (s *epochState) forget(source Source) {
	s.carried[source], s.held[source] = map[string]struct{}{}, map[string]Update{}
}

// enterEpoch begins a new epoch of a source. What is known stays in force, but no offset is valid any more.
func (v *View) enterEpoch(now time.Time, b Batch, graceEnd time.Time) {
	source := b.Source
	v.Epochs[source] = b.Epoch
	e := &v.epochs
	e.firstEnd[source] = b.End
	for key, offset := range v.offsets[source] {
		e.carried[source][key] = struct{}{}
		if source != Upstreams { // their records have sequence numbers
			e.highest[source][key] = max(offset, e.highest[source][key])
		}
	}
	e.held[source] = map[string]Update{}
	e.graceEnd[source] = graceEnd
	if earliest := now.Add(GracePeriod); graceEnd.Before(earliest) {
		e.graceEnd[source] = earliest
	}
	v.offsets[source] = map[string]int64{}
	v.LogEnds[source] = 0
}

// applyRecord applies one update of a batch, and reports whether other entries need it.
func (v *View) applyRecord(now time.Time, b Batch, u Update, graceEnd time.Time) bool {
	source := b.Source
	if u.Config != nil {
		return v.applyConfig(u)
	}
	if u.Offset < 0 && u.Status != nil && !b.Snapshot {
		return v.adoptResult(u)
	}
	if u.Offset < 0 && u.IsOrder() && !b.Snapshot {
		return v.adoptOrder(now, u)
	}
	if last, known := v.offsets[source][u.Key]; known && u.Offset <= last {
		return false
	}
	if u.Offset < 0 {
		return v.applyCarried(now, source, u)
	}
	e := &v.epochs
	if h, held := e.held[source][u.Key]; held && u.Offset < h.Offset {
		return false
	}
	_, carried := e.carried[source][u.Key]
	switch {
	case u.Status != nil && v.keepsStatus(u, b.Snapshot, carried):
		e.carried[source][u.Key] = struct{}{}
		return carried
	case b.Snapshot && carried && now.Before(e.graceEnd[source]) && v.isSuperseded(source, u):
		e.held[source][u.Key] = u
		return false
	}
	v.offsets[source][u.Key] = u.Offset
	changed := v.setRecord(now, source, u, graceEnd)
	delete(e.carried[source], u.Key)
	delete(e.held[source], u.Key)
	return changed || carried
}

// applyConfig applies a configuration. Versions order configurations; offsets don't, because they go back when the store is restored.
func (v *View) applyConfig(u Update) bool {
	_, carried := v.epochs.carried[Operators][u.Key]
	if u.Offset >= 0 {
		v.offsets[Operators][u.Key] = max(v.offsets[Operators][u.Key], u.Offset)
		delete(v.epochs.carried[Operators], u.Key)
	}
	return v.setConfig(u.Config) || carried
}

// applyCarried applies a record that another entry knows from an earlier epoch only.
func (v *View) applyCarried(now time.Time, source Source, u Update) bool {
	e := &v.epochs
	e.carried[source][u.Key] = struct{}{}
	if u.Highest > 0 {
		e.highest[source][u.Key] = max(u.Highest, e.highest[source][u.Key])
	}
	if !now.Before(e.graceEnd[source]) {
		e.graceEnd[source] = now.Add(GracePeriod)
	}
	if u.Status != nil && v.Statuses[u.Status.Service].ended() && !u.Status.ended() {
		return false
	}
	return v.setRecord(now, source, u, time.Time{})
}

// adoptResult takes over the result of a move that another entry knows and the log, once it is read, lacks. It is then lost in the store.
func (v *View) adoptResult(u Update) bool {
	known, ok := v.Statuses[u.Status.Service]
	if !v.Synced[Statuses] || !u.Status.ended() || ok && (known.ended() || known.Version != u.Status.Version) {
		return false
	}
	v.Statuses[u.Status.Service] = *u.Status
	delete(v.offsets[Statuses], u.Key)
	v.epochs.carried[Statuses][u.Key] = struct{}{}
	return true
}

// ResultsMissingIn returns the results of moves that a snapshot of another entry lacks.
func (v *View) ResultsMissingIn(snapshot Batch) (missing Batch, found bool) {
	missing.Source = Statuses
	for service, known := range v.Statuses {
		present := func(u Update) bool {
			return u.Status != nil && u.Status.Service == service && (u.Status.Version != known.Version || u.Status.ended())
		}
		if known.ended() && !slices.ContainsFunc(snapshot.Updates, present) {
			missing.Updates = append(missing.Updates, Update{Key: MoveKey + service, Offset: -1, Status: &known})
		}
	}
	return missing, len(missing.Updates) > 0
}

// isSuperseded reports whether a record of a restored log may be older than the value in force.
func (v *View) isSuperseded(source Source, u Update) bool {
	highest, known := v.epochs.highest[source][u.Key]
	if !known || u.Offset >= highest {
		return false
	}
	switch {
	case u.Move != nil:
		return v.Moves[u.Move.Service] != *u.Move
	case u.Evacuate != "":
		return !v.Evacuated[u.Evacuate]
	case u.Entry != nil:
		return v.Entries[u.Key] != *u.Entry
	}
	return false // configurations and upstreams have versions
}

// keepsStatus reports whether the known status of a move stays in force although the store has another one. The result of a move is
// final. A status that a restored log lacks is the newer one.
func (v *View) keepsStatus(u Update, snapshot, carried bool) bool {
	known, ok := v.Statuses[u.Status.Service]
	switch {
	case !ok || known == *u.Status:
		return false
	case known.Version == u.Status.Version:
		return known.ended() && (carried || !u.Status.ended())
	case !carried || !snapshot || v.Moves[u.Status.Service].Version == u.Status.Version:
		return false
	}
	highest, seen := v.epochs.highest[Statuses][u.Key]
	return !seen || u.Offset < highest
}

func (s MoveStatus) ended() bool { return s.State == MoveCompleted || s.State == MoveRolledBack }

// setMove sets the order of a move. An order that its operator has written again in a new epoch is the same order, and keeps its
// deadline.
func (v *View) setMove(now time.Time, u Update) {
	service := u.Move.Service
	if _, carried := v.epochs.carried[Operators][u.Key]; carried && v.Moves[service] == *u.Move {
		return
	}
	offset := u.Offset
	if offset < 0 {
		offset -= u.Highest // so that two lost orders are told apart
	}
	v.Moves[service] = *u.Move
	v.MoveOffset[service] = Position{Epoch: v.Epochs[Operators], Offset: offset}
	v.MoveSeen[service] = now.Add(-u.Age)
}

// recordDeparture remembers a removed upstream.
func (v *View) recordDeparture(now time.Time, last Upstream) {
	departed := v.epochs.departed
	maps.DeleteFunc(departed, func(_ string, d departure) bool { return now.Sub(d.at) > departureRetention })
	departed[last.ID] = departure{last: last, epoch: v.Epochs[Upstreams], at: now}
}

// hasDeparted reports whether u is a restored record of an upstream that was removed in an earlier epoch.
func (v *View) hasDeparted(u Upstream) bool {
	d, known := v.epochs.departed[u.ID]
	return known && d.epoch < v.Epochs[Upstreams] && (isOlder(u, d.last) || u.Born == d.last.Born && u.Seq == d.last.Seq)
}

// Expire removes the values that were not found in the present epoch within the grace period, and returns the sources that changed. A
// configuration is never removed, and the statuses of moves are written again.
func (v *View) Expire(now time.Time) []Source {
	var changed []Source
	e := &v.epochs
	for _, source := range []Source{Operators, Upstreams, Entries} {
		if len(e.carried[source]) == 0 || now.Before(e.graceEnd[source]) {
			continue
		}
		carried, held := e.carried[source], e.held[source]
		e.forget(source)
		for key := range carried {
			if u, ok := held[key]; ok {
				v.offsets[source][key] = u.Offset
				v.setRecord(now, source, u, time.Time{})
				continue
			}
			v.remove(now, source, key, time.Time{})
		}
		changed = append(changed, source)
	}
	return changed
}

// Stored reports whether the store holds a record of the key in the present epoch, as far as known.
func (v *View) Stored(source Source, key string) bool {
	_, known := v.offsets[source][key]
	return known
}

// LostStatuses returns the statuses of moves that the store has lost in a restore, by service.
func (v *View) LostStatuses() map[string]MoveStatus {
	lost := map[string]MoveStatus{}
	for service, status := range v.Statuses {
		if _, carried := v.epochs.carried[Statuses][MoveKey+service]; carried {
			lost[service] = status
		}
	}
	return lost
}
