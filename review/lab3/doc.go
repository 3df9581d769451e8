// Command lab3 runs the cases of the third independent review: it starts the entries of the deploy file as separate processes on loopback
// addresses, beside small stand-ins of the store, the upstreams and the callers, and checks one rule from what these see.
package main
