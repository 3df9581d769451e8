package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"boragehinge.example/boragehinge/internal/responsecheck"
)

const (
	linkPath      = "/link"
	maxFrameBytes = 4 << 20
	dialTimeout   = 250 * time.Millisecond
	writeTimeout  = time.Second
)

// Link is a WebSocket connection to another entry that carries CBOR frames. Changes queued between two writes are sent as one
// frame.
type Link struct {
	conn *websocket.Conn
	work *workMeter       // optional
	now  func() time.Time // time.Now, except in tests
	// fill adds to a frame that is about to be sent; optional, and set before the first frame.
	fill func(*Frame)

	mu     sync.Mutex
	queued Frame
	packed []scheduled // in the order in which they were queued
	wake   chan struct{}
	err    error
}

// scheduled is a compressed batch, or notices that must not overtake the batches before them. It is sent at a set time or later.
type scheduled struct {
	at    time.Time
	batch []byte
	moves []MoveNotice
}

// DialLink opens a link to the peer address of another entry.
func DialLink(ctx context.Context, address string) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*dialTimeout)
	defer cancel()
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	client := &http.Client{Transport: responsecheck.NewRoundTripper(transport)}
	conn, _, err := websocket.Dial(ctx, "ws://"+address+linkPath, //nolint:bodyclose // Dial closes the body
		&websocket.DialOptions{HTTPClient: client, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", address, err)
	}
	return newLink(conn), nil
}

// AcceptLink upgrades an HTTP request to a link.
func AcceptLink(w http.ResponseWriter, r *http.Request) (*Link, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, fmt.Errorf("accept link from %s: %w", r.RemoteAddr, err)
	}
	return newLink(conn), nil
}

func newLink(conn *websocket.Conn) *Link {
	conn.SetReadLimit(maxFrameBytes)
	return &Link{conn: conn, now: time.Now, wake: make(chan struct{}, 1)}
}

// Queue adds to the next frame by calling change on it.
func (l *Link) Queue(change func(*Frame)) {
	l.mu.Lock()
	change(&l.queued)
	l.mu.Unlock()
	l.wakeWriter()
}

// QueueLazily adds to the next frame like Queue, but causes none by itself. A heartbeat is the latest next frame.
func (l *Link) QueueLazily(change func(*Frame)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.queued)
}

// QueuePacked sends items when they are due, after those queued before them. Items that are due at the same time are sent in one
// frame. Other frames don't wait for them.
func (l *Link) QueuePacked(items ...scheduled) {
	l.mu.Lock()
	l.packed = append(l.packed, items...)
	l.mu.Unlock()
	l.wakeWriter()
}

func (l *Link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// untilPacked returns the time until a compressed batch is due, or limit if that is shorter.
func (l *Link) untilPacked(now time.Time, limit time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.packed) == 0 {
		return limit
	}
	return max(0, min(limit, l.packed[0].at.Sub(now)))
}

// takeFrame returns the queued frame with the compressed batches that are due.
func (l *Link) takeFrame(now time.Time) Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frame := l.queued
	l.queued = Frame{}
	for len(l.packed) > 0 && !l.packed[0].at.After(now) {
		next := l.packed[0]
		l.packed = l.packed[1:]
		if next.batch != nil {
			frame.Packed = append(frame.Packed, next.batch)
		}
		frame.Moves = append(frame.Moves, next.moves...)
	}
	return frame
}

// Write sends queued frames until ctx ends or the link fails. When nothing is queued for the interval, it sends an empty frame
// as a heartbeat.
func (l *Link) Write(ctx context.Context, interval func() time.Duration) error {
	timer := time.NewTimer(interval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
		case <-timer.C:
		}
		if err := l.flush(ctx); err != nil {
			return err
		}
		timer.Reset(l.untilPacked(time.Now(), interval()))
	}
}

func (l *Link) flush(ctx context.Context) error {
	defer l.work.since(time.Now(), sendWork)
	frame := l.takeFrame(time.Now())
	if l.fill != nil {
		l.fill(&frame)
	}
	data, err := cbor.Marshal(&frame)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return l.conn.Write(ctx, websocket.MessageBinary, data)
}

var errPeerTimeout = errors.New("no frame from the other entry within the timeout")

// Read calls handle for each frame until the link fails, or no frame arrives within the timeout.
func (l *Link) Read(ctx context.Context, timeout func() time.Duration, handle func(*Frame)) error {
	limit, last := timeout(), l.now()
	idleTimer := time.AfterFunc(limit, func() { l.fail(errPeerTimeout) })
	defer idleTimer.Stop()
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return l.failure(err)
		}
		// In a process that was suspended, frames that came meanwhile may be read before the timer fires.
		now := l.now()
		if now.Sub(last) > limit {
			return errPeerTimeout
		}
		limit, last = timeout(), now
		idleTimer.Reset(limit)
		frame, err := l.decode(data)
		if err != nil {
			return err
		}
		handle(frame)
	}
}

func (l *Link) decode(data []byte) (*Frame, error) {
	defer l.work.since(time.Now(), receiveWork)
	var frame Frame
	if err := cbor.Unmarshal(data, &frame); err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	if err := frame.unpack(); err != nil {
		return nil, err
	}
	return &frame, nil
}

// unpack appends the compressed batches to the others.
func (f *Frame) unpack() error {
	for _, data := range f.Packed {
		b, err := unpackBatch(data)
		if err != nil {
			return err
		}
		f.Batches = append(f.Batches, b)
	}
	f.Packed = nil
	return nil
}

// fail closes the connection. The first reason is kept.
func (l *Link) fail(err error) {
	l.mu.Lock()
	if l.err == nil {
		l.err = err
	}
	l.mu.Unlock()
	_ = l.conn.CloseNow() // the reason is kept in l.err
}

// failure returns the reason for which the link was closed, or err if it wasn't.
func (l *Link) failure(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	return err
}

// Close closes the link.
func (l *Link) Close() { l.fail(net.ErrClosed) }
