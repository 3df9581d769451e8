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

// carryOverMoves carries the progress of moves over to an accepted configuration. A move that keeps its name but changes its
// versions restarts at 0 %.
func (f *Fold) carryOverMoves(inv *model.Inventory) {
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
	f.stopOverdueMoves()
}

// stopOverdueMoves stops the moves that aren't finished at their deadline, measured in log time. A later deadline for a move
// of the same name doesn't restart it.
func (f *Fold) stopOverdueMoves() {
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
	f.pruneStops()
	if m, ok := f.moves[key]; ok {
		f.moves[key] = withStop(m, stop)
	}
}

func withStop(m, stop MoveState) MoveState {
	m.Stopped, m.Finished = true, false
	m.Reason, m.Evidence, m.EndedAt = stop.Reason, stop.Evidence, stop.EndedAt
	return m
}

// pruneStops removes the oldest stops of moves that aren't in the configuration, down to the limit.
func (f *Fold) pruneStops() {
	if len(f.stops) <= maxRememberedStops {
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
	for _, k := range keys[:min(len(keys), len(f.stops)-maxRememberedStops)] {
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

// liftLeaving cancels the leaving of the data centres for which an accepted configuration sets a state, or that it no
// longer has. A change without a state for a leaving data centre doesn't return it to service, since its operator may not
// have known of the leaving.
func (f *Fold) liftLeaving(before, inv *model.Inventory) {
	f.recordLifts(before, inv)
	for dc := range f.leaving {
		if namesState(inv, dc) || !hasDataCentre(inv, dc) {
			delete(f.leaving, dc)
		}
	}
}

// recordLifts stores the current version for each data centre whose leaving it cancels: those with a state in its rules and
// those that it no longer has.
func (f *Fold) recordLifts(before, inv *model.Inventory) {
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

// lifts returns the cancelled leavings sorted by data centre.
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
