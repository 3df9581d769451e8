// Package probeplan decides which entry probes each upstream: the leader, or a follower in the upstream's data centre on its behalf.
//
// It does no I/O and has no clock. The leader passes in followers, upstreams, results and times, and carries out the orders that the
// plan returns. See docs/design/delegated-probes.md.
package probeplan
