// Package socket looks at connections below the level of reads and writes.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// State of a connection, seen without reading from it and without waiting.
type State uint8

// States of a connection.
const (
	Unknown State = iota // not backed by a socket
	Closed
	Quiet // open, without unread data
	Data  // there is unread data
)

// Peek looks at a connection.
func Peek(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Data
		case errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EINTR):
			state = Quiet
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 0x12

// SetUserTimeout bounds how long bytes stay unacknowledged on a TCP connection.
// Without it a partition shows at the deadline of a request instead.
func SetUserTimeout(conn net.Conn, d time.Duration) error {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	return errors.Join(err, set)
}
