// Package entry is the daemon that runs on each entry host, as a library.
//
// New opens the three listeners (callers, peers, operators) and Run serves them until its context ends, which starts the
// planned stop. The package holds no policy of its own: it connects the policy packages with the network, the platform
// and the proxy.
//
// State and its owners:
//
//   - configuration.go: the configuration in force, an immutable value behind an atomic pointer. The follower of the log
//     replaces it as a whole.
//   - pool.go: one ownedPool for each pool that this entry owns, or owned until a moment ago. Each has a lock of its own;
//     no lock is shared by the calls of different pools.
//   - ownership.go: which pools are owned, decided every 50 ms by one goroutine from the configuration and the view of the
//     members, and at once when a call needs a pool that isn't open yet.
//   - registrar.go: the at-most-once records of request IDs, and the questions to other entries about opaque IDs.
//   - moves.go: the policy of each version move.
//
// The adapters for the interfaces of internal/proxy are one file each: directory.go, pools.go, slots.go, retries.go,
// poison.go, registrar.go and upstreams.go.
//
// All exported methods are safe for concurrent use, but for Run, which is called once.
package entry
