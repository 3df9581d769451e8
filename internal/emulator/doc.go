// Package emulator is a sample upstream for development, tests and the load tool.
//
// A Server runs a bounded number of requests at a time, queues and sheds others, starts cold, drains, reports its load
// (truthfully or not), crashes, and lets connections go silent. It counts executions by request ID, so that a test can
// prove that a call ran at most once. Its random choices come from a seeded source; their order over concurrent requests
// still depends on scheduling.
//
// Paths:
//
//   - /archive/<bytes> streams a body of that size in constant memory.
//   - /-/faults reads (GET) and replaces (PUT) the fault switches as JSON.
//   - /-/executions?id=ID returns the executions of one request ID, with ?all those of all IDs,
//     and otherwise the totals.
//   - Anything else echoes request ID, method and path, after a service time drawn by route.
//
// Paths below /-/ take no slot. All exported methods are safe for concurrent use.
package emulator
