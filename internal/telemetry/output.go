package telemetry

import (
	"io"
	"sync"
)

// maxPendingOutput bounds the bytes that an Output holds between two flushes, and with them the volume: ten times as much a
// second at a flush each DecisionInterval.
const maxPendingOutput = 128 << 10

// Output collects lines and writes them when it is flushed, so that no logging goroutine waits for a reader of the log. Lines
// beyond the bound are dropped, and the next flush tells how many. It is safe for concurrent use.
type Output struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int

	flushing sync.Mutex
}

// NewOutput returns an Output to out.
func NewOutput(out io.Writer) *Output { return &Output{out: out} }

// Write takes one line, or several, and never fails: what doesn't fit is counted.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending)+len(p) > maxPendingOutput {
		o.dropped++
		return len(p), nil
	}
	o.pending = append(o.pending, p...)
	return len(p), nil
}

// Dropped returns the number of writes dropped since the last flush.
func (o *Output) Dropped() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Flush writes what was collected. The error is that of the output; the lines are lost then.
func (o *Output) Flush() error {
	o.flushing.Lock()
	defer o.flushing.Unlock()
	o.mu.Lock()
	lines, dropped := o.pending, o.dropped
	o.pending, o.spare, o.dropped = o.spare[:0], nil, 0
	o.mu.Unlock()
	if dropped > 0 {
		lines = appendDropped(lines, dropped)
	}
	var err error
	if len(lines) > 0 {
		_, err = o.out.Write(lines)
	}
	o.mu.Lock()
	o.spare = lines[:0]
	o.mu.Unlock()
	return err
}
