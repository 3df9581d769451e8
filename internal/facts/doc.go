// Package facts stores the facts that entries forward to each other: stop facts of version moves, leaving facts of
// data centres and poison facts of requests.
//
// Store does no I/O, reads no clock and is not safe for concurrent use. The caller must send a fact for which Add
// returns Added on all links, and the result of Messages on each new link. Then a fact reaches every entry that is
// connected by any path. A stop fact is removed when its move ends, a leaving fact by a configuration version above its
// base, and a poison fact by its age.
package facts
