package meshhttp

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/socket"
)

// Pool keeps idle connections per destination. It never sends a request twice.
type Pool struct {
	localIP net.IP
	memory  *body.Memory
	account *memory.Account // of the buffers of connections, see CountIn; nil: they are not counted

	slots   chan struct{} // holds a value for each open connection; nil: they are not bounded
	waiting atomic.Int64  // calls that wait for a slot
	ended   atomic.Uint64 // see EndedBeforeSend

	mu   sync.Mutex
	idle map[string][]*clientConn // by address; the most recently used connection is last
}

// Limit bounds the open connections. Calls that need a new one wait until another one ends; idle ones are closed for them. It
// must be called before the first use.
func (p *Pool) Limit(connections int) { p.slots = make(chan struct{}, connections) }

// takeSlot waits for the slot of a new connection.
func (p *Pool) takeSlot(ctx context.Context, deadline time.Time) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	p.closeOldestIdle()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-timer.C:
		return errNoSlot
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

var errNoSlot = errors.New("too many connections are open")

// closeOldestIdle closes the connection that has been idle for the longest time.
func (p *Pool) closeOldestIdle() {
	p.mu.Lock()
	oldest := ""
	for address, list := range p.idle {
		if len(list) > 0 && (oldest == "" || list[0].idleSince.Before(p.idle[oldest][0].idleSince)) {
			oldest = address
		}
	}
	if oldest == "" {
		p.mu.Unlock()
		return
	}
	c := p.idle[oldest][0]
	p.idle[oldest] = p.idle[oldest][1:]
	p.mu.Unlock()
	p.close(c)
}

// close closes a connection and returns its slot and its memory.
func (p *Pool) close(c *clientConn) {
	_ = c.nc.Close()
	p.returnSlot()
	if c.holder != nil {
		c.holder.Release()
	}
}

func (p *Pool) returnSlot() {
	if p.slots != nil {
		<-p.slots
	}
}

// NewPool returns an empty pool. Its connections use localIP as their source address;
// nil lets the system choose. Large response bodies share the memory limit of m.
func NewPool(localIP net.IP, m *body.Memory) *Pool {
	return &Pool{localIP: localIP, memory: m, idle: make(map[string][]*clientConn)}
}

// Lease returns a lease of the memory for large response bodies.
func (p *Pool) Lease() *body.Lease { return p.memory.Lease() }

// Do sends the request of a call once, over an idle or a new connection, and reads its
// response until the deadline of the call or the end of the context. It sends nothing if the context has ended.
func (p *Pool) Do(ctx context.Context, address string, call *Call) Outcome {
	if ctx.Err() != nil {
		return p.callEnded(ctx)
	}
	c := p.getIdle(address, call.RecentlyUsedOnly)
	if c == nil {
		start := time.Now()
		var err error
		if c, err = p.dial(ctx, address, call.Deadline); err != nil {
			ended, tooLate := ctx.Err() != nil, isTimeout(err) && call.Deadline.Before(start.Add(connectTime))
			return Outcome{
				Failure: NotSent, Err: err, Refused: errors.Is(err, syscall.ECONNREFUSED), NoMemory: errors.Is(err, errNoMemory),
				Ended: ended, Abandoned: ended || tooLate || errors.Is(err, errNoSlot),
			}
		}
	}
	written := writeBufferBytes(call)
	if !p.takeWriteBuffer(c, written, call.Deadline) {
		p.close(c)
		return Outcome{Failure: NotSent, Err: errNoMemory, NoMemory: true}
	}
	out := Outcome{Reused: c.used}
	var keep bool
	l := call.Lease
	if l == nil {
		l = p.memory.Lease()
		defer l.Release()
	}
	if ctx.Err() != nil { // while a connection was opened or memory was awaited
		p.close(c)
		return p.callEnded(ctx)
	}
	keep, out.Failure, out.Err = c.roundTrip(ctx, call, l)
	out.Unconfirmed, out.Incomplete = out.Failure == Answered && !c.confirmed, c.cut
	p.returnWriteBuffer(c, written)
	if keep {
		p.putIdle(address, c)
	} else {
		p.close(c)
	}
	return out
}

// callEnded returns the outcome of a call whose context ended before it was sent.
func (p *Pool) callEnded(ctx context.Context) Outcome {
	p.ended.Add(1)
	return Outcome{Failure: NotSent, Err: context.Cause(ctx), Ended: true, Abandoned: true}
}

// EndedBeforeSend returns the number of calls that were not sent because their context had ended.
func (p *Pool) EndedBeforeSend() uint64 { return p.ended.Load() }

// Preconnect opens a connection to a destination and adds it to the pool. It returns an error
// if the destination does not accept a connection within 400 ms.
func (p *Pool) Preconnect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address, time.Now().Add(dialTimeout))
	if err != nil {
		return err
	}
	p.putIdle(address, c)
	return nil
}

const (
	// refusalAttempts is the number of connections that Refuses opens at most, and settleTime the time after which a
	// connection is looked at: a process that ends may still accept one and close it.
	refusalAttempts = 3
	settleTime      = 3 * time.Millisecond
)

// Refuses reports whether connections to a destination are refused, which on the same host shows that no process listens
// there. A connection that stays open is added to the pool.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	for range refusalAttempts {
		c, err := p.dial(ctx, address, time.Now().Add(dialTimeout))
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		time.Sleep(settleTime)
		if socket.Peek(c.nc) == socket.Idle {
			p.putIdle(address, c)
			return false
		}
		p.close(c)
	}
	return false
}

func (p *Pool) getIdle(address string, fresh bool) *clientConn {
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		now := time.Now()
		idle := now.Sub(c.idleSince)
		if c.claim(now) && idle < c.maxIdle && (!fresh || idle < freshIdleLimit) && socket.Peek(c.nc) == socket.Idle {
			return c
		}
		p.close(c)
	}
}

func (p *Pool) putIdle(address string, c *clientConn) {
	if p.waiting.Load() > 0 {
		p.close(c) // another call gets its slot
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
	if c.holder != nil { // under the lock, so that giveUp finds the connection
		c.holder.SetState(memory.Spare, c.idleSince)
	}
}

// CloseIdle closes idle connections that exceeded their idle limit and those to
// destinations for which keep returns false.
func (p *Pool) CloseIdle(keep func(address string) bool) {
	var closing []*clientConn
	now := time.Now()
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Sub(c.idleSince) < c.maxIdle {
				kept = append(kept, c)
			} else {
				closing = append(closing, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		p.close(c)
	}
}

func (p *Pool) dial(ctx context.Context, address string, deadline time.Time) (*clientConn, error) {
	d := net.Dialer{Timeout: dialTimeout, Deadline: deadline, KeepAliveConfig: keepAlive}
	if p.localIP != nil {
		d.LocalAddr = &net.TCPAddr{IP: p.localIP}
	}
	if p.slots != nil {
		if err := p.takeSlot(ctx, deadline); err != nil {
			return nil, err
		}
	}
	c := &clientConn{maxIdle: idleLimit}
	if err := p.hold(address, c, deadline); err != nil {
		p.returnSlot()
		return nil, err
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		p.returnSlot()
		if c.holder != nil {
			c.holder.Release()
		}
		return nil, err
	}
	_ = socket.SetUserTimeout(nc, userTimeout) // without it, a partition shows only at the deadline
	c.nc, c.br = nc, bufio.NewReaderSize(nc, clientBufferBytes)
	return c, nil
}
