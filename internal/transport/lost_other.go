//go:build !linux

package transport

import "net"

// pathLost reports nothing where the kernel's state of a connection isn't known.
func pathLost(net.Conn) bool { return false }
