// Package usage decides what is reported about the use of client accounts, and by whom: it counts requests per window and account,
// estimates true time from the clocks of all entries, and runs the lease of the one entry that may send reports.
//
// It does no I/O and reads no clock. See docs/design/usage-reports.md.
package usage
