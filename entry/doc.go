// Package entry implements the load balancer daemon that runs on each entry host, as a library.
//
// New opens the three listeners (callers, peers, operators). Run serves them until its context ends, then performs a
// graceful shutdown, called the planned stop. The package contains no policy of its own: it connects the policy packages
// with the network, the platform and the proxy.
//
// State is kept in these files:
//
//   - configuration.go: the configuration in force, an immutable value behind an atomic pointer. The follower of the
//     configuration log replaces it as a whole.
//   - pool.go: one ownedPool for each pool that this entry owns or has just handed over. Each has its own lock; calls of
//     different pools share no lock.
//   - ownership.go: the set of owned pools. One goroutine derives it every 50 ms from the configuration and the membership
//     view. It is also updated immediately when a call needs a pool that isn't open yet.
//   - registrar.go: the at-most-once records of request IDs, and lookups of opaque IDs at other entries.
//   - moves.go: the rollout policy of each version move.
//
// Each adapter for an interface of internal/proxy has its own file: directory.go, pools.go, slots.go, retries.go,
// poison.go, registrar.go and upstreams.go.
//
// All exported methods are safe for concurrent use, except Run, which must be called only once.
package entry
