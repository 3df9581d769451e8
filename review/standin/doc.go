// Command world plays the cases of the review: it starts the entries as separate processes with the command of the deploy
// file, beside stand-ins of the platform's store, of upstreams and of callers, all on loopback addresses and the real clock.
//
// It is a module of its own, so that the checks and tests of the project leave it out.
package main
