package httpproxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/socket"
)

const (
	dialTimeout = time.Second
	// The idle time is shorter than the one of servers, so that the client closes first.
	poolIdleTimeout   = 30 * time.Second
	serverIdleTimeout = 90 * time.Second
)

// pool keeps connections per destination. It never sends a request twice.
type pool struct {
	localIP net.IP
	max     int // connections per destination
	memory  *body.Memory

	mu     sync.Mutex
	closed bool
	hosts  map[string]*hostConns
}

type hostConns struct {
	idle []*clientConn // the most recently used one is last
	open int
}

func newPool(localIP net.IP, maxPerHost int) *pool {
	return &pool{localIP: localIP, max: maxPerHost, memory: body.NewMemory(responseMemory), hosts: make(map[string]*hostConns)}
}

// do sends the request once over an idle or a new connection.
func (p *pool) do(address string, x *exchange) *exchangeError {
	c, failure := p.acquire(address, x.deadline)
	if failure != nil {
		return failure
	}
	reusable, failure := c.roundTrip(x)
	if reusable && failure == nil {
		p.release(address, c)
		return nil
	}
	p.discard(address, c)
	return failure
}

func (p *pool) acquire(address string, deadline time.Time) (*clientConn, *exchangeError) {
	for {
		c, mayDial := p.take(address)
		if c == nil && !mayDial {
			return nil, &exchangeError{reason: ReasonNoConnection, err: errTooManyCon}
		}
		if c == nil {
			return p.dial(address, deadline)
		}
		if time.Since(c.idleSince) < poolIdleTimeout && socket.Peek(c.conn) == socket.Idle {
			return c, nil
		}
		p.discard(address, c)
	}
}

func (p *pool) take(address string) (c *clientConn, mayDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &hostConns{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		c = h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, false
	}
	if h.open >= p.max {
		return nil, false
	}
	h.open++
	return nil, true
}

func (p *pool) dial(address string, deadline time.Time) (*clientConn, *exchangeError) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline}
	if p.localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		p.forget(address)
		failure := notSent(err)
		failure.reason = ReasonNoConnection
		failure.refused = errors.Is(err, syscall.ECONNREFUSED)
		if time.Until(deadline) <= 0 {
			failure.reason = ReasonDeadlineBefore
		}
		return nil, failure
	}
	return newClientConn(conn, p.memory), nil
}

func (p *pool) release(address string, c *clientConn) {
	c.idleSince = time.Now()
	_ = c.conn.SetDeadline(time.Time{}) // an expired deadline would hide late data from isQuiet
	p.mu.Lock()
	h := p.hosts[address]
	if !p.closed && h != nil {
		h.idle = append(h.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(address, c)
}

func (p *pool) discard(address string, c *clientConn) {
	_ = c.conn.Close()
	p.forget(address)
}

func (p *pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.open--
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// closeIdle ends the idle connections to destinations that are not kept and
// those that were idle for too long.
func (p *pool) closeIdle(keep func(address string) bool) {
	var closing []*clientConn
	p.mu.Lock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if keep(address) && time.Since(c.idleSince) < poolIdleTimeout {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
			h.open--
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.conn.Close()
	}
}

// close ends all idle connections; connections in use end with their request.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(func(string) bool { return false })
}
