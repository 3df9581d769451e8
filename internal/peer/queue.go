package peer

import (
	"sync"

	"boragehinge.example/boragehinge/internal/wire"
)

// queue holds the frames that a link has yet to write.
type queue struct {
	mu        sync.Mutex
	frames    []queued
	bytes     int
	seq       int // of the last frame queued
	maxFrames int
	maxBytes  int
	ready     chan struct{} // holds a token while frames may be queued
}

type queued struct {
	kind  wire.EnvelopeType
	frame []byte
}

func newQueue(maxFrames, maxBytes, seq int) *queue {
	return &queue{maxFrames: maxFrames, maxBytes: maxBytes, seq: seq, ready: make(chan struct{}, 1)}
}

// push encodes e with the next sequence number and queues its frame. A heartbeat takes the place of a queued one, which
// is out of date. It returns ErrQueueFull, or an error of wire.Encode.
func (q *queue) push(e wire.Envelope) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.Seq = q.seq + 1
	frame, err := wire.Encode(&e)
	if err != nil {
		return err
	}
	if e.Type == wire.EnvelopeTypeHeartbeat {
		q.remove(e.Type)
	}
	if len(q.frames) >= q.maxFrames || q.bytes+len(frame) > q.maxBytes {
		return ErrQueueFull
	}
	q.seq = e.Seq
	q.frames = append(q.frames, queued{e.Type, frame})
	q.bytes += len(frame)
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return nil
}

func (q *queue) remove(kind wire.EnvelopeType) {
	for i, f := range q.frames {
		if f.kind == kind {
			q.frames = append(q.frames[:i], q.frames[i+1:]...)
			q.bytes -= len(f.frame)
			return
		}
	}
}

func (q *queue) pop() ([]byte, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return nil, false
	}
	first := q.frames[0].frame
	q.frames = q.frames[1:]
	q.bytes -= len(first)
	return first, true
}
