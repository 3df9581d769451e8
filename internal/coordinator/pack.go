package coordinator

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"boragehinge.example/boragehinge/internal/gateway"
)

const (
	// maxUnpackedBytes limits the size of a batch after decompression.
	maxUnpackedBytes = 16 << 20
	// smallBatchBytes is the compressed size up to which a batch is sent without pacing.
	smallBatchBytes = 4 << 10
	// pacedLinkShare is the fraction of the leader's network link that large batches may use. The rest is left to heartbeats,
	// grants and the leader's own requests.
	pacedLinkShare = 0.5
)

// packedBatch is a batch for several followers. It is encoded and compressed once for all of them.
type packedBatch struct {
	batch gateway.Batch

	once sync.Once
	data []byte
	err  error
}

// pack returns the compressed batch.
func (p *packedBatch) pack() ([]byte, error) {
	p.once.Do(func() { p.data, p.err = packBatch(&p.batch) })
	return p.data, p.err
}

// flateWriters keeps writers for reuse, because each one takes several hundred kilobytes.
var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // only for an invalid level
	}
	return w
}}

func packBatch(b *gateway.Batch) ([]byte, error) {
	var buf bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buf)
	if err := cbor.NewEncoder(w).Encode(b); err != nil {
		return nil, fmt.Errorf("pack batch: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("pack batch: %w", err)
	}
	return buf.Bytes(), nil
}

func unpackBatch(data []byte) (gateway.Batch, error) {
	var b gateway.Batch
	r := flate.NewReader(bytes.NewReader(data))
	plain, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return b, fmt.Errorf("unpack batch: %w", err)
	}
	if len(plain) > maxUnpackedBytes {
		return b, fmt.Errorf("unpack batch: more than %d bytes", maxUnpackedBytes)
	}
	if err := cbor.Unmarshal(plain, &b); err != nil {
		return b, fmt.Errorf("unpack batch: %w", err)
	}
	return b, nil
}

// pacer spreads large batches to the followers over time, so that the leader's network link keeps room for heartbeats. Without
// it, a large configuration for hundreds of followers fills the link for longer than they wait for a heartbeat, and all of them
// consider the leader lost. It is safe for concurrent use.
type pacer struct {
	bytesPerSecond float64 // 0 means no limit

	mu   sync.Mutex
	next time.Time // when the link is free for the next batch
}

// reserve returns the time at which a batch of the given size may be sent.
func (p *pacer) reserve(now time.Time, size int) time.Time {
	if p.bytesPerSecond <= 0 || size <= smallBatchBytes {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now
	if p.next.After(now) {
		at = p.next
	}
	p.next = at.Add(time.Duration(float64(size) / p.bytesPerSecond * float64(time.Second)))
	return at
}
