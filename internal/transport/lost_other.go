//go:build !linux

package transport

import "net"

// peerUnreachable always returns false: the kernel's TCP state is only read on Linux.
func peerUnreachable(net.Conn) bool { return false }
