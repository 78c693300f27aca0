package httpserve

import (
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// readable reports whether a connection has unread data or a listener has a connection that
// waits to be accepted. It reports false if it can't tell.
func readable(conn any) bool {
	sc, ok := unwrap(conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = pollIn(int(fd)) })
	return err == nil && ready
}

func pollIn(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
		}
	}
}

// unwrap returns the connection below those that wrap it.
func unwrap(conn any) any {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}
