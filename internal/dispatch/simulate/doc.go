// Package simulate compares load-balancing policies for upstreams with few slots, in a discrete-event simulation with
// virtual time and fixed seeds.
//
// In a given case, every policy gets the same arrivals, service times and faults. The policies are round robin, least
// outstanding and power of two choices, each applied by every entry separately; the owner of a pool
// (internal/dispatch), including the delay of forwarding, with one and with three data centres; and an ideal central
// queue that knows the true state of every upstream without delay.
package simulate
