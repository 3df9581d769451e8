// Package coordinator lets many entries place requests as if one process saw them all.
//
// One entry leads. It follows the platform's store, probes the upstreams, holds the placement pools, and decides on moves to
// new versions. The others follow it over links: they ask it for an upstream for each request, send the request themselves
// and report its end. When the leader is lost, the followers find another one within some hundred milliseconds and meanwhile
// place by themselves, with one request at a time for each upstream.
//
// Leadership is a preference and not a lock: two entries may lead for a moment while they don't see each other. The bounds
// that hold over all entries (cold upstreams, new attempts, versions on trial) are therefore kept with shares that two
// leaders together don't exceed. See docs/platform.md.
package coordinator
