// Package load sends calls at a rate that doesn't depend on the answers (an open loop), and reports how they ended.
//
// Arrivals, kinds, customers and the order of calls follow from the seed. A latency counts from the time at which the
// call was due, so a stall of the system shows in all calls that were due during it. Each call has a path of its own, and
// the response is compared with it. Request IDs are looked up in the execution records of the upstreams, when these are
// emulators, to find lost and doubled calls.
package load
