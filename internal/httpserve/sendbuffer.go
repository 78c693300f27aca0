package httpserve

import (
	"sync"

	"golang.org/x/sys/unix"
)

// wantedSendBuffer is the size of a send buffer that holds any response. The system allows less,
// see net.core.wmem_max.
const wantedSendBuffer = 16 << 20

// maxSendBuffer returns the largest size of a send buffer that the system allows, as it counts
// it, 0 if unknown.
var maxSendBuffer = sync.OnceValue(func() int {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0
	}
	defer func() { _ = unix.Close(fd) }()
	if unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, wantedSendBuffer) != nil {
		return 0
	}
	size, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF)
	if err != nil {
		return 0
	}
	return size
})

// growSendBuffer sets the size of the send buffer to the largest one, once. It does not shrink
// a buffer that the system has made larger by itself.
func (c *conn) growSendBuffer() {
	if c.grown.Swap(true) {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF)
		if err == nil && size < maxSendBuffer() {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, wantedSendBuffer)
		}
	})
}
