// Package socket inspects and configures connections through socket system calls.
package socket

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// State is the state of a connection, as found without blocking and without
// consuming data.
type State uint8

// States of a connection.
const (
	Unknown  State = iota // the connection is not backed by a socket
	Closed                // the peer has closed the connection, or it failed
	Idle                  // open, no unread data
	Readable              // unread data is available
)

// Peek returns the state of a connection. It does not block and consumes no data.
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
			state = Readable
		case errors.Is(recvErr, syscall.EAGAIN) || errors.Is(recvErr, syscall.EINTR):
			state = Idle
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// WriteFailed reports whether the error of a write comes from the connection and not from a write
// deadline. The kernel reports such an error once: if a write got it, a concurrent read returns io.EOF
// instead, which then does not mean that the peer has ended the stream.
func WriteFailed(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall does not define.
const tcpUserTimeout = 0x12

// SetUserTimeout sets the longest time for which sent data may stay unacknowledged
// before the kernel closes a TCP connection. Without it, a partition is noticed only
// at the deadline of a request. Connections that are not TCP are left unchanged.
func SetUserTimeout(conn net.Conn, d time.Duration) error {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	return errors.Join(err, setErr)
}
