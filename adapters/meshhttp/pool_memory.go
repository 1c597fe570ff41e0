package meshhttp

import (
	"errors"
	"slices"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
)

// errNoMemory means that the account has no room for the buffers of a connection.
var errNoMemory = errors.New("no memory for the connection")

// CountIn counts the buffers of the connections in an account. If it has no room, idle connections are closed for it, those of
// all pools that share it. It must be called before the first use.
func (p *Pool) CountIn(a *memory.Account) { p.account = a }

// hold takes the memory of a new connection from the account. The holder is nil if nothing is counted.
func (p *Pool) hold(address string, c *clientConn, deadline time.Time) error {
	if p.account == nil {
		return nil
	}
	c.holder = p.account.NewHolder("", "", time.Now(), func() { p.giveUp(address, c) })
	if !body.TakeWithin(p.account, c.holder, clientConnBytes, false, time.Until(deadline)) {
		c.holder.Release()
		return errNoMemory
	}
	return nil
}

// takeWriteBuffer takes the memory of a write buffer beyond that which each connection has.
func (p *Pool) takeWriteBuffer(c *clientConn, bytes int, deadline time.Time) bool {
	return c.holder == nil || bytes <= coveredWriteBytes ||
		body.TakeWithin(p.account, c.holder, int64(bytes-coveredWriteBytes), false, time.Until(deadline))
}

func (p *Pool) returnWriteBuffer(c *clientConn, bytes int) {
	if c.holder != nil && bytes > coveredWriteBytes {
		c.holder.Add(int64(coveredWriteBytes-bytes), false, time.Time{})
	}
}

// giveUp closes an idle connection, so that its memory is released. One that has been taken for a request meanwhile is closed by
// claim.
func (p *Pool) giveUp(address string, c *clientConn) {
	p.mu.Lock()
	list := p.idle[address]
	i := slices.Index(list, c)
	if i >= 0 {
		p.idle[address] = slices.Delete(list, i, i+1)
	}
	p.mu.Unlock()
	if i >= 0 {
		p.close(c)
	}
}

// claim marks a connection that was taken from the idle ones as in use. It returns false if the connection has to give way.
func (c *clientConn) claim(now time.Time) bool {
	if c.holder == nil {
		return true
	}
	c.holder.SetState(memory.Busy, now)
	return !c.holder.Evicted()
}
