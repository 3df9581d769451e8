package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// lostRetransmits is the number of retransmissions in a row without an acknowledgement that shows a lost path. With the
// kernel's least timeout of 200 ms they take 0.6 s.
const lostRetransmits = 2

// pathLost reports whether the kernel waits in vain for the peer to acknowledge bytes or keep-alive probes. A peer that
// is merely slow, or reads nothing, still acknowledges.
func pathLost(nc net.Conn) bool {
	if secure, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = secure.NetConn()
	}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	lost := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err != nil {
			return
		}
		unanswered := info.Unacked > 0 && info.Retransmits >= lostRetransmits
		lost = unanswered || info.Unacked == 0 && info.Notsent_bytes == 0 && info.Probes >= lostRetransmits
	})
	return err == nil && lost
}
