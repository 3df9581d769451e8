package ingress

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

var errBodyTooLarge = errors.New("the body is too large")

// streamedBody is a request body that is too large to buffer. It can be sent to one upstream only.
type streamedBody struct {
	start     []byte // what was read before the first attempt
	r         io.Reader
	remaining int64
	done      chan struct{} // closed when the body will not be read any further
	// beforeRead, unless nil, is called before each read and may refuse it; atEnd is called when the body was read to its end.
	beforeRead func() error
	atEnd      func()

	once    sync.Once
	mu      sync.Mutex
	eof     bool // the body was read to its end
	claimed bool // an attempt has claimed the body
}

func newStreamedBody(start []byte, rest io.Reader, limit int64) *streamedBody {
	return &streamedBody{start: start, r: io.MultiReader(bytes.NewReader(start), rest), remaining: limit, done: make(chan struct{})}
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.beforeRead != nil {
		if err := b.beforeRead(); err != nil {
			b.signalDone()
			return 0, err
		}
	}
	n, err := b.r.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	if err != nil {
		b.mu.Lock()
		b.eof = errors.Is(err, io.EOF)
		b.mu.Unlock()
		if errors.Is(err, io.EOF) && b.atEnd != nil {
			b.atEnd()
		}
		b.signalDone()
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	b.signalDone()
	return nil
}

func (b *streamedBody) signalDone() { b.once.Do(func() { close(b.done) }) }

// claim reserves the body for an attempt. Only the first call returns true.
func (b *streamedBody) claim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.claimed
	b.claimed = true
	return first
}

// complete reports whether the whole body was read, so that the next request of the connection can be read.
func (b *streamedBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.eof
}

// memoryBody is a buffered request body; see transport.MemoryBody.
type memoryBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (memoryBody) Close() error { return nil }

// InMemory implements transport.MemoryBody.
func (memoryBody) InMemory() {}
