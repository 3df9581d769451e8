package routing

import "github.com/cespare/xxhash/v2"

// Move is the state of a version move of a service. Share is the part of the calls for To, from 0 to 1; it is 0 when
// the move is stopped.
type Move struct {
	Name, From, To string
	Share          float64
}

// Version returns the version that a call takes. A call without a request ID is given one at its arrival.
func (m Move) Version(requestID string) string {
	const steps = 1 << 53 // a float64 holds this many equal steps between 0 and 1 exactly
	position := float64(xxhash.Sum64String(m.Name+"\x00"+requestID)>>11) / steps
	if position < m.Share {
		return m.To
	}
	return m.From
}
