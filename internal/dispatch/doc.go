// Package dispatch makes the decisions of the entry that owns a pool: which queued call runs next, on which upstream,
// and which calls are refused.
//
// A Pool counts the slots of each upstream exactly, because its owner is the only sender. It queues calls centrally,
// by class and customer, refuses calls that cannot finish before their deadline, limits upstreams in cold start, and
// ejects upstreams that are slow or fail relative to their peers.
//
// The package is pure: time and the random source are arguments, it starts no goroutine, opens no socket and reads no
// clock. A Pool is not safe for concurrent use; the caller holds the pool's lock. Slices in Events are reused by the
// next call on the same Pool, so the caller acts on them or copies them before it releases the lock.
package dispatch
