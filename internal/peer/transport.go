package peer

import (
	"context"
	"errors"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// Errors of links.
var (
	ErrNoLink        = errors.New("no link to the peer")
	ErrQueueFull     = errors.New("send queue of the link is full")
	ErrDuplicate     = errors.New("another link to the same peer exists")
	ErrUnknownSender = errors.New("unknown sender")
	ErrProtocol      = errors.New("peer speaks another protocol version")
	ErrUnwanted      = errors.New("link no longer wanted")
	ErrClosed        = errors.New("closed")
)

// Conn carries whole frames in both directions. Read and Write may be called concurrently with each other and with
// Close, but not with themselves.
type Conn interface {
	// Read returns the next frame. It refuses frames above wire.MaxFrameBytes with wire.ErrTooLong.
	Read(ctx context.Context) ([]byte, error)
	Write(ctx context.Context, frame []byte) error
	// Close ends the connection without waiting for the peer.
	Close() error
	// Names returns the names for which the peer is authenticated; nil when the transport doesn't authenticate.
	Names() []string
}

// Transport dials peers.
type Transport interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// Handler receives the events of a mesh. Its methods are called from the goroutines of the links, concurrently for
// different links; they must not block, and may call Mesh.Send. When a link ends while another one to the same peer
// starts, Unlinked may come after Linked; Mesh.Peers tells which peers have a link.
type Handler interface {
	// Linked is called when the first link to a peer is up.
	Linked(peer wire.Member)
	// Received is called for each valid message but Hello.
	Received(peer wire.Member, e *wire.Envelope)
	// Unlinked is called when the last link to a peer is gone.
	Unlinked(peer wire.Member)
	// Unreachable is called each time that several attempts in a row to link to a wanted host failed.
	Unreachable(host string)
}

// Target is a host to which a mesh keeps a link.
type Target struct {
	Host    string
	Address string
}

// Settings of a mesh. Zero durations and sizes stand for the values of DefaultSettings.
type Settings struct {
	// Self returns the own member for Hello.
	Self      func() wire.Member
	Transport Transport
	Handler   Handler
	// MinBackoff and MaxBackoff bound the time between two attempts to link to a host; it doubles with each failure and
	// is drawn between half and the whole of it.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// HelloTimeout bounds dialling and the exchange of Hello.
	HelloTimeout time.Duration
	WriteTimeout time.Duration
	// IdleTimeout ends links without any frame. It must exceed the longest heartbeat and digest interval.
	IdleTimeout time.Duration
	// QueueFrames and QueueBytes bound the send queue of a link.
	QueueFrames int
	QueueBytes  int
	// MaxLinks bounds the links of a mesh, those in the exchange of Hello included.
	MaxLinks int
}

// DefaultSettings returns the timeouts and bounds of the design page.
func DefaultSettings() Settings {
	return Settings{
		MinBackoff:   100 * time.Millisecond,
		MaxBackoff:   5 * time.Second,
		HelloTimeout: 3 * time.Second,
		WriteTimeout: 2 * time.Second,
		IdleTimeout:  10 * time.Second,
		QueueFrames:  128,
		QueueBytes:   2 * wire.MaxFrameBytes,
		MaxLinks:     1024,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	s.MinBackoff = orDefault(s.MinBackoff, d.MinBackoff)
	s.MaxBackoff = orDefault(s.MaxBackoff, d.MaxBackoff)
	s.HelloTimeout = orDefault(s.HelloTimeout, d.HelloTimeout)
	s.WriteTimeout = orDefault(s.WriteTimeout, d.WriteTimeout)
	s.IdleTimeout = orDefault(s.IdleTimeout, d.IdleTimeout)
	s.QueueFrames = orDefault(s.QueueFrames, d.QueueFrames)
	s.QueueBytes = orDefault(s.QueueBytes, d.QueueBytes)
	s.MaxLinks = orDefault(s.MaxLinks, d.MaxLinks)
	return s
}

func orDefault[T int | time.Duration](v, d T) T {
	if v == 0 {
		return d
	}
	return v
}
