// Package placement is the scheduler of a service: it decides which upstream runs a request, which requests are queued and
// which are refused.
//
// A Pool sees all requests to a service, so its in-flight counts are exact. It sends a request to the upstream with the
// earliest predicted completion. The prediction is the usual service time of the route multiplied by the slowdown of the
// upstream, mainly its pace: the factor by which work currently takes longer there than usual, as the upstream reported it
// last. A request that can't meet its latency objective on a free upstream is queued while a faster upstream may still
// become free. A request that can't be answered before its deadline is refused immediately. Under overload, requests that
// can still meet their objective go first, by priority.
//
// Upstreams are filled only up to the occupancy above which they slow down. Cold upstreams are rate limited, retries and
// hedges draw on a budget, and during a move (the gradual switch to a new version) the new version first gets a small share
// of the requests.
//
// The package is deterministic: time and the random source are arguments, and it does no I/O, starts no goroutine and reads
// no clock. A Pool is not safe for concurrent use.
package placement
