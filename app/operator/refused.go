package operator

import (
	"errors"
	"syscall"
)

// isRefused reports whether err occurred before any byte of the request was sent.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
