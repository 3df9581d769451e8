// Package poison detects poison requests, which crash each upstream that runs them, and upstreams in a crash loop.
//
// A crash event lists all requests that were running on the upstream, because the entry can't know which of them caused it.
// Each of them is a suspect. A suspect is blocked for 60 s after crashes of 2 different upstreams. Innocent requests are
// distinguished in two ways: a suspect that succeeds on any entry is cleared immediately, and a crash counts only while its
// upstream isn't in a crash loop.
//
// An upstream is in a crash loop if it has crashed twice within EvidenceTTL with no suspect in common. Then the likely cause
// is the upstream and not a request, and its crashes no longer count against requests.
//
// Each request has two fingerprints, one of its request ID and one of its content (method, path and the first bytes of the
// body). The ID alone would miss a caller that repeats the request under a new ID. The content alone can't
// distinguish bodies that differ only in their later part.
//
// Entries exchange their evidence: RecordCrash returns the facts to send, and Observe accepts those from other entries.
// Memory usage is limited by evicting the oldest evidence.
package poison
