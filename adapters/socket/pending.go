package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Pending reports whether a connection waits to be accepted by a listener. It is false if that is not known.
func Pending(l net.Listener) bool { return poll(l, unix.POLLIN) }

// PeerClosed reports whether the peer has closed a connection, also behind data that was not read yet. It is false if that is not known.
func PeerClosed(conn net.Conn) bool { return poll(conn, unix.POLLRDHUP) }

// poll reports whether one of some events, or a failure, has occurred on a socket.
func poll(s any, events int16) bool {
	sc, ok := s.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	occurred := false
	err = raw.Control(func(fd uintptr) { occurred = has(int(fd), events) })
	return err == nil && occurred
}

// has is poll for a descriptor.
func has(fd int, events int16) bool {
	p := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
	_, err := unix.Poll(p[:], 0)
	return err == nil && p[0].Revents != 0
}
