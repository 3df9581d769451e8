// Package membership decides which entries are live, which view of them is confirmed and which entry owns a pool.
//
// Table is deterministic: it takes the time as an argument, opens no socket, starts no goroutine and reads no clock. It
// is not safe for concurrent use. Tick must be called every Config.TickInterval; the table detects a pause of its
// process by a gap between ticks, and does not count the time of a pause as silence of the peers.
//
// Members of the local data centre are known from heartbeats. Members of other data centres are known from digests,
// which the members there send. A digest names its member list by a hash; the list itself is requested when the hash is
// new.
package membership
