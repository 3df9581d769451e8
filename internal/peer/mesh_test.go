package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"boragehinge.example/boragehinge/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// recorder is a Handler that keeps what it was told.
type recorder struct {
	mu          sync.Mutex
	received    []*wire.Envelope
	linked      int
	unlinked    int
	unreachable int
}

func (r *recorder) Linked(wire.Member)   { r.locked(func() { r.linked++ }) }
func (r *recorder) Unlinked(wire.Member) { r.locked(func() { r.unlinked++ }) }
func (r *recorder) Unreachable(string)   { r.locked(func() { r.unreachable++ }) }
func (r *recorder) Received(_ wire.Member, e *wire.Envelope) {
	r.locked(func() { r.received = append(r.received, e) })
}

func (r *recorder) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.received)
}

func member(i int) wire.Member {
	return wire.Member{Incarnation: fmt.Sprintf("%016x", i), Host: fmt.Sprint("h", i), DataCentre: "east-1",
		PeerAddress: fmt.Sprint("h", i, ":1")}
}

func goodbye(reason string) wire.Envelope {
	return wire.Envelope{Type: wire.EnvelopeTypeGoodbye, Goodbye: &wire.Goodbye{Reason: reason}}
}

func memoryMesh(n *MemoryNetwork, i int) (*Mesh, *recorder) {
	r := &recorder{}
	m := NewMesh(Settings{Self: func() wire.Member { return member(i) }, Transport: n.Transport(member(i).PeerAddress), Handler: r})
	n.Listen(member(i).PeerAddress, m.Accept)
	return m, r
}

func wants(m *Mesh, peers ...int) {
	var targets []Target
	for _, i := range peers {
		targets = append(targets, Target{member(i).Host, member(i).PeerAddress})
	}
	m.Want(targets)
}

// Guards against two peers that dial each other at once and end with two links, none, or a storm of connections.
func TestSimultaneousConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		a, ra := memoryMesh(n, 1)
		b, rb := memoryMesh(n, 2)
		wants(a, 2)
		wants(b, 1)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, a.Stats().Links)
		require.Equal(t, 1, b.Stats().Links)
		ra.locked(func() { require.Zero(t, ra.unlinked) })
		rb.locked(func() { require.Zero(t, rb.unlinked) })
		require.NoError(t, a.Send(member(2).Incarnation, goodbye("a")))
		require.NoError(t, b.Send(member(1).Incarnation, goodbye("b")))
		synctest.Wait()
		require.Equal(t, 1, ra.count())
		require.Equal(t, 1, rb.count())
		a.Close()
		b.Close()
		require.ErrorIs(t, a.Send(member(2).Incarnation, goodbye("a")), ErrNoLink)
	})
}

// Guards against the loss of a peer that is not reported, because its link is young enough to be one of two that were dialled at
// once.
func TestLossOfAYoungLinkIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		a, ra := memoryMesh(n, 1)
		b, _ := memoryMesh(n, 2)
		wants(b, 1)
		synctest.Wait()
		ra.locked(func() { require.Equal(t, 1, ra.linked) })
		b.Close()
		time.Sleep(a.s.HelloTimeout + time.Millisecond)
		ra.locked(func() { require.Equal(t, 1, ra.unlinked) })
		a.Close()
	})
}

// Guards against a lost peer that is never dialled again, dialled in a tight loop, or not reported.
func TestReconnectWithBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		dials := &countingTransport{inner: n.Transport("h1:1")}
		r := &recorder{}
		a := NewMesh(Settings{Self: func() wire.Member { return member(1) }, Transport: dials, Handler: r})
		wants(a, 2)
		time.Sleep(time.Minute)
		require.InDelta(t, 16, dials.dials(), 8, "100 ms to 5 s with jitter")
		r.locked(func() { require.Equal(t, dials.dials()/unreachableAfter, r.unreachable) })
		b, _ := memoryMesh(n, 2)
		time.Sleep(6 * time.Second)
		require.Equal(t, 1, a.Stats().Links)
		b.Close()
		synctest.Wait()
		require.Equal(t, 0, a.Stats().Links)
		r.locked(func() { require.Equal(t, 1, r.unlinked) })
		a.Close()
	})
}

type countingTransport struct {
	inner Transport
	mu    sync.Mutex
	count int
}

func (c *countingTransport) dials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

func (c *countingTransport) Dial(ctx context.Context, address string) (Conn, error) {
	c.mu.Lock()
	c.count++
	c.mu.Unlock()
	return c.inner.Dial(ctx, address)
}

// Guards against links that pile up as the choice of hosts changes, and against ending one that the peer wants.
func TestUnwantedLinkEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		a, _ := memoryMesh(n, 1)
		b, _ := memoryMesh(n, 2)
		wants(a, 2)
		time.Sleep(time.Second)
		require.Equal(t, 1, b.Stats().Links)
		wants(a)
		time.Sleep(time.Second)
		require.Equal(t, 0, b.Stats().Links)
		wants(a, 2)
		time.Sleep(time.Second)
		wants(b, 1)
		wants(a)
		time.Sleep(6 * time.Second)
		require.Equal(t, 1, a.Stats().Links)
		a.Close()
		b.Close()
	})
}

// Guards against a link whose frames are lost in silence and that is kept forever.
func TestSilentLinkEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		a, ra := memoryMesh(n, 1)
		b, _ := memoryMesh(n, 2)
		wants(a, 2)
		time.Sleep(time.Second)
		n.Cut("h2:1", "h1:1", true)
		for range 8 {
			_ = b.Send(member(1).Incarnation, goodbye(""))
			time.Sleep(time.Second)
		}
		require.Equal(t, 1, a.Stats().Links)
		time.Sleep(3 * time.Second)
		ra.locked(func() { require.Equal(t, 1, ra.unlinked) })
		a.Close()
		b.Close()
	})
}

// raw opens a link to m by hand and returns the connection after Hello.
func raw(t *testing.T, n *MemoryNetwork, to *Mesh, as int) Conn {
	conn, err := n.Transport("raw").Dial(t.Context(), to.s.Self().PeerAddress)
	require.NoError(t, err)
	self := member(as)
	e := wire.Envelope{Type: wire.EnvelopeTypeHello, Sender: self.Incarnation, Seq: 1,
		Hello: &wire.Hello{Protocol: wire.Protocol, Member: self}}
	require.NoError(t, conn.Write(t.Context(), encode(t, e)))
	_, err = conn.Read(t.Context())
	require.NoError(t, err)
	return conn
}

func encode(t *testing.T, e wire.Envelope) []byte {
	frame, err := wire.Encode(&e)
	require.NoError(t, err)
	return frame
}

// Guards against malformed, replayed and forged frames that are delivered or end a healthy link, and against an
// oversized frame that is read into memory.
func TestBadFramesAreDroppedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		m, r := memoryMesh(n, 1)
		conn := raw(t, n, m, 2)
		good := goodbye("x")
		good.Sender, good.Seq = member(2).Incarnation, 5
		forged := good
		forged.Sender, forged.Seq = member(3).Incarnation, 6
		last := good
		last.Seq = 7
		for _, frame := range [][]byte{encode(t, good), encode(t, good), []byte("junk"), encode(t, forged), encode(t, last)} {
			require.NoError(t, conn.Write(t.Context(), frame))
		}
		synctest.Wait()
		s := m.Stats()
		require.Equal(t, []int64{1, 1, 1}, []int64{s.Replayed, s.Malformed, s.UnknownSender})
		require.Equal(t, 2, r.count())
		require.Equal(t, 1, s.Links)
		require.NoError(t, conn.Write(t.Context(), make([]byte, wire.MaxFrameBytes+1)))
		synctest.Wait()
		require.EqualValues(t, 1, m.Stats().TooLong)
		require.Equal(t, 0, m.Stats().Links)
		m.Close()
	})
}

// Guards against a peer that reads nothing and makes memory grow or senders block.
func TestSlowPeerIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewMemoryNetwork()
		m, _ := memoryMesh(n, 1)
		conn := raw(t, n, m, 2)
		synctest.Wait()
		sent := 0
		for m.Send(member(2).Incarnation, goodbye("x")) == nil {
			sent++
		}
		require.LessOrEqual(t, sent, DefaultSettings().QueueFrames+memoryBuffer+1)
		synctest.Wait()
		require.EqualValues(t, 1, m.Stats().QueueFull)
		require.Equal(t, 0, m.Stats().Links)
		_ = conn.Close()
		m.Close()
	})
}

// Guards against out-of-date heartbeats that fill the queue of a slow link.
func TestLatestHeartbeatReplacesQueued(t *testing.T) {
	q := newQueue(4, 1<<20, 1)
	for i := range 100 {
		e := wire.Envelope{Type: wire.EnvelopeTypeHeartbeat, Sender: member(1).Incarnation, Heartbeat: &wire.Heartbeat{Seq: i + 1}}
		require.NoError(t, q.push(e))
	}
	frame, ok := q.pop()
	require.True(t, ok)
	e, err := wire.Decode(frame)
	require.NoError(t, err)
	require.Equal(t, 100, e.Heartbeat.Seq)
	_, ok = q.pop()
	require.False(t, ok)
}
