package configlog

import (
	"slices"
	"strings"
	"sync"
)

// LeavingFacts is the set of urgent leavings that an entry knows from its operators and its peers, for the time until
// the log holds them. It only takes capacity away. It is safe for concurrent use; its zero value is empty.
type LeavingFacts struct {
	mu     sync.RWMutex
	facts  map[string]LeavingState
	lifted map[string]int64 // version that lifted the leaving of a data centre
}

// Add adds a fact and reports whether it is new and should be passed on. A fact that a later configuration has lifted
// is not added again.
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

// Observe takes a new view. A configuration later than a fact's base lifts the fact when it names the state of the data
// centre or no longer has it.
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

// All returns the facts in force, of the log and of peers, sorted by data centre.
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
