package configlog

import "boragehinge.example/boragehinge/internal/logservice"

const (
	bufferRecords = 1024
	bufferBytes   = 2 << 20
)

// buffer holds the newest consecutive records, bounded by count and total size.
type buffer struct {
	entries []logservice.Entry
	bytes   int
}

func (b *buffer) add(e logservice.Entry) {
	if n := len(b.entries); n > 0 && b.entries[n-1].Offset+1 != e.Offset {
		b.clear()
	}
	b.entries = append(b.entries, e)
	b.bytes += len(e.Data)
	drop := 0
	for len(b.entries)-drop > bufferRecords || b.bytes > bufferBytes {
		b.bytes -= len(b.entries[drop].Data)
		b.entries[drop] = logservice.Entry{}
		drop++
	}
	b.entries = b.entries[drop:]
}

func (b *buffer) clear() { *b = buffer{} }

// oldest returns the first buffered offset, or next if the buffer is empty.
func (b *buffer) oldest(next int64) int64 {
	if len(b.entries) == 0 {
		return next
	}
	return b.entries[0].Offset
}

func (b *buffer) from(offset int64, maxBytes int) []logservice.Entry {
	rest := b.entries[offset-b.entries[0].Offset:]
	n, bytes := 0, 0
	for n < len(rest) && (n == 0 || bytes+len(rest[n].Data) <= maxBytes) {
		bytes += len(rest[n].Data)
		n++
	}
	return append([]logservice.Entry(nil), rest[:n]...)
}
