package coordinator

import (
	"cmp"
	"hash/fnv"

	"boragehinge.example/boragehinge/internal/gateway"
)

// compareRank orders entries by rank for leader election and advertising: larger hosts first, then by a hash that mixes data
// centres. A negative result means that a ranks higher.
func compareRank(a, b gateway.Entry) int {
	return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(rank(a.Peer), rank(b.Peer)))
}

// rank returns the hash by which entries on hosts of the same size are ordered.
func rank(address string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(address)) // Write of a hash never fails
	return h.Sum64()
}
