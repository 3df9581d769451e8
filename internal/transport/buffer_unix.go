//go:build unix

package transport

import (
	"errors"
	"syscall"
)

// receiveBufferControl returns a net.Dialer.Control that fixes the kernel's receive buffer, or nil if size is 0.
func receiveBufferControl(size int) func(network, address string, raw syscall.RawConn) error {
	if size == 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) { set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
		return errors.Join(err, set)
	}
}
