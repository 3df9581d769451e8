// Package simulate compares ways to spread calls over upstreams with few slots, in a discrete-event experiment with
// virtual time and fixed seeds.
//
// Every policy sees the same arrivals, service times and faults in the same run: round robin, least outstanding and
// power of two choices per entry, the owner of a pool (internal/dispatch) with its forward delay, the same with three
// data centres, and an ideal central queue that knows the true state of every upstream and sees no delay.
package simulate
