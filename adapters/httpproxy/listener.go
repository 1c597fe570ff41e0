package httpproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// acceptQuiet is how long no connection must arrive before a listener that stops is closed. It covers the round
	// trip between regions, in which a handshake that has begun ends.
	acceptQuiet = 50 * time.Millisecond
	// maxAcceptTime bounds the wait for acceptQuiet, since clients may connect all the time without a response.
	maxAcceptTime = 500 * time.Millisecond
	// acceptRetryDelay is the time between attempts to accept while the process has no file descriptor left.
	acceptRetryDelay = 20 * time.Millisecond
)

// drainListener is a listener that stops without a reset of the connections that the process has not accepted yet.
// Their clients may have sent a request already, and could not tell whether it ran.
type drainListener struct {
	net.Listener
	server *Server

	lastAccept atomic.Int64 // Unix nanoseconds
	stopOnce   sync.Once
	stopping   atomic.Bool
	collected  chan struct{} // closed when the listener is closed and last is complete
	last       []*serverConn // connections that the kernel had established when the listener was closed

	endOnce sync.Once
	ended   chan struct{} // closed when Accept has returned an error
}

func newDrainListener(l net.Listener, s *Server) *drainListener {
	return &drainListener{Listener: l, server: s, collected: make(chan struct{}), ended: make(chan struct{})}
}

// Accept returns the next connection. Once the listener has stopped and every connection was returned, it
// returns io.EOF.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	for err != nil && isTransient(err) && !l.stopping.Load() {
		time.Sleep(acceptRetryDelay)
		c, err = l.Listener.Accept()
	}
	if err == nil {
		l.lastAccept.Store(time.Now().UnixNano())
		return l.server.newConn(c), nil
	}
	if l.stopping.Load() {
		<-l.collected
		if len(l.last) > 0 {
			next := l.last[0]
			l.last = l.last[1:]
			return next, nil
		}
		err = io.EOF
	}
	l.endOnce.Do(func() { close(l.ended) })
	return nil, err
}

// isTransient reports that a later Accept can succeed: the process or the system has no file descriptor or memory left,
// or the client has gone. The server would otherwise end for good.
func isTransient(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// stop closes the listener and returns when Accept has returned the last connection, or when the context ends.
func (l *drainListener) stop(ctx context.Context) {
	l.stopOnce.Do(func() {
		l.awaitQuiet(ctx)
		l.stopping.Store(true)
		for _, c := range l.closeEmpty() {
			l.last = append(l.last, l.server.newConn(c))
		}
		_ = l.Close()
		close(l.collected)
	})
	select {
	case <-l.ended:
	case <-ctx.Done():
	}
}

// awaitQuiet waits until no connection has arrived for acceptQuiet, at most for maxAcceptTime.
func (l *drainListener) awaitQuiet(ctx context.Context) {
	begin := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Since(begin) < maxAcceptTime && time.Since(time.Unix(0, l.lastAccept.Load())) < acceptQuiet {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// closeEmpty accepts all connections that the kernel has established, and stops the listener directly after the
// kernel has reported that there is no other.
func (l *drainListener) closeEmpty() []net.Conn {
	t, ok := l.Listener.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return nil
	}
	var accepted []int
	_ = raw.Control(func(fd uintptr) {
		for {
			n, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch err {
			case nil:
				accepted = append(accepted, n)
			case syscall.EINTR, syscall.ECONNABORTED:
			default:
				_ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) // as a close, but not delayed by an Accept that waits
				return
			}
		}
	})
	conns := make([]net.Conn, 0, len(accepted))
	for _, fd := range accepted {
		f := os.NewFile(uintptr(fd), "")
		if c, err := net.FileConn(f); err == nil {
			conns = append(conns, c)
		}
		_ = f.Close()
	}
	return conns
}
