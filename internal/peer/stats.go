package peer

import (
	"errors"
	"sync/atomic"

	"boragehinge.example/boragehinge/internal/wire"
)

// Stats are the counters of a mesh since its start.
type Stats struct {
	Links          int
	FramesSent     int64
	BytesSent      int64
	FramesReceived int64
	BytesReceived  int64
	// Dropped frames by cause.
	Malformed     int64 // not CBOR, beyond a limit, wrong payload or invalid value
	TooLong       int64
	Replayed      int64
	UnknownSender int64
	// Refused counts connections that ended in the exchange of Hello.
	Refused int64
	// QueueFull counts links ended because their peer took frames too slowly.
	QueueFull int64
}

type counters struct {
	framesSent, bytesSent, framesReceived, bytesReceived         atomic.Int64
	malformed, tooLong, replayed, unknownSender, refused, queues atomic.Int64
}

func (c *counters) dropped(err error) {
	switch {
	case errors.Is(err, wire.ErrTooLong):
		c.tooLong.Add(1)
	case errors.Is(err, wire.ErrReplayed):
		c.replayed.Add(1)
	case errors.Is(err, ErrUnknownSender):
		c.unknownSender.Add(1)
	default:
		c.malformed.Add(1)
	}
}

func (c *counters) stats() Stats {
	return Stats{
		FramesSent: c.framesSent.Load(), BytesSent: c.bytesSent.Load(),
		FramesReceived: c.framesReceived.Load(), BytesReceived: c.bytesReceived.Load(),
		Malformed: c.malformed.Load(), TooLong: c.tooLong.Load(), Replayed: c.replayed.Load(),
		UnknownSender: c.unknownSender.Load(), Refused: c.refused.Load(), QueueFull: c.queues.Load(),
	}
}
