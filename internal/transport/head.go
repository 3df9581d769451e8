package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"boragehinge.example/boragehinge/internal/responsecheck"
)

// readBufferSize is the size in bytes of the read buffer of a connection. It grows for larger response headers.
const readBufferSize = 4 << 10

// checkHeader waits for the header of the next response and checks its lines as they arrive. It consumes nothing, so the header is
// buffered afterwards.
func (c *conn) checkHeader() error {
	var head responsecheck.Head
	checked := 0
	for {
		buffered, _ := c.br.Peek(c.br.Buffered()) // never fails
		n, end, err := head.Check(buffered[checked:])
		if err != nil {
			return err
		}
		if end {
			return nil
		}
		checked += n
		if err := c.bufferMore(); err != nil {
			return err
		}
	}
}

// bufferMore reads at least one byte behind those that are buffered. It enlarges a full buffer.
func (c *conn) bufferMore() error {
	n := c.br.Buffered()
	if n == c.br.Size() {
		buffered, _ := c.br.Peek(n) // never fails
		c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(buffered), (*connReader)(c)), 2*n)
	}
	_, err := c.br.Peek(n + 1)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// shrinkBuffer replaces a read buffer that was enlarged. Nothing may be buffered.
func (c *conn) shrinkBuffer() {
	if c.br.Size() > readBufferSize {
		c.br = bufio.NewReaderSize((*connReader)(c), readBufferSize)
	}
}
