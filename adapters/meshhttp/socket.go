package meshhttp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 0x12

// keepAlive notices a peer that is gone while a response is awaited.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 2}

// setUserTimeout bounds how long bytes stay unacknowledged on a connection.
func setUserTimeout(nc net.Conn) {
	t, ok := nc.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	// Without the option a partition shows at the deadline of the request instead.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
}

// isQuiet reports an open connection without unread data. Data on an idle
// connection belongs to no request; the connection is out of step.
func isQuiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && (errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EINTR))
	})
	return err == nil && quiet
}
