package gateway

import "errors"

// Errors of the platform's store, which holds the persistent state. They differ in what the caller may do next.
var (
	// ErrNotExecuted means that the store did not execute the call. It is safe to retry.
	ErrNotExecuted = errors.New("the store did not carry out the call")
	// ErrOutcomeUnknown means that the store did not answer. A write may have been executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("no response from the store")
	// ErrConflict means that the condition of a write failed. Read the newest records before another write.
	ErrConflict = errors.New("the log has newer records")
	// ErrExpired means that the requested records were dropped from the log. Read the newest record of each key instead.
	ErrExpired = errors.New("the records are no longer in the log")
)
