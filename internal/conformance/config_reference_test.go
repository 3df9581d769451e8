package conformance

import "maps"

// refRecord is a record of spec/config.pml. A snapshot's base is the version that it holds.
type refRecord struct {
	snapshot bool
	base     int64
	id       string
	ids      map[string]bool // of a snapshot: change IDs seen
	through  int64
}

// refLog is the log of spec/config.pml with the fold of a reader that saw every record. Offsets start at 1.
type refLog struct {
	records   []refRecord
	oldest    int64
	version   int64
	seen      map[string]bool
	versionAt []int64
}

func newRefLog() *refLog {
	return &refLog{records: make([]refRecord, 1), oldest: 1, seen: map[string]bool{}, versionAt: make([]int64, 1)}
}

func (l *refLog) next() int64 { return int64(len(l.records)) }

// accepts is the macro of that name.
func accepts(version int64, seen map[string]bool, r refRecord) bool {
	return !r.snapshot && r.base == version && !seen[r.id]
}

// append is the inline of that name.
func (l *refLog) append(r refRecord) int64 {
	offset := l.next()
	if accepts(l.version, l.seen, r) {
		l.version = offset
		l.seen[r.id] = true
	}
	l.records = append(l.records, r)
	l.versionAt = append(l.versionAt, l.version)
	return offset
}

// refReader is an entry's state of spec/config.pml. next is 0 without state.
type refReader struct {
	version int64
	seen    map[string]bool
	next    int64
}

// read is action read.
func (e *refReader) read(l *refLog) (accepted bool) {
	r := l.records[e.next]
	if accepts(e.version, e.seen, r) {
		e.version = e.next
		e.seen[r.id] = true
		accepted = true
	}
	e.next++
	return accepted
}

// start is action start. It reports whether there is a place to start from.
func (e *refReader) start(l *refLog) bool {
	if l.oldest == 1 {
		*e = refReader{seen: map[string]bool{}, next: 1}
		return true
	}
	for o := l.oldest; o < l.next(); o++ {
		r := l.records[o]
		if r.snapshot && r.through+1 >= l.oldest {
			*e = refReader{version: r.base, seen: maps.Clone(r.ids), next: r.through + 1}
			return true
		}
	}
	return false
}
