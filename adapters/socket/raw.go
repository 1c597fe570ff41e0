package socket

import (
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Raw is an accepted connection that is not registered with the runtime. Its methods do not block. A connection that is closed soon costs
// a fraction of the system calls of a net.Conn this way.
type Raw struct {
	fd     int
	Remote net.Addr
}

// AcceptRaw accepts a connection. ok is false if none waits or if l is no TCP listener; an error is returned by the next
// Accept of the listener as well.
func AcceptRaw(l net.Listener) (r Raw, ok bool) {
	t, isTCP := l.(*net.TCPListener)
	if !isTCP {
		return Raw{}, false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return Raw{}, false
	}
	var from syscall.Sockaddr
	var acceptErr error
	err = raw.Control(func(fd uintptr) {
		r.fd, from, acceptErr = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err != nil || acceptErr != nil {
		return Raw{}, false
	}
	switch a := from.(type) {
	case *syscall.SockaddrInet4:
		r.Remote = &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	case *syscall.SockaddrInet6:
		r.Remote = &net.TCPAddr{IP: a.Addr[:], Port: a.Port}
	}
	return r, true
}

// Peek copies the data that has arrived to b and leaves it there. closed reports that the peer has closed the connection, also
// behind data, or that it failed.
func (r Raw) Peek(b []byte) (n int, closed bool) {
	if has(r.fd, unix.POLLRDHUP) {
		return 0, true
	}
	n, _, err := syscall.Recvfrom(r.fd, b, syscall.MSG_PEEK)
	return max(0, n), err != nil && err != syscall.EAGAIN && err != syscall.EINTR
}

// Answer writes an answer after it has discarded n bytes that have arrived, at most len(scratch), so that a close is no reset. It
// returns false if the answer was not written.
func (r Raw) Answer(n int, scratch, answer []byte) bool {
	if _, _, err := syscall.Recvfrom(r.fd, scratch[:n], 0); err != nil {
		return false
	}
	written, err := syscall.SendmsgN(r.fd, answer, nil, nil, syscall.MSG_NOSIGNAL)
	return err == nil && written == len(answer)
}

// Close closes the connection.
func (r Raw) Close() { _ = syscall.Close(r.fd) }

// Conn returns the connection as a net.Conn. The Raw must not be used any more, also after an error.
func (r Raw) Conn() (net.Conn, error) {
	f := os.NewFile(uintptr(r.fd), "")
	defer func() { _ = f.Close() }()
	return net.FileConn(f) // has a descriptor of its own
}
