package httpproxy

import (
	"math"
	"syscall"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
)

// Resources are the memory that the servers and the connection pools of a process share.
type Resources struct {
	account *memory.Account
	largest int // of all large bodies together
}

// NewResources returns resources whose connections, requests and responses count in an account. One request body may have
// largestBody bytes, if a service allows it.
func NewResources(a *memory.Account, largestBody int) *Resources {
	return &Resources{account: a, largest: largestBody}
}

// requestMemory bounds the bodies of the requests of a server that shares its memory with no other.
const requestMemory = 8 * maxBodyBytes

// newResources returns the resources of one server.
func newResources() *Resources {
	return NewResources(memory.NewAccount(2*requestMemory, requestMemory), requestMemory)
}

func (r *Resources) requests() *body.Memory { return body.NewSharedRequestMemory(r.largest, r.account) }

// responses returns the memory of the large responses of a pool, or of the pools of a gate.
func (r *Resources) responses() *body.Memory {
	if r == nil {
		return body.NewMemory(responseMemory)
	}
	return body.NewSharedMemory(responseMemory, r.account)
}

func (r *Resources) accountOrNil() *memory.Account {
	if r == nil {
		return nil
	}
	return r.account
}

// connBytes is the memory that is counted for an accepted connection: its goroutine and state, a read buffer of maxHeaderBytes and
// a write buffer of 4 KiB, and a request and a response with headers of the usual size and a response body of up to
// body.CoveredBytes.
const connBytes = 32 << 10

// maxConnections returns the number of connections that one server accepts: a third of the descriptors of the process. The entry
// and the gate of a node have one server each, and the rest is for connections to others.
func maxConnections() int64 {
	var r syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r); err != nil {
		return defaultConnections
	}
	return int64(min(r.Cur, math.MaxInt32) / 3)
}

// defaultConnections is a third of the usual limit of descriptors.
const defaultConnections = 1024 / 3
