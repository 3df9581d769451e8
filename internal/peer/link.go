package peer

import (
	"context"
	"fmt"
	"slices"
	"time"

	"boragehinge.example/boragehinge/internal/wire"
)

// SharedName is the certificate name that stands for any entry host. Certificates that carry it are accepted from every
// host; with certificates per host, it is left out.
const SharedName = "boragehinge-entry"

// maxDropped ends a link after this many dropped frames: its peer is faulty, and a new link starts clean.
const maxDropped = 64

// link is one connection after the exchange of Hello.
type link struct {
	mesh      *Mesh
	conn      Conn
	peer      wire.Member
	initiator string // incarnation of the entry that dialled
	received  wire.Sequence
	out       *queue
	cancel    context.CancelCauseFunc

	registered time.Time // written under the lock of the mesh
}

// handshake exchanges Hello. The returned link isn't registered yet.
func (m *Mesh) handshake(ctx context.Context, conn Conn, dialled bool) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, m.s.HelloTimeout)
	defer cancel()
	self := m.s.Self()
	hello, err := wire.Encode(&wire.Envelope{Type: wire.EnvelopeTypeHello, Sender: self.Incarnation, Seq: 1,
		Hello: &wire.Hello{Protocol: wire.Protocol, Member: self}})
	if err != nil {
		return nil, err
	}
	if err := conn.Write(ctx, hello); err != nil {
		return nil, fmt.Errorf("write hello: %w", err)
	}
	frame, err := conn.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	e, err := wire.Decode(frame)
	if err != nil {
		return nil, fmt.Errorf("hello: %w", err)
	}
	if err := checkHello(self, e, conn.Names()); err != nil {
		return nil, err
	}
	l := &link{mesh: m, conn: conn, peer: e.Hello.Member, initiator: e.Sender, out: newQueue(m.s.QueueFrames, m.s.QueueBytes, 1)}
	if dialled {
		l.initiator = self.Incarnation
	}
	return l, l.received.Accept(e.Seq)
}

func checkHello(self wire.Member, e *wire.Envelope, names []string) error {
	if e.Hello == nil {
		return fmt.Errorf("%w: %s before hello", ErrUnknownSender, e.Type)
	}
	if e.Hello.Protocol != wire.Protocol {
		return fmt.Errorf("%w: %d", ErrProtocol, e.Hello.Protocol)
	}
	if e.Sender == self.Incarnation {
		return fmt.Errorf("%w: the entry itself", ErrUnknownSender)
	}
	if names != nil && !slices.Contains(names, e.Hello.Member.Host) && !slices.Contains(names, SharedName) {
		return fmt.Errorf("%w: certificate isn't for host %.64q", ErrUnknownSender, e.Hello.Member.Host)
	}
	return nil
}

// run reads and writes until the link ends, and returns the cause.
func (l *link) run(ctx context.Context, up chan<- error) error {
	ctx, l.cancel = context.WithCancelCause(ctx)
	defer l.cancel(ErrClosed)
	if err := l.mesh.register(l); err != nil {
		up <- err
		return err
	}
	up <- nil
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.cancel(l.write(ctx))
	}()
	l.cancel(l.read(ctx))
	_ = l.conn.Close()
	<-written
	l.mesh.unregister(l)
	return context.Cause(ctx)
}

func (l *link) write(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.out.ready:
		}
		for {
			frame, ok := l.out.pop()
			if !ok {
				break
			}
			if err := l.writeFrame(ctx, frame); err != nil {
				return fmt.Errorf("write: %w", err)
			}
		}
	}
}

func (l *link) writeFrame(ctx context.Context, frame []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.mesh.s.WriteTimeout)
	defer cancel()
	if err := l.conn.Write(ctx, frame); err != nil {
		return err
	}
	l.mesh.count.framesSent.Add(1)
	l.mesh.count.bytesSent.Add(int64(len(frame)))
	return nil
}

func (l *link) read(ctx context.Context) error {
	for dropped := 0; dropped < maxDropped; {
		frame, err := l.readFrame(ctx)
		if err != nil {
			return err
		}
		e, err := l.accept(frame)
		if err != nil {
			dropped++
			l.mesh.count.dropped(err)
			continue
		}
		l.mesh.s.Handler.Received(l.peer, e)
	}
	return fmt.Errorf("%w: %d frames dropped", wire.ErrMalformed, maxDropped)
}

func (l *link) readFrame(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, l.mesh.s.IdleTimeout)
	defer cancel()
	frame, err := l.conn.Read(ctx)
	if err != nil {
		l.mesh.countTooLong(err)
		return nil, fmt.Errorf("read: %w", err)
	}
	l.mesh.count.framesReceived.Add(1)
	l.mesh.count.bytesReceived.Add(int64(len(frame)))
	return frame, nil
}

// accept returns the message of a frame that may be delivered.
func (l *link) accept(frame []byte) (*wire.Envelope, error) {
	e, err := wire.Decode(frame)
	if err != nil {
		return nil, err
	}
	if e.Sender != l.peer.Incarnation {
		return nil, fmt.Errorf("%w: %s", ErrUnknownSender, e.Sender)
	}
	if err := l.received.Accept(e.Seq); err != nil {
		return nil, err
	}
	if e.Type == wire.EnvelopeTypeHello {
		return nil, fmt.Errorf("%w: second hello", wire.ErrPayload)
	}
	return e, nil
}
