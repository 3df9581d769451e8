// Package configlog folds the platform's log into the current configuration, its leases, the steps of version moves
// and the data centres that are leaving at once.
//
// Fold is pure: it is fed with log entries in order, reads no clock and starts no goroutine. Every reader that applied
// the same entries holds the same state. Follower feeds a Fold from the log and from peers on the serving side. Submit
// writes an operator's change and reports whether it was accepted.
package configlog
