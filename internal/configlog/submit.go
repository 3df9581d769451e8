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

// resolveWait is how long a change whose append answer was lost is looked for before it is sent again. Sending it again
// is safe, since a repeated change ID has no second effect.
const resolveWait = 2 * time.Second

// Submission is an operator's change.
type Submission struct {
	ChangeID  string // random; NewChangeID returns one
	Base      int64  // version that the change was made from
	Operator  string
	Inventory json.RawMessage
	// Validate checks the inventory before it is sent. Nil checks only that it can be decoded.
	Validate func(json.RawMessage) error
}

// Decision is what became of a change, as read back from the log.
type Decision struct {
	ChangeID string
	Accepted bool
	Version  int64   // offset of the change when accepted
	Winner   *Winner // the change that was accepted instead, unless there is no configuration yet
	Differs  []string
	Sent     int // number of appends
}

// ErrUndecided means that Submit ended before it could find out whether the change is in the log. Submitting it again
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
// state that Load returned; it moves on. The error is ErrNotSubmitted or ErrUndecided.
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

	sent    int
	maybe   bool  // the change may be in the log
	offset  int64 // offset that the append answered, 0 when unknown
	differs []string
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

// append sends the change until an answer says that it is in the log or may be.
func (w *submitter) append(ctx context.Context) error {
	for {
		offset, err := w.log.Append(ctx, w.data)
		w.sent++
		var limited logservice.ErrRateLimited
		delay := time.Duration(0)
		switch {
		case err == nil:
			w.maybe, w.offset = true, offset
			return nil
		case errors.Is(err, logservice.ErrUnknownOutcome):
			w.maybe = true
			return nil
		case errors.As(err, &limited):
			delay = limited.RetryAfter + w.backoff.Next()
		case errors.Is(err, logservice.ErrUnavailable):
			delay = w.backoff.Next()
		default:
			return w.failed(err)
		}
		if pause.Sleep(ctx, delay) != nil {
			return w.failed(fmt.Errorf("%w: %w", ctx.Err(), err))
		}
	}
}

func (w *submitter) failed(cause error) error {
	if w.maybe {
		return ErrUndecided{ChangeID: w.change.ChangeID, Cause: cause}
	}
	return ErrNotSubmitted{ChangeID: w.change.ChangeID, Cause: cause}
}

// readBack reads until the change is decided. It returns nil when the change isn't in the log although enough time has
// passed, so that it has to be sent again.
func (w *submitter) readBack(ctx context.Context) (*Decision, error) {
	w.backoff.Reset()
	waited := time.Duration(0)
	for {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		n, err := readOnce(ctx, w.log, w.fold, w.cursor, resolveWait/4, w.note)
		if d := w.decided(); d != nil {
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
		waited += resolveWait / 4
		if w.offset == 0 && waited >= resolveWait {
			return nil, nil //nolint:nilnil // Neither decided nor failed: the caller sends the change again.
		}
	}
}

func (w *submitter) note(_ logservice.Entry, r Result) {
	if r.ChangeID == w.change.ChangeID && r.Outcome == Refused {
		w.differs = r.Differs
	}
}

func (w *submitter) decided() *Decision {
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
