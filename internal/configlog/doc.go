// Package configlog replays the platform's log to compute the current configuration, its leases, the progress of version
// moves and the data centres that are taken out of service immediately.
//
// Fold is a deterministic state machine: it applies log entries in order, reads no clock and starts no goroutine. All
// readers that applied the same entries have the same state. On the serving side, Follower applies entries from the log
// and from peers to a Fold. Submit writes an operator's change and reports whether it was accepted.
package configlog
