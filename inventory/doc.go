// Package inventory parses and validates the operators' inventory and resolves it into a Snapshot.
//
// Check is the entry point for a document: it reports all findings together, each with file, line, column and field
// path, and returns no inventory when there is a finding. Parse does the same without the checks that need the current
// time or look across fields; Validate does only these, on an inventory of any origin, without line numbers.
//
// A Snapshot is immutable and indexed. It is safe for concurrent use, and callers must not change what it returns.
//
// # Decisions
//
//   - Nested path prefixes are allowed between services: a service that names the host wins over one that names none,
//     then the longest prefix wins. Two services overlap when both the host and the prefix are the same.
//   - YAML anchors, aliases, merge keys and tags are refused, because they hide the line that a value comes from and
//     allow documents that expand without bound.
//   - A syntax error hides the rest of the document, so it is reported alone.
//   - The number of shards of a pool is a power of two, and upstreams choose a shard by rendezvous hashing with a
//     capacity, so that an added or removed upstream moves few others.
package inventory
