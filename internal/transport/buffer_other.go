//go:build !unix

package transport

import "syscall"

// receiveBufferControl returns nil: the receive buffer keeps the system's size.
func receiveBufferControl(int) func(network, address string, raw syscall.RawConn) error { return nil }
