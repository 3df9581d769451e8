// Package rollout decides on version moves: which share of a service's traffic its new version gets, when the next step
// is safe, and when the move is taken back. It is pure policy: time and statistics are arguments.
//
// Every entry runs one Mover per move with the merged statistics of all entries. The holder of the lease LeaseName
// writes the steps that the Mover decides on to the log, where the fold of package configlog checks them. Any entry may
// raise a stop, which Stops collects and entries pass to each other. Choose gives the version of one request.
//
// The comparison of the versions uses confidence bounds from the Chernoff inequality with the Kullback-Leibler
// divergence. They hold for every number of calls, including a handful at 1 %, and need no approximation by a normal
// distribution. The error probability of a move is divided evenly over all comparisons of an hour, so repeated looks
// at the same calls don't add up to more than Config.FalseStopsPerHour.
package rollout
