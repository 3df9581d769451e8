package highwater

import "sync/atomic"

// Mark is a high-water mark. The zero value is a mark at 0. It is safe for concurrent use.
type Mark struct{ value atomic.Uint64 }

// Load returns the highest value so far, or 0.
func (m *Mark) Load() uint64 { return m.value.Load() }

// Raise sets the mark to value if that is higher. It returns the mark before, and whether it was raised.
func (m *Mark) Raise(value uint64) (previous uint64, raised bool) {
	for {
		previous = m.value.Load()
		if value <= previous {
			return previous, false
		}
		if m.value.CompareAndSwap(previous, value) {
			return previous, true
		}
	}
}
