// Package dispatch schedules the calls of one pool at the entry that owns it: it decides which queued call runs next,
// on which upstream, and which calls are refused.
//
// A Pool tracks the occupied slots of each upstream exactly, because its owner is the only sender. It queues calls
// centrally, by class and customer, sheds calls that cannot finish before their deadline, limits the concurrency of
// upstreams in cold start, and ejects upstreams that are slower or fail more often than their peers.
//
// The package is deterministic and does no I/O: time and the random source are arguments, and it starts no goroutine,
// opens no socket and reads no clock. A Pool is not safe for concurrent use; the caller holds the pool's lock. The
// slices in Events are reused by the next call on the same Pool, so the caller processes or copies them before it
// releases the lock.
package dispatch
