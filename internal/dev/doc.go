// Package dev runs a whole installation in one process on loopback addresses: the platform stand-in, an emulated
// upstream for each upstream of the inventory, and several entries.
//
// It is made for development, tests and demonstrations. Links between entries run without TLS, and everything is in
// memory. Upstreams that a later configuration adds are started as well; those that it removes keep running, with their
// records of executions.
package dev
