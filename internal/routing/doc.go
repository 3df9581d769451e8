// Package routing holds the ingress's choice of version and of pool.
//
// Version: a hash of the request ID and the move's name is compared with the share, so the sum over all entries is
// exact, a resend meets the same version, and a rising share moves no call back.
//
// Pool: the cost of a pool is its expected wait plus the network delay there and back. All entries see nearly the same
// waits, all of them late; if each sent its calls to the cheapest pool, all would leave a pool at the same moment and
// return at the same moment. Chooser therefore keeps a weight for each pool and moves a small part of it per tick from
// dearer to cheaper pools, none while the costs are close. Calls are spread by these weights. A pool that refused gets no
// calls for its Retry-After.
//
// The package reads no clock and starts no goroutine.
package routing
