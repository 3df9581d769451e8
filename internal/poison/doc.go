// Package poison finds requests that crash each upstream that runs them, and upstreams that crash by themselves.
//
// A crash event names all requests that ran on the upstream, because the entry cannot know which of them caused it.
// Each of them is a suspect. A suspect is blocked for 60 s after crashes on 2 different upstreams. Innocent requests
// are told apart in two ways: a suspect that ends in success is cleared at once, on whichever entry that happens, and a
// crash counts only while its upstream isn't in a crash loop.
//
// An upstream is in a crash loop when it crashes twice within the memory with no suspect in common: then the upstream
// and not a request is the likely cause, and its crashes no longer count against requests.
//
// Each request has two fingerprints, one of its request ID and one of its content (method, path and the first bytes of
// the body). The ID alone would miss a caller that sends the same request again under a new ID; the content alone would
// miss a body that differs in its later part.
//
// Entries exchange their evidence; Register returns what to send, and Observe takes what others sent. Memory is
// bounded: the oldest evidence gives way.
package poison
