// Package gateway holds the plain types that routing and placement work on: the operators' configuration, the upstreams
// that registered themselves, orders to move a service to a version, and data centres that are taken out.
//
// View folds updates into a consistent view. Each update carries the offset of its record in the log it came from, so an
// update that arrives twice, late or by way of another entry has no effect after a newer one. The configuration never goes
// back to an older version.
//
// Values are immutable once they are part of a View; readers share them without a lock.
package gateway
