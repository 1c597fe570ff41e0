package httpproxy

import (
	"errors"
	"slices"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
)

var errNoMemory = errors.New("no memory for the connection")

// poolConnBytes is the memory that is counted for a connection to a gate or an upstream: its buffers and its state.
const poolConnBytes = maxHeaderBytes + writeBufferBytes + 1<<10

// hold takes the memory of a new connection. Idle connections are closed for it. It returns false if there is no room.
func (p *pool) hold(address string, c *clientConn, deadline time.Time) bool {
	if p.account == nil {
		return true
	}
	c.holder = p.account.NewHolder("", "", time.Now(), func() { p.giveUp(address, c) })
	if !body.TakeWithin(p.account, c.holder, poolConnBytes, false, time.Until(deadline)) {
		c.releaseMemory()
		return false
	}
	return true
}

// giveUp closes an idle connection, so that its memory is released. One that has been taken for a call meanwhile is closed by
// acquire.
func (p *pool) giveUp(address string, c *clientConn) {
	p.mu.Lock()
	h, i := p.hosts[address], -1
	if h != nil {
		i = slices.Index(h.idle, c)
	}
	if i >= 0 {
		h.idle = slices.Delete(h.idle, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		p.discard(address, c)
	}
}

// claim marks a connection that was idle as in use. It returns false if the connection has to give way.
func (c *clientConn) claim() bool {
	if c.holder == nil {
		return true
	}
	c.holder.SetState(memory.Busy, time.Now())
	return !c.holder.Evicted()
}

func (c *clientConn) markSpare() {
	if c.holder != nil {
		c.holder.SetState(memory.Spare, c.idleSince)
	}
}

func (c *clientConn) releaseMemory() {
	if c.holder != nil {
		c.holder.Release()
	}
}

func (c *clientConn) close() {
	_ = c.conn.Close()
	c.releaseMemory()
}

// responseLease returns a lease for the body of the response, which counts for the client of the exchange.
func (x *exchange) responseLease(m *body.Memory) *body.Lease {
	if x.client == nil {
		return m.Lease()
	}
	return m.LeaseFor(x.client.holder)
}

// keepLease keeps the memory of a response until it is written, in place of that of an earlier one.
func (c *serverConn) keepLease(l *body.Lease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLeaseLocked()
	c.responseLease = l
}

func (c *serverConn) releaseLeaseLocked() {
	if c.responseLease != nil {
		c.responseLease.Release()
		c.responseLease = nil
	}
}
