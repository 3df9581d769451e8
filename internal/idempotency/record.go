package idempotency

import (
	"container/list"
	"net/http"
	"sync"
)

// VerdictKind says what to do with a call.
type VerdictKind int

// The verdicts of Begin.
const (
	Run               VerdictKind = iota // run it, then call Finish
	Wait                                 // another attempt runs: wait for it until the own deadline
	Replay                               // answer with the stored answer
	DoneWithoutAnswer                    // it ran, and the answer is no longer kept: 409
	Unknown                              // outcome unknown: 409
	Refuse                               // not run: 503
	Elsewhere                            // pass it to the incarnation
	Invalid                              // the ID is malformed: 400, not run
)

// String returns the name of the verdict for log lines.
func (k VerdictKind) String() string {
	return [...]string{"run", "wait", "replay", "done", "unknown", "not-run", "elsewhere", "invalid"}[k]
}

// Verdict is the answer of Begin. The other fields are set as Kind needs them.
type Verdict struct {
	Kind        VerdictKind
	Answer      *Answer // shared, must not be changed
	Incarnation string
	Reason      string
	Waiting     *Waiting
}

// Waiting is a resend that waits for the running attempt.
type Waiting struct{ attempt *attempt }

// Done is closed when the attempt has ended.
func (w *Waiting) Done() <-chan struct{} { return w.attempt.done }

// Result returns the verdict for the resend after Done is closed: Replay, DoneWithoutAnswer, Unknown or Refuse.
func (w *Waiting) Result() Verdict { return w.attempt.result }

// OutcomeKind is how an attempt ended.
type OutcomeKind int

// The outcomes of an attempt.
const (
	Done   OutcomeKind = iota // an upstream ran the call and responded in full
	NotRun                    // proved not run; the ID may run again
	Lost                      // bytes were sent and no full response came
)

// Outcome is the result of an attempt.
type Outcome struct {
	Kind   OutcomeKind
	Answer *Answer // of Done, nil when it was not kept
	Reason string
}

// Answer is a stored response.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

func (a *Answer) size() int {
	n := 64 + len(a.Body)
	for k, values := range a.Header {
		n += len(k)
		for _, v := range values {
			n += len(v) + 16
		}
	}
	return n
}

// attempt is a running call. result is written before done is closed and not changed after.
type attempt struct {
	done   chan struct{}
	result Verdict
}

// record is one ID. It is small, because an entry keeps the records of 10 minutes.
type record struct {
	id      string
	expires int64         // first window in which the record is dropped
	running *attempt      // nil when the attempt has ended
	kept    *list.Element // in the list of stored answers, nil without one
	reason  string        // of an unknown outcome
	unknown bool
	opaque  bool
}

func (rec *record) verdict() Verdict {
	switch {
	case rec.running != nil:
		return Verdict{Kind: Wait, Waiting: &Waiting{rec.running}}
	case rec.kept != nil:
		return Verdict{Kind: Replay, Answer: rec.kept.Value.(*stored).answer}
	case rec.unknown:
		return Verdict{Kind: Unknown, Reason: rec.reason}
	default:
		return Verdict{Kind: DoneWithoutAnswer}
	}
}

type stored struct {
	rec    *record
	answer *Answer
}

// shard is a part of the records with its own lock.
type shard struct {
	mu         sync.Mutex
	records    map[string]*record
	byWindow   map[int64][]*record // records to look at when the window begins
	checked    int64               // last window that expire handled
	answers    *list.List          // stored answers, the oldest first
	bytes      int
	maxRecords int
	maxBytes   int
}

func newShard(maxRecords, maxBytes int) shard {
	return shard{records: map[string]*record{}, byWindow: map[int64][]*record{}, answers: list.New(), maxRecords: maxRecords, maxBytes: maxBytes}
}

func (s *shard) insert(rec *record) {
	s.records[rec.id] = rec
	s.byWindow[rec.expires] = append(s.byWindow[rec.expires], rec)
}

// keep stores the answer and drops the oldest ones beyond the byte budget.
func (s *shard) keep(rec *record, a *Answer) {
	if a.size() > s.maxBytes {
		return
	}
	rec.kept = s.answers.PushBack(&stored{rec, a})
	s.bytes += a.size()
	for s.bytes > s.maxBytes {
		s.forget(s.answers.Front().Value.(*stored).rec)
	}
}

func (s *shard) forget(rec *record) {
	if rec.kept == nil {
		return
	}
	s.bytes -= rec.kept.Value.(*stored).answer.size()
	s.answers.Remove(rec.kept)
	rec.kept = nil
}

// expire drops the records whose retention ended. A running one is looked at again in the next window.
func (s *shard) expire(window int64) {
	for ; s.checked < window; s.checked++ {
		if window-s.checked > 1 && len(s.byWindow) == 0 {
			s.checked = window - 1
		}
		due := s.byWindow[s.checked+1]
		delete(s.byWindow, s.checked+1)
		for _, rec := range due {
			s.drop(rec, window)
		}
	}
}

func (s *shard) drop(rec *record, window int64) {
	if s.records[rec.id] != rec {
		return
	}
	if rec.running != nil {
		rec.expires = max(rec.expires, window+1)
	}
	if rec.expires > window {
		s.byWindow[rec.expires] = append(s.byWindow[rec.expires], rec)
		return
	}
	s.forget(rec)
	delete(s.records, rec.id)
}
