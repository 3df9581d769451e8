package idempotency

import "time"

// Record is a record as handed over to another entry. KeepWindows is the number of windows left, a relative time, so that
// clocks of different hosts aren't compared.
type Record struct {
	ID          string  `json:"id"`
	Outcome     string  `json:"outcome"` // done or unknown
	Reason      string  `json:"reason,omitempty"`
	Answer      *Answer `json:"answer,omitempty"`
	KeepWindows int64   `json:"keepWindows"`
}

// Freeze ends the admission of new IDs before a planned stop: they are refused as not run. Running calls continue.
func (r *Registry) Freeze() { r.frozen.Store(true) }

// Export returns all records. Call it after Freeze, when the calls have ended. A call that still runs is exported with an
// unknown outcome, because its real outcome would reach the successor too late.
func (r *Registry) Export(now time.Time) []Record {
	window := r.current(now)
	var out []Record
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.expire(window)
		for _, rec := range s.records {
			out = append(out, exportRecord(rec, window))
		}
		s.mu.Unlock()
	}
	return out
}

func exportRecord(rec *record, window int64) Record {
	out := Record{ID: rec.id, Outcome: "unknown", KeepWindows: max(1, rec.expires-window)}
	switch v := rec.verdict(); v.Kind {
	case Wait:
		out.Reason = "the entry stopped while the call ran"
	case Replay:
		out.Outcome, out.Answer = "done", v.Answer
	case DoneWithoutAnswer:
		out.Outcome = "done"
	default:
		out.Reason = v.Reason
	}
	return out
}

// Import adds the records of the incarnation from, which is stopping as planned. complete means that these are all records
// of the request IDs that name it; only then are such IDs without a record refused as not run. Records with a malformed
// ID are skipped, and existing records are not overwritten.
func (r *Registry) Import(now time.Time, from string, records []Record, complete bool) {
	window := r.current(now)
	for _, rec := range records {
		if _, err := ParseID(rec.ID); err != nil {
			continue
		}
		r.importRecord(window, rec)
	}
	if !complete {
		return
	}
	r.importedMu.Lock()
	defer r.importedMu.Unlock()
	r.importedUntil[from] = window + r.cfg.RetainWindows
}

func (r *Registry) importRecord(window int64, imported Record) {
	s := r.shardFor(imported.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(window)
	if s.records[imported.ID] != nil {
		return
	}
	keep := min(max(1, imported.KeepWindows), r.cfg.RetainWindows+1)
	rec := &record{id: imported.ID, expires: window + keep + 1, unknown: imported.Outcome != "done", reason: imported.Reason}
	if a := imported.Answer; !rec.unknown && a != nil && a.size() <= r.cfg.MaxAnswerBytes {
		s.keep(rec, a)
	}
	s.insert(rec)
}
