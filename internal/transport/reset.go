package transport

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// stopWriting ends the write in progress and fails later ones. It returns the error of the last write.
func (c *conn) stopWriting() error {
	_ = c.nc.SetWriteDeadline(time.Unix(1, 0))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.writeErr
}

// streamError returns the error that broke the connection, or nil if the upstream has ended the stream in order, after a read has returned
// io.EOF. The kernel reports the failure of a connection once, to the first system call after it. If that was a write of the request, reads
// return io.EOF in both cases. The request can't be written any further after this call.
func (c *conn) streamError() error {
	if c.readReset {
		return syscall.ECONNRESET
	}
	err := c.stopWriting()
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded): // by stopWriting
		return nil
	case errors.Is(err, syscall.EPIPE): // reset only after the upstream has ended the stream
		return nil
	}
	return err
}

// IsReset reports whether the peer has reset the connection. A write after that fails with EPIPE.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
