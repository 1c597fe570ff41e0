package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending reports whether a connection waits to be accepted. It is false if that is not known.
func Pending(l net.Listener) bool {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(p, 0)
		pending = pollErr == nil && n > 0
	})
	return err == nil && pending
}
