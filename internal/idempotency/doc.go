// Package idempotency keeps the at-most-once records of an entry (design page, Q3).
//
// The right to run a call belongs to one incarnation of one entry, the registrar, which the request ID names:
//
//	bh1.<incarnation, 16 hexadecimal digits>.<window, decimal>.<unique>
//
// The registrar hands out prefixes up to the window and callers append the unique part. Registry.Begin records the ID
// before the first dispatch and answers what to do; Registry.Finish stores the result. An ID runs again only when the
// previous attempt was proved not run. Windows are the registrar's own minute counter, so no clocks are compared.
//
// IDs of any other form are opaque. Homes chooses their registrar by rendezvous hashing over the view of the data
// centre, names the entries that may hold an earlier record, and says when the outcome of an earlier attempt cannot be
// known. An opaque record is kept for the retention time after its call ended; a resend after that is another call.
//
// On a planned stop, Freeze ends the admission of new IDs, and Export gives the records to the successor, which takes
// them by Import. After an unplanned loss there is no record, and the answer is unknown.
//
// # Memory
//
// The fact that an ID ran is kept for the whole retention and never evicted; when MaxRecords is reached, new IDs are
// refused as not run. A record without an answer takes about 140 bytes (BenchmarkRecordMemory), so the default of 2^20
// records is 148 MB when full; it admits 1,700 calls/s with an ID over the retention. Idempotent calls need no record. Stored answers have a byte budget: the oldest give way, and a resend of such a call is told done
// without the answer.
//
// The package reads no clock, opens no socket and starts no goroutine. All methods are safe for concurrent use.
package idempotency
