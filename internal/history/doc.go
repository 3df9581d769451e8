// Package history tells what the logs of several entries say of one request: its own lines, and what the entries believed of
// the parts that decided about it.
//
// Lines are read in the format of package telemetry, with or without columns before "time=", of which the last names the
// entry. Entries' clocks may differ, so lines of different entries are put in order only as far as their times tell; lines of one
// entry keep their order.
package history
