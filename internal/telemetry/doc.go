// Package telemetry holds the log set-up, the decision log and the metrics of an entry.
//
// # Log lines
//
// NewLogger returns a zerolog.Logger that writes one line of key=value pairs per event. Values that hold a space, a
// quote, an equals sign or anything outside printable ASCII are quoted as in JSON, so a value cannot start a line of
// its own.
//
// # Decision log
//
// Each routing or placement decision is promised a line. At 8,125 calls/s per entry, each with one or two decisions, a
// line each would be 2 to 3 MB/s, more than a small host can write or an operator can read. The options were:
//
//   - Drop or sample above a rate: bounded, but breaks the promise, and drops the rare outcomes with the frequent ones.
//   - Write asynchronously without bound: keeps the promise until memory or the log reader fails.
//   - Lines in full up to a rate, and above it one line for each group of decisions of equal outcome within 100 ms,
//     with their count and the first request ID: each decision is counted in exactly one line, and each distinct
//     outcome shows within 100 ms.
//
// The last one is used. An interval holds at most 256 groups; further outcomes share one group per kind. The volume is
// therefore at most the rate plus 10 x 258 lines/s. Record never writes to the output, so a blocked log reader does
// not delay a call; Flush does, every 100 ms. While the output blocks, full lines stop at 256 KiB and decisions go to
// groups. An unplanned end of the process loses the lines of the last interval.
//
// A decision that is marked as routine uses at most half of the full lines, so that refusals and failures keep theirs when
// successes are many.
//
// # Output
//
// An Output stands between the loggers and a pipe whose reader may stop: it collects lines up to a bound and writes them when
// it is flushed, in one goroutine. What finds no room is dropped and counted in a line of its own.
//
// # Metrics
//
// Names follow the Prometheus conventions, with base units in the name. Label values that come from configuration or
// callers pass a LabelSet, which maps values beyond its bound to "other".
package telemetry
