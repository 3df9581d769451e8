// Package facts keeps the grow-only facts that entries pass to each other: stop facts of version moves, leaving facts of
// data centres and poison facts of requests.
//
// Store is pure and not safe for concurrent use. A fact for which Add returns Added is to be sent on all links, and Messages on
// each new link; with that, a fact reaches every entry that is connected by any path. A stop fact is lifted when its
// move ends, a leaving fact by a configuration version above its base, and a poison fact by its age.
package facts
