package httpproxy

import (
	"time"

	"github.com/rattanfield/rattanfield/adapters/memory"
)

// setState tells the accounts how far the connection may give way.
func (c *serverConn) setState(s memory.State) {
	now := time.Now()
	c.slot.SetState(s, now)
	c.holder.SetState(s, now)
}

// giveWay ends the read of a request, which is then rejected as not run. Otherwise it closes the connection, whose client may be
// idle or may not read a response.
func (c *serverConn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gaveWay = true
	if c.busy && !c.answered && !c.handled && !c.closing {
		_ = c.Conn.SetReadDeadline(passed)
		return
	}
	_ = c.Conn.Close()
	if !c.busy { // otherwise Close releases what it holds
		c.holder.Release()
	}
}

// passed is a deadline that has passed.
var passed = time.Unix(1, 0)

func (c *serverConn) hasGivenWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveWay
}

// SetReadDeadline sets the deadline of reads, unless the connection gives way.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gaveWay {
		t = passed
	}
	return c.Conn.SetReadDeadline(t)
}

// writePart is the most that is written at once, so that a client that reads slowly differs from one that does not read.
const writePart = 64 << 10

// Write writes in parts.
func (c *serverConn) Write(b []byte) (written int, err error) {
	for err == nil && written < len(b) {
		var n int
		n, err = c.Conn.Write(b[written:min(len(b), written+writePart)])
		written += n
		c.holder.Touch(time.Now())
	}
	return written, err
}
