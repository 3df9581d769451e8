package idempotency

import "time"

// Record is the form in which records are handed over. KeepWindows is relative, so that no clocks are compared.
type Record struct {
	ID          string  `json:"id"`
	Outcome     string  `json:"outcome"` // done or unknown
	Reason      string  `json:"reason,omitempty"`
	Answer      *Answer `json:"answer,omitempty"`
	KeepWindows int64   `json:"keepWindows"`
}

// Freeze ends the admission of new IDs for a planned stop: they are refused as not run. Running calls go on.
func (r *Registry) Freeze() { r.frozen.Store(true) }

// Export returns all records. Call it after Freeze, when the calls have ended; one that still runs is given as unknown,
// because its outcome comes too late for the successor.
func (r *Registry) Export(now time.Time) []Record {
	window := r.current(now)
	var out []Record
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.expire(window)
		for _, rec := range s.records {
			out = append(out, export(rec, window))
		}
		s.mu.Unlock()
	}
	return out
}

func export(rec *record, window int64) Record {
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

// Import takes the records of an incarnation that stops as planned. complete says that these are all records of its own
// request IDs; only then are its IDs without a record answered as not run. Records that do not parse are skipped, and
// a record that this registry has already stays.
func (r *Registry) Import(now time.Time, from string, records []Record, complete bool) {
	window := r.current(now)
	for _, in := range records {
		if _, err := ParseID(in.ID); err != nil {
			continue
		}
		r.importOne(window, in)
	}
	if !complete {
		return
	}
	r.adoptedMu.Lock()
	defer r.adoptedMu.Unlock()
	r.adopted[from] = window + r.cfg.RetainWindows
}

func (r *Registry) importOne(window int64, in Record) {
	s := r.shardOf(in.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(window)
	if s.records[in.ID] != nil {
		return
	}
	keep := min(max(1, in.KeepWindows), r.cfg.RetainWindows+1)
	rec := &record{id: in.ID, expires: window + keep + 1, unknown: in.Outcome != "done", reason: in.Reason}
	if a := in.Answer; !rec.unknown && a != nil && a.size() <= r.cfg.MaxAnswerBytes {
		s.keep(rec, a)
	}
	s.insert(rec)
}
