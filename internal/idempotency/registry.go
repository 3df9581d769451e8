package idempotency

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Default values of Config.
const (
	DefaultWindow         = time.Minute
	DefaultRetainWindows  = 10
	DefaultMaxRecords     = 1 << 20
	DefaultAnswerBytes    = 64 << 20
	DefaultMaxAnswerBytes = 64 << 10
)

// shardCount is the number of shards. Each has its own lock, so that calls with different IDs rarely contend.
const shardCount = 32

// Config configures a Registry. Zero fields take their defaults.
type Config struct {
	Incarnation    string        // incarnation of this entry
	Window         time.Duration // length of a window
	RetainWindows  int64         // retention time of a record, in windows
	MaxRecords     int           // maximum number of records
	AnswerBytes    int           // maximum total size of the stored answers
	MaxAnswerBytes int           // maximum size of a stored answer
}

func orDefault[T int | int64 | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// Registry holds the at-most-once records of an entry.
type Registry struct {
	cfg    Config
	start  time.Time
	window atomic.Int64 // highest window seen, so that a clock step backwards does not reopen a window
	frozen atomic.Bool
	shards [shardCount]shard

	importedMu    sync.RWMutex
	importedUntil map[string]int64 // by incarnation whose complete records were imported: the window in which they expire
}

// NewRegistry returns an empty registry whose window 0 starts at the time start.
func NewRegistry(cfg Config, start time.Time) *Registry {
	cfg.Window = orDefault(cfg.Window, DefaultWindow)
	cfg.RetainWindows = orDefault(cfg.RetainWindows, DefaultRetainWindows)
	cfg.MaxRecords = orDefault(cfg.MaxRecords, DefaultMaxRecords)
	cfg.AnswerBytes = orDefault(cfg.AnswerBytes, DefaultAnswerBytes)
	cfg.MaxAnswerBytes = orDefault(cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	r := &Registry{cfg: cfg, start: start, importedUntil: map[string]int64{}}
	for i := range r.shards {
		r.shards[i] = newShard(max(1, cfg.MaxRecords/shardCount), cfg.AnswerBytes/shardCount)
	}
	return r
}

// Prefix returns the request-ID prefix for callers at the time now.
func (r *Registry) Prefix(now time.Time) string { return Prefix(r.cfg.Incarnation, r.current(now)) }

// current returns the window at the time now. It never decreases.
func (r *Registry) current(now time.Time) int64 {
	w := max(0, int64(now.Sub(r.start)/r.cfg.Window))
	for {
		seen := r.window.Load()
		if w <= seen {
			return seen
		}
		if r.window.CompareAndSwap(seen, w) {
			return w
		}
	}
}

func (r *Registry) shardFor(text string) *shard {
	return &r.shards[xxhash.Sum64String(text)%shardCount]
}

// Begin returns the verdict on a call with the ID text. After the verdict Run the caller must call Finish exactly once.
// Begin assumes that this entry is the registrar of an opaque ID; Homes must have chosen it before.
func (r *Registry) Begin(now time.Time, text string) Verdict {
	id, err := ParseID(text)
	if err != nil {
		return Verdict{Kind: Invalid, Reason: err.Error()}
	}
	window := r.current(now)
	s := r.shardFor(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(window)
	if rec := s.records[text]; rec != nil {
		return rec.verdict()
	}
	if v, ok := r.admission(id, window); !ok {
		return v
	}
	if len(s.records) >= s.maxRecords {
		return Verdict{Kind: Refuse, Reason: "the at-most-once records of this entry are full"}
	}
	expires := window + r.cfg.RetainWindows // for an opaque ID, Finish replaces it
	if !id.Opaque() {
		expires = id.Window + r.cfg.RetainWindows
	}
	s.insert(&record{id: text, opaque: id.Opaque(), expires: expires, running: &attempt{done: make(chan struct{})}})
	return Verdict{Kind: Run}
}

// admission reports whether an ID without a record may run here. If not, it returns the verdict.
func (r *Registry) admission(id ID, window int64) (Verdict, bool) {
	if !id.Opaque() && id.Incarnation != r.cfg.Incarnation {
		return r.foreignVerdict(id, window), false
	}
	if !id.Opaque() && id.Window > window {
		return Verdict{Kind: Unknown, Reason: "the window of the request ID is in the future"}, false
	}
	if !id.Opaque() && window-id.Window >= r.cfg.RetainWindows {
		return Verdict{Kind: Unknown, Reason: "the window of the request ID has expired"}, false
	}
	if r.frozen.Load() {
		return Verdict{Kind: Refuse, Reason: "this entry is stopping"}, false
	}
	return Verdict{}, true
}

// foreignVerdict returns the verdict for an ID of another incarnation without a record here. If that incarnation has
// stopped as planned and handed over all of its records, the missing record proves that the call did not run and never
// will.
func (r *Registry) foreignVerdict(id ID, window int64) Verdict {
	r.importedMu.RLock()
	expires, ok := r.importedUntil[id.Incarnation]
	r.importedMu.RUnlock()
	if ok && window < expires {
		return Verdict{Kind: Refuse, Reason: "the registrar has stopped without running the call"}
	}
	return Verdict{Kind: Elsewhere, Incarnation: id.Incarnation}
}

// Finish stores the outcome of a call after the verdict Run. It has no effect on an ID that is not running.
func (r *Registry) Finish(now time.Time, text string, o Outcome) {
	window := r.current(now)
	s := r.shardFor(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec := s.records[text]
	if rec == nil || rec.running == nil {
		return
	}
	ended := rec.running
	rec.running = nil
	if o.Kind == NotRun {
		ended.result = Verdict{Kind: Refuse, Reason: o.Reason}
		delete(s.records, text)
		close(ended.done)
		return
	}
	if rec.opaque {
		rec.expires = window + r.cfg.RetainWindows + 1 // the current window has partly passed
	}
	rec.unknown, rec.reason = o.Kind != Done, o.Reason
	if a := o.Answer; o.Kind == Done && a != nil && a.size() <= r.cfg.MaxAnswerBytes {
		s.keep(rec, a)
	}
	ended.result = rec.verdict()
	close(ended.done)
}

// Lookup returns the verdict for an ID without recording it. known is false when this registry has no record of it.
func (r *Registry) Lookup(now time.Time, text string) (v Verdict, known bool) {
	window := r.current(now)
	s := r.shardFor(text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(window)
	rec := s.records[text]
	if rec == nil {
		return Verdict{}, false
	}
	return rec.verdict(), true
}

// Sizes returns the number of records and the total size of the stored answers in bytes.
func (r *Registry) Sizes() (records, answerBytes int) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		records += len(s.records)
		answerBytes += s.bytes
		s.mu.Unlock()
	}
	return records, answerBytes
}

// Expire drops the records whose retention time has ended. Other methods do so only in the shards that they access.
func (r *Registry) Expire(now time.Time) {
	window := r.current(now)
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		s.expire(window)
		s.mu.Unlock()
	}
	r.importedMu.Lock()
	defer r.importedMu.Unlock()
	for incarnation, expires := range r.importedUntil {
		if expires <= window {
			delete(r.importedUntil, incarnation)
		}
	}
}
