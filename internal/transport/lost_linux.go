package transport

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unreachableRetransmits is the number of consecutive unacknowledged retransmissions or keep-alive probes after which a
// peer is taken as unreachable. With the kernel's minimum retransmission timeout of 200 ms, 2 of them take 0.6 s.
const unreachableRetransmits = 2

// peerUnreachable reports whether the peer has stopped acknowledging data or keep-alive probes, according to TCP_INFO.
// A peer that is only slow, or doesn't read, still acknowledges them.
func peerUnreachable(nc net.Conn) bool {
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
		unanswered := info.Unacked > 0 && info.Retransmits >= unreachableRetransmits
		lost = unanswered || info.Unacked == 0 && info.Notsent_bytes == 0 && info.Probes >= unreachableRetransmits
	})
	return err == nil && lost
}
