package lifecycle

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// listenTimeout bounds the wait for an address that is still in use, such as by a process that
	// is being replaced and has not ended yet.
	listenTimeout = 2 * time.Second
	listenRetry   = 20 * time.Millisecond
)

// Listen listens on a TCP address. While the address is in use, it tries again for up to 2 s,
// and then returns the error of net.Listen. Other errors are returned at once.
func Listen(address string) (net.Listener, error) {
	deadline := time.Now().Add(listenTimeout)
	for {
		l, err := net.Listen("tcp", address)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, err
		}
		time.Sleep(listenRetry)
	}
}
