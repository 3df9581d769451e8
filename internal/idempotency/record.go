package idempotency

import (
	"container/list"
	"net/http"
	"sync"
)

// VerdictKind is the kind of a Verdict: how to handle a call.
type VerdictKind int

// The verdicts of Begin.
const (
	Run               VerdictKind = iota // run the call, then call Finish
	Wait                                 // another attempt is running: wait for it until the deadline of this one
	Replay                               // return the stored answer
	DoneWithoutAnswer                    // the call ran and its answer is no longer stored: status 409
	Unknown                              // the call may have run: status 409
	Refuse                               // the call has not run: status 503
	Elsewhere                            // forward the call to its registrar, Verdict.Incarnation
	Invalid                              // the ID is malformed and the call has not run: status 400
)

// String returns the name of the verdict kind as used in logs.
func (k VerdictKind) String() string {
	return [...]string{"run", "wait", "replay", "done", "unknown", "not-run", "elsewhere", "invalid"}[k]
}

// Verdict is the result of Begin.
type Verdict struct {
	Kind        VerdictKind
	Answer      *Answer  // set for Replay; shared, must not be modified
	Incarnation string   // set for Elsewhere
	Reason      string   // may be set for Unknown, Refuse and Invalid
	Waiting     *Waiting // set for Wait
}

// Waiting lets a resend wait for the running attempt.
type Waiting struct{ attempt *attempt }

// Done returns a channel that is closed when the attempt has ended.
func (w *Waiting) Done() <-chan struct{} { return w.attempt.done }

// Result returns the verdict for the resend: Replay, DoneWithoutAnswer, Unknown or Refuse. Call it after Done is closed.
func (w *Waiting) Result() Verdict { return w.attempt.result }

// OutcomeKind is how an attempt ended.
type OutcomeKind int

// The outcomes of an attempt.
const (
	Done   OutcomeKind = iota // an upstream ran the call and sent a complete response
	NotRun                    // the call has certainly not run; the ID may run again
	Lost                      // the request was sent, at least in part, and no complete response was received
)

// Outcome is the result of an attempt.
type Outcome struct {
	Kind   OutcomeKind
	Answer *Answer // set for Done, or nil if the response was not kept
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

// attempt is a running call. result is set before done is closed and not modified afterwards.
type attempt struct {
	done   chan struct{}
	result Verdict
}

// record is the record of an ID. It is kept small, because an entry stores the records of 10 minutes.
type record struct {
	id            string
	expires       int64         // first window in which the record may be dropped
	running       *attempt      // nil when the attempt has ended
	answerElement *list.Element // element of shard.answers, nil if no answer is stored
	reason        string        // reason of an unknown outcome
	unknown       bool
	opaque        bool
}

func (rec *record) verdict() Verdict {
	switch {
	case rec.running != nil:
		return Verdict{Kind: Wait, Waiting: &Waiting{rec.running}}
	case rec.answerElement != nil:
		return Verdict{Kind: Replay, Answer: rec.answerElement.Value.(*storedAnswer).answer}
	case rec.unknown:
		return Verdict{Kind: Unknown, Reason: rec.reason}
	default:
		return Verdict{Kind: DoneWithoutAnswer}
	}
}

type storedAnswer struct {
	rec    *record
	answer *Answer
}

// shard is a part of the records, with a lock of its own.
type shard struct {
	mu             sync.Mutex
	records        map[string]*record
	byWindow       map[int64][]*record // records to check for expiry when the window begins
	expiredThrough int64               // last window that expire has processed
	answers        *list.List          // *storedAnswer values, the oldest first
	bytes          int
	maxRecords     int
	maxBytes       int
}

func newShard(maxRecords, maxBytes int) shard {
	return shard{records: map[string]*record{}, byWindow: map[int64][]*record{}, answers: list.New(), maxRecords: maxRecords, maxBytes: maxBytes}
}

func (s *shard) insert(rec *record) {
	s.records[rec.id] = rec
	s.byWindow[rec.expires] = append(s.byWindow[rec.expires], rec)
}

// keep stores an answer and evicts the oldest ones while the byte budget is exceeded. An answer above the whole budget is
// not stored.
func (s *shard) keep(rec *record, a *Answer) {
	if a.size() > s.maxBytes {
		return
	}
	rec.answerElement = s.answers.PushBack(&storedAnswer{rec, a})
	s.bytes += a.size()
	for s.bytes > s.maxBytes {
		s.evictAnswer(s.answers.Front().Value.(*storedAnswer).rec)
	}
}

func (s *shard) evictAnswer(rec *record) {
	if rec.answerElement == nil {
		return
	}
	s.bytes -= rec.answerElement.Value.(*storedAnswer).answer.size()
	s.answers.Remove(rec.answerElement)
	rec.answerElement = nil
}

// expire drops the records whose retention time has ended. The record of a running call is checked again in the next
// window.
func (s *shard) expire(window int64) {
	for ; s.expiredThrough < window; s.expiredThrough++ {
		if window-s.expiredThrough > 1 && len(s.byWindow) == 0 {
			s.expiredThrough = window - 1
		}
		due := s.byWindow[s.expiredThrough+1]
		delete(s.byWindow, s.expiredThrough+1)
		for _, rec := range due {
			s.dropIfExpired(rec, window)
		}
	}
}

func (s *shard) dropIfExpired(rec *record, window int64) {
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
	s.evictAnswer(rec)
	delete(s.records, rec.id)
}
