// Package idempotency keeps the records by which an entry runs each call at most once.
//
// Only one incarnation of one entry, the registrar, may admit a call. An incarnation is one run of an entry process. The
// request ID names its registrar:
//
//	bh1.<incarnation, 16 hexadecimal digits>.<window, decimal>.<unique>
//
// Callers get the prefix up to the window from the registrar and append the unique part. Registry.Begin records the ID
// before the first dispatch and returns a verdict; Registry.Finish stores the outcome. An ID runs again only when it is
// certain that the previous attempt did not run. A window is a number of the registrar's own minute counter, so clocks of
// different hosts are never compared.
//
// IDs of any other form are opaque. Homes chooses their registrar, the home of the ID, by rendezvous hashing over the live
// entries of the data centre. It also names the entries that may hold an earlier record, and reports when the outcome of
// an earlier attempt cannot be known. The record of an opaque ID is kept for the retention time after its call ended; a
// resend after that counts as a new call.
//
// On a planned stop, Freeze ends the admission of new IDs, Export returns the records, and the successor adds them with
// Import. An unplanned loss of an entry loses its records; a resend then gets the verdict Unknown.
//
// # Memory
//
// The record that an ID ran is kept for the whole retention time and never evicted; when MaxRecords is reached, new IDs
// are refused as not run. A record without an answer takes about 140 bytes (BenchmarkRecordMemory), so the default of
// 2^20 records takes 148 MB when full. It admits 1,700 calls/s that need a record, given the retention time. Idempotent
// calls need no record. Stored answers have a byte budget: the oldest are evicted, and a resend of such a call gets the
// verdict DoneWithoutAnswer.
//
// The package does no I/O, reads no clock and starts no goroutine. All methods are safe for concurrent use.
package idempotency
