package configlog

import (
	"slices"
	"strings"
	"sync"
)

// LeavingFacts is the set of data centres that must leave service immediately, as announced to this entry by its
// operators and peers. It bridges the time until the log has the matching records. A fact can only remove capacity.
// LeavingFacts is safe for concurrent use; its zero value is empty.
type LeavingFacts struct {
	mu     sync.RWMutex
	facts  map[string]LeavingState
	lifted map[string]int64 // version that last cancelled the leaving of each data centre
}

// Add adds a fact and reports whether it is new and should be forwarded to peers. A fact that a later configuration
// cancelled is not added again.
func (l *LeavingFacts) Add(f LeavingState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.facts[f.DataCentre]
	if f.DataCentre == "" || f.Base < l.lifted[f.DataCentre] || ok && known.Base >= f.Base {
		return false
	}
	if l.facts == nil {
		l.facts = map[string]LeavingState{}
	}
	l.facts[f.DataCentre] = f
	return true
}

// Observe removes the facts that the configuration of v cancels: those with an older base whose data centre has an
// explicit state in the rules or is no longer in the inventory.
func (l *LeavingFacts) Observe(v View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	inv := v.Version.Inventory
	if inv == nil {
		return
	}
	if l.lifted == nil {
		l.lifted = map[string]int64{}
	}
	if inv.Rules != nil {
		for _, r := range inv.Rules.DataCentres {
			l.lifted[r.DataCentre] = v.Version.Offset
		}
	}
	for dc, version := range v.Lifted {
		l.lifted[dc] = max(l.lifted[dc], version)
	}
	for dc, f := range l.facts {
		if !hasDataCentre(inv, dc) {
			l.lifted[dc] = v.Version.Offset
		}
		if f.Base < l.lifted[dc] {
			delete(l.facts, dc)
		}
	}
}

// All returns the facts in force, both from the log and from peers, sorted by data centre.
func (l *LeavingFacts) All(v View) []LeavingState {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []LeavingState
	for _, f := range v.Leaving {
		list = append(list, f)
	}
	for dc, f := range l.facts {
		if _, inLog := v.Leaving[dc]; !inLog {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b LeavingState) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return list
}
