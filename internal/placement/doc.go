// Package placement decides which upstream of a service runs a request, which requests wait, and which are refused.
//
// One Pool sees all requests to a service, so its counts are exact. It places a request where it is predicted to end first,
// from the pace that each upstream reported last. A request that can't meet its latency objective on a free upstream waits
// while a faster one may still become free; one that can't be answered before its deadline is refused at once. Under
// overload the requests that can still meet their objective go first, by priority.
//
// Upstreams are used up to the occupancy above which they slow down. Cold upstreams get a limited rate, new attempts of
// requests draw on a budget, and a version on trial gets a small share.
//
// The package is pure: time and the random source are arguments, it opens no socket, starts no goroutine and reads no
// clock. A Pool is not safe for concurrent use.
package placement
