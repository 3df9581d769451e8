// Package rollout controls version moves. A move is the gradual rollout of a new version of a service: its share of the
// traffic grows in steps, and the move is rolled back when the new version performs worse than the old one. The package
// decides on the share, on the time of the next step and on the rollback. It does no I/O and reads no clock: time and
// statistics are arguments.
//
// Every entry runs one Mover per move with the merged statistics of all entries. The holder of the lease LeaseName
// appends the steps that its Mover decides on to the configuration log, where configlog.Fold validates them. Any entry
// may issue a Stop, which rolls the move back; entries send their stops to each other and keep them in Stops. Choose
// selects the version that serves a request.
//
// The versions are compared by confidence bounds from the Chernoff inequality with the Kullback-Leibler divergence. The
// bounds hold for any number of calls, including a handful at 1 %, and need no approximation by a normal distribution.
// The error probability is divided evenly over all comparisons of an hour, so that repeated comparisons of the same calls
// don't cause more false stops than Config.FalseStopsPerHour.
package rollout
