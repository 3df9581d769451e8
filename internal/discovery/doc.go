// Package discovery answers the question of callers which addresses to use for a service.
//
// The owners of the service's pools come first, the near data centre before the distant ones; then other entries of the
// near data centre, as a fallback. Entries that leave, are dead or hold no usable configuration are left out, and
// overloaded ones are listed only when nothing else is left. Within one distance the order is random, weighted by the
// slots that an entry owns, so that callers, who use the first address that works, spread evenly.
//
// Each address comes with the request-ID prefix of its entry. The window in it is counted by that entry, so the caller
// of this package must know it from the entry itself.
//
// The package is pure: time, members and the random source are arguments.
package discovery
