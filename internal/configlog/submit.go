package configlog

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"boragehinge.example/boragehinge/internal/logservice"
	"boragehinge.example/boragehinge/internal/pause"
)

// resolveTimeout is how long Submit looks in the log for a change whose append response was lost before it retries. The retry
// is safe, since a repeated change ID has no effect.
const resolveTimeout = 2 * time.Second

// Submission is an operator's change.
type Submission struct {
	ChangeID  string // random; NewChangeID returns one
	Base      int64  // version that the change is based on
	Operator  string
	Inventory json.RawMessage
	// Validate checks the inventory before it is sent. Nil checks only that it can be decoded.
	Validate func(json.RawMessage) error
}

// Decision is the outcome of a change, as read back from the log.
type Decision struct {
	ChangeID string
	Accepted bool
	Version  int64   // offset of the change when accepted
	Winner   *Winner // the change that was accepted instead, unless there is no configuration yet
	Differs  []string
	Sent     int // number of appends
}

// ErrUndecided means that Submit ended before it could determine whether the change is in the log. Submitting it again
// with the same change ID is safe.
type ErrUndecided struct {
	ChangeID string
	Cause    error
}

func (e ErrUndecided) Error() string {
	return fmt.Sprintf("change %s may or may not be in the log: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUndecided) Unwrap() error { return e.Cause }

// ErrNotSubmitted means that the change isn't in the log.
type ErrNotSubmitted struct {
	ChangeID string
	Cause    error
}

func (e ErrNotSubmitted) Error() string {
	return fmt.Sprintf("change %s was not submitted: %v", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e ErrNotSubmitted) Unwrap() error { return e.Cause }

// NewChangeID returns a random change ID.
func NewChangeID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b) // Never fails, see crypto/rand.
	return hex.EncodeToString(b)
}

// Submit appends a change and reads the log back until the change is accepted or refused, or ctx ends. fold is the
// state that Load returned; Submit advances it. The error is ErrNotSubmitted or ErrUndecided.
func Submit(ctx context.Context, log logservice.Log, fold *Fold, s Submission) (Decision, error) {
	data, err := encodeSubmission(s)
	if err != nil {
		return Decision{}, ErrNotSubmitted{ChangeID: s.ChangeID, Cause: err}
	}
	w := &submitter{log: log, fold: fold, cursor: &cursor{}, change: s, data: data}
	return w.run(ctx)
}

func encodeSubmission(s Submission) ([]byte, error) {
	if s.Validate != nil {
		if err := s.Validate(s.Inventory); err != nil {
			return nil, err
		}
	}
	return Encode(Record{Kind: KindChange, Change: &Change{
		ID: s.ChangeID, Base: s.Base, Operator: s.Operator, Inventory: s.Inventory,
	}})
}

type submitter struct {
	log     logservice.Log
	fold    *Fold
	cursor  *cursor
	change  Submission
	data    []byte
	backoff logservice.Backoff

	sent          int
	possiblyInLog bool  // the change may be in the log
	offset        int64 // offset that the append returned; 0 if unknown
	differs       []string
}

func (w *submitter) run(ctx context.Context) (Decision, error) {
	for {
		if err := w.append(ctx); err != nil {
			return Decision{}, err
		}
		d, err := w.readBack(ctx)
		if err != nil {
			return Decision{}, ErrUndecided{ChangeID: w.change.ChangeID, Cause: err}
		}
		if d != nil {
			return *d, nil
		}
	}
}

// append retries until the change is in the log, or may be because the response was lost.
func (w *submitter) append(ctx context.Context) error {
	for {
		offset, err := w.log.Append(ctx, w.data)
		w.sent++
		var limited logservice.ErrRateLimited
		delay := time.Duration(0)
		switch {
		case err == nil:
			w.possiblyInLog, w.offset = true, offset
			return nil
		case errors.Is(err, logservice.ErrUnknownOutcome):
			w.possiblyInLog = true
			return nil
		case errors.As(err, &limited):
			delay = limited.RetryAfter + w.backoff.Next()
		case errors.Is(err, logservice.ErrUnavailable):
			delay = w.backoff.Next()
		default:
			return w.submitError(err)
		}
		if pause.Sleep(ctx, delay) != nil {
			return w.submitError(fmt.Errorf("%w: %w", ctx.Err(), err))
		}
	}
}

func (w *submitter) submitError(cause error) error {
	if w.possiblyInLog {
		return ErrUndecided{ChangeID: w.change.ChangeID, Cause: cause}
	}
	return ErrNotSubmitted{ChangeID: w.change.ChangeID, Cause: cause}
}

// readBack reads the log until the change is accepted or refused. It returns nil if the change isn't found within the
// timeout, so that it has to be sent again.
func (w *submitter) readBack(ctx context.Context) (*Decision, error) {
	w.backoff.Reset()
	waited := time.Duration(0)
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		n, err := readOnce(ctx, w.log, w.fold, w.cursor, resolveTimeout/4, w.recordResult)
		if d := w.decision(); d != nil {
			return d, nil
		}
		if err != nil {
			if pause.Sleep(ctx, w.backoff.Next()) != nil {
				return nil, fmt.Errorf("%w: %w", ctx.Err(), err)
			}
			continue
		}
		w.backoff.Reset()
		if n > 0 {
			continue
		}
		if missing := w.cursor.missing(w.fold.Next()); missing != "" {
			return nil, errors.New(missing)
		}
		waited += resolveTimeout / 4
		if w.offset == 0 && waited >= resolveTimeout {
			return nil, nil //nolint:nilnil // Neither decided nor failed: the caller sends the change again.
		}
	}
}

func (w *submitter) recordResult(_ logservice.Entry, r Result) {
	if r.ChangeID == w.change.ChangeID && r.Outcome == Refused {
		w.differs = r.Differs
	}
}

func (w *submitter) decision() *Decision {
	c, ok := w.fold.change(w.change.ChangeID)
	if !ok {
		return nil
	}
	d := &Decision{ChangeID: c.ID, Accepted: !c.Refused, Sent: w.sent}
	if d.Accepted {
		d.Version = c.Offset
		return d
	}
	if c.Winner > 0 {
		d.Winner = &Winner{Offset: c.Winner, ChangeID: c.WinnerID, Operator: c.WinnerOperator}
	}
	d.Differs = w.differs
	if d.Differs == nil {
		d.Differs = Differences(w.fold.Current().Raw, w.change.Inventory)
	}
	return d
}
