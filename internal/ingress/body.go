package ingress

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

var errBodyTooLarge = errors.New("the body is too large")

// streamedBody is a request body that is too large to be kept. It can be sent to one upstream only.
type streamedBody struct {
	r    io.Reader
	left int64
	done chan struct{} // closed when the body won't be read any more

	once  sync.Once
	mu    sync.Mutex
	ended bool // read to its end
	taken bool
}

func newStreamedBody(head []byte, rest io.Reader, limit int64) *streamedBody {
	return &streamedBody{r: io.MultiReader(bytes.NewReader(head), rest), left: limit, done: make(chan struct{})}
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errBodyTooLarge
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if err != nil {
		b.mu.Lock()
		b.ended = errors.Is(err, io.EOF)
		b.mu.Unlock()
		b.release()
	}
	return n, err
}

// Close implements io.Closer.
func (b *streamedBody) Close() error {
	b.release()
	return nil
}

func (b *streamedBody) release() { b.once.Do(func() { close(b.done) }) }

// take reports whether the body may be sent, which is possible once.
func (b *streamedBody) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := !b.taken
	b.taken = true
	return first
}

// complete reports whether the whole body was read, so that another request may follow.
func (b *streamedBody) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// memoryBody is a small request body; see transport.MemoryBody.
type memoryBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (memoryBody) Close() error { return nil }

// InMemory implements transport.MemoryBody.
func (memoryBody) InMemory() {}
