// Package membudget accounts for the memory that connections and requests of callers hold, and decides which of them lose it when the
// limit is reached.
//
// What has been without progress for the longest time goes first: incomplete requests, connections without a first request, and responses
// that their callers have not read for a while. A complete request is never evicted. The package does no I/O and reads no
// clock: a Budget returns the victims, and its user ends them. Their bytes stay counted until they are closed.
package membudget
