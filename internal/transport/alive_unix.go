//go:build unix

package transport

import "syscall"

// alive reports whether an idle connection is usable: the peer hasn't closed it, and no bytes arrived that belong to no
// request. A connection that isn't backed by a descriptor is taken as usable.
func (c *conn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), buf[:])
		quiet = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
