package rpc

import (
	"sync"

	"connectrpc.com/connect"
)

const (
	// compressFrom is the size from which responses are compressed. connect
	// compresses every response by default; for messages of a few bytes that grows
	// them and took a third of the CPU time and three quarters of the memory of a node.
	compressFrom = 1024
	// maxCached bounds a Cache; addresses of nodes that are gone are dropped with the rest.
	maxCached = 2048
)

// HandlerOptions for services with mostly small messages.
func HandlerOptions() connect.HandlerOption { return connect.WithCompressMinBytes(compressFrom) }

// NoCompression for services whose payloads are compressed already.
func NoCompression() connect.HandlerOption { return connect.WithCompression("gzip", nil, nil) }

// Cache keeps one connect client per address, because making one costs more
// than a small call.
type Cache[T any] struct {
	create func(address string) T

	mu      sync.Mutex
	clients map[string]T
}

// NewCache returns a cache of what create makes, usually a generated constructor.
func NewCache[T any](create func(address string) T) *Cache[T] {
	return &Cache[T]{create: create, clients: make(map[string]T)}
}

// Get returns the client of an address.
func (c *Cache[T]) Get(address string) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		if len(c.clients) >= maxCached {
			clear(c.clients)
		}
		client = c.create(address)
		c.clients[address] = client
	}
	return client
}
