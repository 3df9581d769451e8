package ingress

import (
	"errors"
	"fmt"

	"boragehinge.example/boragehinge/internal/placement"
	"boragehinge.example/boragehinge/internal/transport"
)

// lossOf returns how the connection of an attempt was lost, from which the leader determines the cause, or nil if it wasn't lost while the
// request may have been running.
func lossOf(err error) *placement.Loss {
	var te *transport.Error
	if !errors.As(err, &te) || !te.MaybeCrash() {
		return nil
	}
	return &placement.Loss{
		Reset: te.Reset, Reused: te.Reused, Idle: te.IdleFor, Written: te.Written, Begun: te.ResponseBegun, After: te.After,
	}
}

// lossText formats what is known of a lost connection for the decision log.
func lossText(l *placement.Loss) string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf(" (reset %t, reused %t, idle %d ms, %d bytes written, response begun %t, after %d ms)",
		l.Reset, l.Reused, l.Idle.Milliseconds(), l.Written, l.Begun, l.After.Milliseconds())
}
