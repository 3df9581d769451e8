package configlog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/model"
)

// keepMoves carries the progress of moves over to an accepted configuration. A move whose versions changed under the
// same name starts again at 0 %.
func (f *Fold) keepMoves(inv *model.Inventory) {
	moves := map[Move]MoveState{}
	for _, v := range versionRules(inv) {
		key := Move{v.Service, MoveName(v)}
		m, ok := f.moves[key]
		if !ok || m.From != v.From || m.To != v.To {
			m = MoveState{Service: v.Service, Move: key.Name, From: v.From, To: v.To}
		}
		m.By = v.By
		if stop, ok := f.stops[key]; ok {
			m = withStop(m, stop)
		}
		moves[key] = m
	}
	f.moves = moves
	f.stopLateMoves()
}

// stopLateMoves stops the moves that aren't finished at their deadline, by the log's time. A later deadline under the
// same name doesn't revive them.
func (f *Fold) stopLateMoves() {
	for key, m := range f.moves {
		if m.Finished || m.Stopped || f.logTime.Before(m.By) {
			continue
		}
		f.stop(MoveState{
			Service: key.Service, Move: key.Name, To: m.To, Stopped: true, EndedAt: f.logTime,
			Reason: ReasonDeadline, Evidence: fmt.Sprintf("at %v %% at the deadline", m.Percent),
		})
	}
}

// ReasonDeadline is the reason of a move that wasn't finished in time.
const ReasonDeadline = "not finished by its deadline"

func (f *Fold) stop(stop MoveState) {
	key := Move{stop.Service, stop.Move}
	f.stops[key] = stop
	f.dropOldStops()
	if m, ok := f.moves[key]; ok {
		f.moves[key] = withStop(m, stop)
	}
}

func withStop(m, stop MoveState) MoveState {
	m.Stopped, m.Finished = true, false
	m.Reason, m.Evidence, m.EndedAt = stop.Reason, stop.Evidence, stop.EndedAt
	return m
}

// dropOldStops forgets the oldest stops of moves that the configuration doesn't name.
func (f *Fold) dropOldStops() {
	if len(f.stops) <= rememberedStops {
		return
	}
	keys := make([]Move, 0, len(f.stops))
	for k := range f.stops {
		if _, named := f.moves[k]; !named {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Move) int {
		if c := f.stops[a].EndedAt.Compare(f.stops[b].EndedAt); c != 0 {
			return c
		}
		return compareMoves(a, b)
	})
	for _, k := range keys[:min(len(keys), len(f.stops)-rememberedStops)] {
		delete(f.stops, k)
	}
}

func (f *Fold) applyLeaving(e logservice.Entry, l *Leaving) string {
	if l.Base > f.version.Offset {
		return fmt.Sprintf("base %d is ahead of version %d", l.Base, f.version.Offset)
	}
	if !hasDataCentre(f.version.Inventory, l.DataCentre) {
		return "the configuration has no data centre " + l.DataCentre
	}
	if _, ok := f.leaving[l.DataCentre]; ok {
		return "the data centre is leaving already"
	}
	f.leaving[l.DataCentre] = LeavingState{
		DataCentre: l.DataCentre, Offset: e.Offset, Base: l.Base, At: f.logTime, Operator: l.Operator, Reason: l.Reason,
	}
	return ""
}

// liftLeaving ends the urgent leaving of the data centres whose state an accepted configuration names, or that it no
// longer has. A change that says nothing about a leaving data centre doesn't bring it back, since its operator may not
// have known of the leaving.
func (f *Fold) liftLeaving(before, inv *model.Inventory) {
	f.noteLifts(before, inv)
	for dc := range f.leaving {
		if namesState(inv, dc) || !hasDataCentre(inv, dc) {
			delete(f.leaving, dc)
		}
	}
}

// noteLifts keeps the version as the one that lifts the leavings of the data centres that it names, or no longer has.
func (f *Fold) noteLifts(before, inv *model.Inventory) {
	if inv != nil && inv.Rules != nil {
		for _, r := range inv.Rules.DataCentres {
			f.lifted[r.DataCentre] = f.version.Offset
		}
	}
	if before != nil {
		for _, s := range before.Sites {
			for _, dc := range s.DataCentres {
				if !hasDataCentre(inv, dc.Name) {
					f.lifted[dc.Name] = f.version.Offset
				}
			}
		}
	}
	for len(f.lifted) > maxLifted {
		list := f.lifts()
		oldest := slices.MinFunc(list, func(a, b lift) int {
			return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.DataCentre, b.DataCentre))
		})
		delete(f.lifted, oldest.DataCentre)
	}
}

// lifts returns the lifted leavings sorted by data centre.
func (f *Fold) lifts() []lift {
	var list []lift
	for _, dc := range slices.Sorted(maps.Keys(f.lifted)) {
		list = append(list, lift{dc, f.lifted[dc]})
	}
	return list
}

func namesState(inv *model.Inventory, dc string) bool {
	if inv == nil || inv.Rules == nil {
		return false
	}
	return slices.ContainsFunc(inv.Rules.DataCentres, func(r model.DataCentreRule) bool { return r.DataCentre == dc })
}

func hasDataCentre(inv *model.Inventory, dc string) bool {
	if inv == nil {
		return false
	}
	for _, s := range inv.Sites {
		if slices.ContainsFunc(s.DataCentres, func(d model.DataCentre) bool { return d.Name == dc }) {
			return true
		}
	}
	return false
}
