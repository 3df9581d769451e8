// Package capacity measures what each role of boragehinge costs at several sizes and fits how the cost grows with the
// size. docs/CAPACITY.md holds the figures and what follows from them for the design size.
//
// Run writes a table and, if asked, JSON. The experiments on calls start processes of this same program for the entries
// and the upstreams (see RunRole), so that the CPU time of each role is read from its own process by getrusage and
// work of other programs on the machine does not count. Wall-clock figures (time added to a call) are differences
// between phases of one run; they do depend on what else the machine does.
//
// The entries of the experiments are assembled here from internal/proxy, internal/dispatch, internal/transport and
// internal/idempotency, with a fixed choice of pools. Cluster traffic, decision lines and metrics are not part of them.
package capacity
