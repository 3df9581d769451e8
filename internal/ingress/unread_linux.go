package ingress

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unreadBytes returns the bytes that were written to a connection and that its peer has not acknowledged.
func unreadBytes(nc net.Conn) int64 {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	queued := 0
	err = raw.Control(func(fd uintptr) { queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0 // the connection is closed
	}
	return int64(queued)
}
