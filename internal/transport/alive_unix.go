//go:build unix

package transport

import (
	"crypto/tls"
	"syscall"
)

// alive reports whether an idle connection is usable: the peer hasn't closed it, and no unsolicited bytes
// have arrived. A connection without a file descriptor is assumed to be usable.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	nc := c.nc
	secure, isTLS := nc.(*tls.Conn)
	if isTLS {
		nc = secure.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, readErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK)
		quiet := readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		// TLS 1.3 peers send session tickets after the handshake, so pending bytes are expected before the first response.
		// After it, they are the close_notify alert of a peer that closes the connection.
		usable = quiet || isTLS && !c.used && readErr == nil && n > 0
		return true
	})
	return err == nil && usable
}
