package rpc

import (
	"sync"

	"connectrpc.com/connect"
)

const (
	// compressMinBytes is the size from which responses are compressed. connect
	// compresses every response by default. That enlarges messages of a few bytes and
	// took a third of the CPU time and three quarters of the memory of a node.
	compressMinBytes = 1024
	// maxCachedClients bounds a Cache. A full cache is cleared, which also drops the
	// clients of nodes that no longer exist.
	maxCachedClients = 2048
)

// LargeMessageCompression returns the option for handlers of services with mostly small
// messages: only responses of 1 KiB or more are compressed.
func LargeMessageCompression() connect.HandlerOption {
	return connect.WithCompressMinBytes(compressMinBytes)
}

// NoCompression returns the option for handlers of services whose payloads are
// already compressed.
func NoCompression() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

// Cache keeps one connect client per address, because creating a client costs
// more than a small call. It is safe for concurrent use.
type Cache[T any] struct {
	create func(address string) T

	mu      sync.Mutex
	clients map[string]T
}

// NewCache returns a cache of the clients that create returns; create usually calls
// a generated constructor.
func NewCache[T any](create func(address string) T) *Cache[T] {
	return &Cache[T]{create: create, clients: make(map[string]T)}
}

// Get returns the client of an address (IP:port) and creates it if necessary.
func (c *Cache[T]) Get(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		if len(c.clients) >= maxCachedClients {
			clear(c.clients)
		}
		client = c.create(address)
		c.clients[address] = client
	}
	return client
}
