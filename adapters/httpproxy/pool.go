package httpproxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/socket"
)

const (
	dialTimeout = time.Second
	// poolIdleTimeout is shorter than serverIdleTimeout, so that the client closes idle connections first.
	poolIdleTimeout   = 30 * time.Second
	serverIdleTimeout = 90 * time.Second
)

// pool keeps connections per destination and bounds their number. It never sends a request twice.
type pool struct {
	localIP net.IP
	max     int // connections per destination
	memory  *body.Memory
	account *memory.Account // of the buffers of connections; nil: they are not counted

	mu     sync.Mutex
	closed bool
	hosts  map[string]*hostConns
}

type hostConns struct {
	idle []*clientConn // the most recently used connection is last
	open int           // idle connections and those in use
}

func newPool(localIP net.IP, maxPerHost int) *pool {
	return newSharedPool(localIP, maxPerHost, body.NewMemory(responseMemory), nil)
}

// newSharedPool is newPool for a pool whose large responses share the limit of m, and whose connections count in an account.
func newSharedPool(localIP net.IP, maxPerHost int, m *body.Memory, account *memory.Account) *pool {
	return &pool{localIP: localIP, max: maxPerHost, memory: m, account: account, hosts: make(map[string]*hostConns)}
}

// do sends the request once over an idle or a new connection and reads its response. It returns nil on success.
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
		c, mayDial := p.idleOrReserve(address)
		if c == nil && !mayDial {
			return nil, &exchangeError{reason: ReasonNoConnection, err: errTooManyConns}
		}
		if c == nil {
			return p.dial(address, deadline)
		}
		if c.claim() && time.Since(c.idleSince) < poolIdleTimeout && socket.Peek(c.conn) == socket.Idle {
			return c, nil
		}
		p.discard(address, c)
	}
}

// idleOrReserve returns the most recently used idle connection. If there is none, mayDial
// reports that a new connection may be dialed, which is then already counted as open.
func (p *pool) idleOrReserve(address string) (c *clientConn, mayDial bool) {
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
	c := newClientConn(nil, p.memory)
	if !p.hold(address, c, deadline) {
		p.decrementOpen(address)
		return nil, &exchangeError{reason: ReasonNoMemory, err: errNoMemory}
	}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		c.releaseMemory()
		p.decrementOpen(address)
		failure := notSent(err)
		failure.reason = ReasonNoConnection
		failure.refused = errors.Is(err, syscall.ECONNREFUSED)
		if time.Until(deadline) <= 0 {
			failure.reason = ReasonDeadlineBeforeStart
		}
		return nil, failure
	}
	c.attach(conn)
	return c, nil
}

func (p *pool) release(address string, c *clientConn) {
	c.idleSince = time.Now()
	_ = c.conn.SetDeadline(time.Time{}) // socket.Peek would not see late data after an expired deadline
	p.mu.Lock()
	h := p.hosts[address]
	if !p.closed && h != nil {
		h.idle = append(h.idle, c)
		c.markSpare() // under the lock, so that giveUp finds the connection
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(address, c)
}

func (p *pool) discard(address string, c *clientConn) {
	c.close()
	p.decrementOpen(address)
}

func (p *pool) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.open--
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// closeIdle closes idle connections that exceeded poolIdleTimeout and those to
// destinations for which keep returns false.
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
		c.close()
	}
}

// close closes all idle connections. Connections in use are closed at the end of their request.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle(func(string) bool { return false })
}
