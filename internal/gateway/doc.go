// Package gateway holds the data types that routing and placement share: the operators' configuration, registered upstreams,
// orders to move a service to a new version, and evacuated data centres.
//
// View applies updates into a consistent state. Each update carries the offset of its record in the source log, so an update
// that is duplicated, delayed or relayed by another entry has no effect after a newer one. The version of the configuration
// never decreases.
//
// Values are immutable once they are part of a View, so readers share them without locking.
package gateway
