// Package membership decides which entries are live, which view of them is confirmed and which entry owns a pool.
//
// Table is pure: it takes the time as an argument, opens no socket, starts no goroutine and reads no clock. It is not
// safe for concurrent use. Tick is to be called every Config.TickInterval; the table recognises that its own process
// was paused by a gap between ticks, and counts the silence of peers only in ticks that really ran.
//
// Members of the own data centre are known from heartbeats. Members of other data centres are known from digests, which
// their own members send. A digest names its member list by a hash; the list itself is requested when the hash is new.
package membership
