package logservice

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxRecordBytes is the largest record that Append accepts. It leaves room for the envelope of a peer message, which
// is limited to 256 KiB.
const MaxRecordBytes = 240 << 10

// Entry is one record of the log. Offsets start at 1 and rise by 1. Time is stamped by the log.
type Entry struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// Log is an append-only log with limited retention. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. It never sends a record twice. An error that matches
	// ErrUnknownOutcome means that the record may be in the log; after any other error it isn't.
	Append(ctx context.Context, data []byte) (offset int64, err error)
	// Read returns at most max entries with offsets from `from` on. When there is none it waits up to wait for one
	// and then returns an empty list. It returns ErrExpired when `from` is older than the oldest kept record.
	Read(ctx context.Context, from int64, max int, wait time.Duration) ([]Entry, error)
}

// HostState says whether a host is serving or about to go.
type HostState string

// The states of a host on the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is a host on the platform's list.
type Host struct {
	Name       string    `json:"name"`
	DataCentre string    `json:"dataCentre"`
	Address    string    `json:"address"`
	State      HostState `json:"state"`
}

// HostList lists live and leaving hosts. The list lags: it may hold hosts that are gone and lack hosts that are there.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}

var (
	// ErrUnknownOutcome means that an append may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the append is unknown")
	// ErrUnavailable means that the platform can't be reached or refuses to serve. An append had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that a record is longer than MaxRecordBytes.
	ErrTooLarge = errors.New("record too large")
)

// ErrExpired means that records before Oldest have been removed from the log.
type ErrExpired struct{ Oldest int64 }

func (e ErrExpired) Error() string {
	return fmt.Sprintf("records expired, the oldest kept offset is %d", e.Oldest)
}

// ErrRateLimited means that the log refused an append for its rate limit. The append had no effect.
type ErrRateLimited struct{ RetryAfter time.Duration }

func (e ErrRateLimited) Error() string {
	return fmt.Sprintf("append rate limit reached, retry after %s", e.RetryAfter)
}
