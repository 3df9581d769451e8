package gateway

import "errors"

// Errors of the store that the system keeps its lasting state in, by what the caller may do next.
var (
	// ErrNotExecuted means that the store did nothing: try again later.
	ErrNotExecuted = errors.New("the store did not carry out the call")
	// ErrOutcomeUnknown means that a write may have been carried out, or may be carried out later.
	ErrOutcomeUnknown = errors.New("no response from the store")
	// ErrConflict means that the condition of a write doesn't hold: read again and decide anew.
	ErrConflict = errors.New("the log has moved on")
	// ErrExpired means that the records asked for are no longer in the log: read the newest record of each key.
	ErrExpired = errors.New("the records are no longer in the log")
)
