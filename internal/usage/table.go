package usage

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Count is what an entry has counted for an account in a window. Both numbers only grow.
type Count struct {
	Account string `cbor:"1,keyasint"`
	Sent    uint64 `cbor:"2,keyasint"`           // attempts that were sent to an upstream
	NotRun  uint64 `cbor:"3,keyasint,omitempty"` // those of them that were proved not to have run
}

// Batch holds counts of an entry in a window. It is idempotent: Merge keeps the larger numbers.
type Batch struct {
	Source string  `cbor:"1,keyasint"` // process of the entry
	Window int64   `cbor:"2,keyasint"`
	Counts []Count `cbor:"3,keyasint"`
}

// groupKey identifies the counts of a process in a window.
type groupKey struct {
	window int64
	source string
}

// cell is the count of an account in a group. version is that of the table at its last change.
type cell struct {
	group   groupKey
	count   Count
	version uint64
}

// change refers to a cell as of a version. It is out of date if the cell has changed since.
type change struct {
	cell    *cell
	version uint64
}

// Table holds the counts of all entries as far as this one knows them.
type Table struct {
	self    string
	groups  map[groupKey]map[string]*cell // by account
	cells   int
	version uint64
	changes []change             // ordered by version
	heard   map[string]time.Time // by source: true time up to which its counts have arrived
}

// NewTable returns the table of a process with the name self, which no other process has.
func NewTable(self string) *Table {
	return &Table{self: self, groups: map[groupKey]map[string]*cell{}, heard: map[string]time.Time{}}
}

func (t *Table) cell(group groupKey, account string) *cell {
	accounts := t.groups[group]
	if accounts == nil {
		accounts = map[string]*cell{}
		t.groups[group] = accounts
	}
	c := accounts[account]
	if c == nil {
		c = &cell{group: group, count: Count{Account: account}}
		accounts[account] = c
		t.cells++
	}
	return c
}

func (t *Table) changed(c *cell) {
	t.version++
	c.version = t.version
	t.changes = append(t.changes, change{c, t.version})
	if len(t.changes) > 2*t.cells+64 { // at least half of them are out of date; 64 spares small tables frequent passes
		t.changes = slices.DeleteFunc(t.changes, func(ch change) bool { return ch.version != ch.cell.version })
	}
}

// Sent counts an attempt of this process.
func (t *Table) Sent(window int64, account string) {
	c := t.cell(groupKey{window, t.self}, account)
	c.count.Sent++
	t.changed(c)
}

// NotRun takes off an attempt of this process that was counted by Sent and did not run.
func (t *Table) NotRun(window int64, account string) {
	group := groupKey{window, t.self}
	c := t.groups[group][account]
	if c == nil { // forgotten, because the window is over
		return
	}
	c.count.NotRun++
	t.changed(c)
}

// Merge adds counts that another entry has sent. Windows before oldest are ignored.
func (t *Table) Merge(batches []Batch, oldest int64) {
	for _, b := range batches {
		if b.Window < oldest {
			continue
		}
		for _, n := range b.Counts {
			c := t.cell(groupKey{b.Window, b.Source}, n.Account)
			if n.Sent > c.count.Sent || n.NotRun > c.count.NotRun {
				c.count.Sent, c.count.NotRun = max(c.count.Sent, n.Sent), max(c.count.NotRun, n.NotRun)
				t.changed(c)
			}
		}
	}
}

// Heard records that all that a process counted before the true time at has arrived.
func (t *Table) Heard(source string, at time.Time) {
	if at.After(t.heard[source]) {
		t.heard[source] = at
	}
}

// maxCounts limits the counts that Since returns, so that a message stays far below the largest frame of a link.
const maxCounts = 20_000

// Version rises with each change of the table.
func (t *Table) Version() uint64 { return t.version }

// Since returns counts that have changed after a version of the table, and the version up to which it returns them: the present one,
// unless there are too many. If source isn't empty, it returns only that process's.
func (t *Table) Since(version uint64, source string) ([]Batch, uint64) {
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].version > version })
	byGroup := map[groupKey]int{}
	var out []Batch
	left, upTo := maxCounts, version
	for _, ch := range t.changes[first:] {
		c := ch.cell
		if ch.version != c.version || source != "" && c.group.source != source {
			continue
		}
		if left == 0 {
			break
		}
		left, upTo = left-1, ch.version
		i, ok := byGroup[c.group]
		if !ok {
			i = len(out)
			byGroup[c.group] = i
			out = append(out, Batch{Source: c.group.source, Window: c.group.window})
		}
		out[i].Counts = append(out[i].Counts, c.count)
	}
	slices.SortFunc(out, func(a, b Batch) int {
		if a.Window != b.Window {
			return int(a.Window - b.Window)
		}
		return strings.Compare(a.Source, b.Source)
	})
	if left > 0 {
		upTo = t.version
	}
	return out, upTo
}

// Totals returns the attempts of all entries in a window that ran or may have run, by account.
func (t *Table) Totals(window int64) map[string]uint64 {
	sent, notRun := map[string]uint64{}, map[string]uint64{}
	for group, accounts := range t.groups {
		if group.window != window {
			continue
		}
		for account, c := range accounts {
			sent[account] += c.count.Sent
			notRun[account] += c.count.NotRun
		}
	}
	for account, n := range notRun {
		if n >= sent[account] {
			delete(sent, account)
			continue
		}
		sent[account] -= n
	}
	return sent
}

// Known reports whether anything was counted in a window.
func (t *Table) Known(window int64) bool {
	for group := range t.groups {
		if group.window == window {
			return true
		}
	}
	return false
}

// Complete reports whether the counts of a window that ended at end have arrived from all processes that counted something in it or
// in the one before.
func (t *Table) Complete(window int64, end time.Time) bool {
	for group := range t.groups {
		if group.source != t.self && (group.window == window || group.window == window-1) && t.heard[group.source].Before(end) {
			return false
		}
	}
	return true
}

// Forget drops the windows before oldest.
func (t *Table) Forget(oldest int64) {
	dropped := false
	for group, accounts := range t.groups {
		if group.window < oldest {
			t.cells -= len(accounts)
			delete(t.groups, group)
			dropped = true
		}
	}
	if !dropped {
		return
	}
	t.changes = slices.DeleteFunc(t.changes, func(ch change) bool {
		return ch.version != ch.cell.version || ch.cell.group.window < oldest
	})
	live := map[string]bool{}
	for group := range t.groups {
		live[group.source] = true
	}
	for source := range t.heard {
		if !live[source] {
			delete(t.heard, source)
		}
	}
}
