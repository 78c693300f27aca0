package connguard

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection whose peer has closed it (include/net/tcp_states.h).
const (
	tcpClose     = 7
	tcpCloseWait = 8
	tcpLastAck   = 9
)

// PeerClosed reports whether the client has closed the connection, also if data that it has
// sent before is unread. It reports false if it can't tell.
func (c *Conn) PeerClosed() bool {
	if c == nil {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == tcpClose || info.State == tcpCloseWait || info.State == tcpLastAck)
	})
	return err != nil || closed
}
