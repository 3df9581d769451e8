// Package clusterbench measures the cost and the delays of membership: nodes of internal/cluster over the in-memory
// transport, in real time and in one process. docs/measurements/membership.md holds the figures.
package clusterbench
