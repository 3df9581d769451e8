// Package coordinator places requests on upstreams consistently across all entries.
//
// One entry is the leader. It follows the platform's store, probes the upstreams, holds the placement pools and decides on
// moves to new versions. The other entries are followers. Each keeps a link to the leader, asks it for an upstream for every
// request, sends the request itself and reports the result. When the leader is lost, the followers elect another one within
// a few hundred milliseconds. In the meantime each of them places requests without coordination (standalone), with at most
// one request at a time per upstream.
//
// If Options.Delegation is set, followers probe the upstreams in their data centres on behalf of the leader.
//
// The election is best effort and not a consensus protocol: during a partition two entries may lead for a short time. Limits
// that hold across all entries (requests to cold upstreams, retries, requests to a version on trial) are therefore split
// into shares that two leaders together don't exceed. See docs/platform.md.
package coordinator
