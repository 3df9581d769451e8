package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"boragehinge.example/boragehinge/internal/gateway"
)

// headScan finds the end of a request header in bytes that arrive in parts, and counts its lines.
type headScan struct {
	lineStart, searched int
	lines               int
}

// next continues in all bytes that have arrived so far. It returns the size of the header, or 0 if its end hasn't arrived.
func (h *headScan) next(b []byte) int {
	for {
		i := bytes.IndexByte(b[h.searched:], '\n')
		if i < 0 {
			h.searched = len(b)
			return 0
		}
		end := h.searched + i
		line := b[h.lineStart:end]
		h.lineStart, h.searched = end+1, end+1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return end + 1
		}
		h.lines++
	}
}

// readHead reads a request header. Before it is parsed, its memory is reserved together with that of the first part of a body, since a
// header of many short lines takes many times its size.
func (c *conn) readHead(limits gateway.Limits, arrived time.Time) (*http.Request, error) {
	if err := c.setReceiveDeadline(arrived.Add(limits.HeaderTimeout)); err != nil {
		return nil, err
	}
	c.limited.remaining = max(0, limits.HeaderBytes-int64(c.br.Buffered()))
	defer func() { c.limited.remaining = -1 }()
	size, lines, err := c.bufferHead(limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	if !c.s.grow(c.receiving, int64(requestBytes+headCopies*size+lines*headerLineBytes+firstBodyBytes)) {
		return nil, errNoMemory
	}
	return http.ReadRequest(c.br)
}

// bufferHead waits until a whole header is in the read buffer, which it enlarges if need be.
func (c *conn) bufferHead(limit int64) (size, lines int, err error) {
	var scan headScan
	for {
		buffered, _ := c.br.Peek(c.br.Buffered())
		if size := scan.next(buffered); size > 0 {
			if int64(size) > limit {
				return 0, 0, errHeaderTooLarge
			}
			return size, scan.lines, nil
		}
		if int64(len(buffered)) >= limit {
			return 0, 0, errHeaderTooLarge
		}
		if len(buffered) == c.br.Size() {
			if !c.enlargeBuffer(buffered, int(limit)) {
				return 0, 0, errNoMemory
			}
			continue
		}
		if _, err := c.br.Peek(len(buffered) + 1); err == io.EOF { //nolint:errorlint // Peek returns io.EOF itself
			return 0, 0, io.ErrUnexpectedEOF
		} else if err != nil {
			return 0, 0, err
		}
	}
}

// enlargeBuffer replaces the read buffer by one of the given size, and returns false if there is no memory for it.
func (c *conn) enlargeBuffer(buffered []byte, size int) bool {
	if !c.s.grow(c.account, int64(size)) {
		return false
	}
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.limited), size)
	_, _ = c.br.Peek(len(buffered)) // reads from memory
	return true
}

// restoreBuffer replaces an enlarged read buffer that is empty by one of the usual size, and returns its memory.
func (c *conn) restoreBuffer() {
	size := c.br.Size()
	if size == readBufferSize || c.br.Buffered() > 0 {
		return
	}
	c.br = bufio.NewReaderSize(c.limited, readBufferSize)
	c.s.budget.Shrink(c.account, int64(size))
}

// readBuffered reads a body, or the start of one that is too large to be buffered, in buffers that grow with what has arrived.
func (c *conn) readBuffered(x *exchange, limits gateway.Limits) ([]byte, error) {
	limit := maxBufferedBody + 1
	if length := x.req.ContentLength; length >= 0 {
		limit = int(min(length, maxBufferedBody+1))
	}
	if limit > firstBodyBytes && !c.holdKernel() {
		return nil, errNoMemory
	}
	started := time.Now()
	buf := make([]byte, 0, min(firstBodyBytes, limit))
	for len(buf) < limit {
		if len(buf) == cap(buf) {
			size := min(bodyGrowth*cap(buf), limit)
			if !x.hold(int64(size - cap(buf))) {
				return nil, errNoMemory
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		// Each byte that has arrived extends the deadline by its time at BodyRate.
		earned := time.Duration(float64(len(buf)) / float64(c.s.limits.BodyRate) * float64(time.Second))
		if err := c.setReceiveDeadline(started.Add(limits.HeaderTimeout + earned)); err != nil {
			return nil, err
		}
		n, err := x.req.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF { //nolint:errorlint // io.Reader returns io.EOF itself
			break
		}
		if err != nil {
			if c.evicted.Load() {
				err = errNoMemory
			}
			return nil, err
		}
	}
	return buf, nil
}
