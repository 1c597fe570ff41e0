package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Values of the route that clients use.
const (
	routeHost   = "ficu95.example"
	routePrefix = "/lohu930/"
	timeLimit   = 2500 * time.Millisecond
)

// clients sends requests at the hosts of nodes.
type clients struct {
	site    *site
	wait    sync.WaitGroup
	counter atomic.Uint64

	mu   sync.Mutex
	sent map[string]sentRequest // by id
}

type sentRequest struct {
	at   time.Time
	from *host
}

// start sends requests from a host at an interval until the context ends.
func (c *clients) start(ctx context.Context, h *host, interval time.Duration) {
	c.wait.Go(func() {
		transport := &http.Transport{MaxIdleConnsPerHost: 64}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport, Timeout: timeLimit}
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				c.wait.Go(func() { c.send(client, h) })
			}
		}
	})
}

func (c *clients) send(client *http.Client, h *host) {
	id := fmt.Sprintf("%016x", c.counter.Add(1))
	r, err := http.NewRequest(http.MethodGet, "http://"+h.address(offsetOutbound)+routePrefix+id, nil)
	if err != nil {
		return
	}
	r.Host = routeHost
	r.Header.Set(wire.ID, id)
	r.Header.Set(wire.Deadline, strconv.FormatInt(timeLimit.Milliseconds(), 10))
	c.mu.Lock()
	c.sent[id] = sentRequest{at: time.Now(), from: h}
	c.mu.Unlock()
	c.site.record.log("client on %s: sends %s", h.name, id)
	resp, err := client.Do(r)
	if err != nil {
		c.site.record.log("client on %s: %s has no answer", h.name, id)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	c.site.record.log("client on %s: %s answered with %d, complete: %t", h.name, id, resp.StatusCode, err == nil)
}

// request returns a request that was sent.
func (c *clients) request(id string) sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}
