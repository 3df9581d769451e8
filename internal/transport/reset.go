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

// checkOrderlyEnd returns an error if the connection broke, after a read has returned io.EOF. The kernel reports the failure of a
// connection once, to the first system call after it. If that was a write of the request, reads return io.EOF, as they do when the
// upstream closes in order. The request can't be written any further after this call.
func (c *conn) checkOrderlyEnd() error {
	if c.readReset {
		return syscall.ECONNRESET
	}
	err := c.stopWriting()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil // by stopWriting: the connection didn't fail
	}
	if errors.Is(err, syscall.EPIPE) {
		return nil // the connection was reset only after the upstream had marked the end of its response
	}
	return err
}

// IsReset reports whether the peer has reset the connection. A write after that fails with EPIPE.
func IsReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
