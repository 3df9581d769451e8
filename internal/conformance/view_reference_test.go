package conformance

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"boragehinge.example/boragehinge/internal/membership"
)

// Constants of spec/view.pml and spec/roster.pml in time: OWN_FRESH, TRANSITION and the time of ROSTER_HOLD.
const (
	refOwnFresh   = time.Second
	refTransition = 1500 * time.Millisecond
	refRosterHold = 30 * time.Second
)

// refEntry is the state of one entry in spec/view.pml, with rosters as in spec/roster.pml. Its rules are written from
// the models, without the code of internal/membership.
type refEntry struct {
	host            string
	view            string // members of the view, sorted
	transitionUntil time.Time
	reports         map[string]refReport // by incarnation of the reporting entry
	rosters         []refRoster
}

// refReport is the newest report of one incarnation: when it was made, and whether it supported the view of the
// receiver at that time. Reports of two incarnations of a host are kept apart, since the receiver may hear the new one
// later; the host still has one vote.
type refReport struct {
	host     string
	at       time.Time
	supports bool
}

type refRoster struct {
	hosts       []string
	replacedAt  time.Time
	strictUntil time.Time
}

// restart is action restart: no reports, and in transition.
func restart(host, view string, now time.Time) *refEntry {
	e := &refEntry{host: host}
	e.changeView(view, now)
	return e
}

// changeView is action changeView: the failure detector is arbitrary, and reports are forgotten.
func (e *refEntry) changeView(view string, now time.Time) {
	if e.view == view {
		return
	}
	e.view = view
	e.transitionUntil = now.Add(refTransition)
	e.reports = map[string]refReport{}
}

func (e *refEntry) settled(now time.Time) bool { return !now.Before(e.transitionUntil) }

// refMessage is what one entry reports to another at the moment of sending.
type refMessage struct {
	incarnation string
	host        string
	settled     bool
	view        string
	at          time.Time
}

// exchange is action exchange. The model exchanges without delay, so it takes place at the time of sending, and a
// report that was sent before the receiver's view changed is forgotten.
func (e *refEntry) exchange(m refMessage) {
	if m.host == e.host || e.reports[m.incarnation].at.After(m.at) {
		return
	}
	changedAt := e.transitionUntil.Add(-refTransition)
	supports := m.settled && m.view == e.view && !m.at.Before(changedAt)
	e.reports[m.incarnation] = refReport{m.host, m.at, supports}
}

// readList is the reading of the platform's list in spec/roster.pml.
func (e *refEntry) readList(now time.Time, hosts []string) {
	if !slices.Contains(hosts, e.host) {
		hosts = append(slices.Clone(hosts), e.host)
	}
	hosts = slices.Sorted(slices.Values(hosts))
	n := len(e.rosters)
	if n > 0 && slices.Equal(e.rosters[n-1].hosts, hosts) {
		return
	}
	next := refRoster{hosts: hosts}
	if n == 0 {
		next.strictUntil = now.Add(refRosterHold)
	} else {
		e.rosters[n-1].replacedAt = now
	}
	e.rosters = append(e.rosters, next)
}

func (r refRoster) need(now time.Time) int {
	n := len(r.hosts)
	if n > 1 && n%2 == 1 && now.Before(r.strictUntil) {
		return n/2 + 2
	}
	return n/2 + 1
}

// confirmedUntil is `confirmed` of the models as a time; zero when the view isn't confirmed.
func (e *refEntry) confirmedUntil(now time.Time) time.Time {
	if !e.settled(now) || len(e.rosters) == 0 {
		return time.Time{}
	}
	until := now.Add(refOwnFresh)
	for _, r := range e.rosters {
		if !r.replacedAt.IsZero() && now.Sub(r.replacedAt) >= refRosterHold {
			continue
		}
		end := e.supportedUntil(now, r)
		if end.Before(until) {
			until = end
		}
	}
	return until
}

func (e *refEntry) supportedUntil(now time.Time, r refRoster) time.Time {
	byHost := map[string]time.Time{}
	for _, rep := range e.reports {
		end := rep.at.Add(refOwnFresh)
		if rep.supports && slices.Contains(r.hosts, rep.host) && !end.Before(now) && end.After(byHost[rep.host]) {
			byHost[rep.host] = end
		}
	}
	byHost[e.host] = now.Add(refOwnFresh)
	if len(byHost) < r.need(now) {
		return time.Time{}
	}
	var ends []time.Time
	for _, end := range byHost {
		ends = append(ends, end)
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].After(ends[j]) })
	return ends[r.need(now)-1]
}

// viewOf returns the view of a table: its live members and which of them leave.
func viewOf(t *membership.Table) string {
	var keys []string
	for _, m := range t.Members() {
		keys = append(keys, fmt.Sprintf("%s/%t", m.Incarnation, m.Leaving))
	}
	sort.Strings(keys)
	return strings.Join(keys, " ")
}
