package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// link is a TCP proxy between callers and one target that can delay, hold, silence
// and reset connections.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	closed  bool
	conns   map[*linkConn]struct{}
	delay   time.Duration // of each read chunk, in both directions
	release chan struct{} // data from the target is held until it is closed; nil: it passes
}

// linkConn is one proxied connection.
type linkConn struct {
	link           *link
	caller, target *net.TCPConn
	silent         chan struct{} // when closed, all data is dropped while both sides stay open
	once           sync.Once
}

const (
	linkDelay  = 150 * time.Millisecond // below the timeouts of the plan, above the latency of a fast network
	linkBuffer = 16 << 10
)

// startLink starts a proxy to target. It listens on address; "127.0.0.1:0" selects a free
// port.
func startLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "link")
	}
	k := &link{listener: l, target: target, conns: make(map[*linkConn]struct{})}
	go k.accept(l)
	return k, nil
}

func (k *link) address() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listener.Addr().String()
}

// accept serves connections until the listener is closed.
func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // the listener is closed
		}
		go k.forward(c.(*net.TCPConn))
	}
}

// forward connects a caller to the target and forwards both directions until both end.
func (k *link) forward(caller *net.TCPConn) {
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = caller.SetLinger(0) // resets the connection, because the target does not accept any
		_ = caller.Close()
		return
	}
	c := &linkConn{link: k, caller: caller, target: t.(*net.TCPConn), silent: make(chan struct{})}
	k.mu.Lock()
	k.conns[c] = struct{}{}
	k.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { c.copyData(caller, c.target, false) })
	directions.Go(func() { c.copyData(c.target, caller, true) })
	directions.Wait()
	_ = caller.Close()
	_ = c.target.Close()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// copyData copies one direction until its end and closes the write side of to then.
func (c *linkConn) copyData(from, to *net.TCPConn, fromTarget bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		c.applyDelay(fromTarget)
		select {
		case <-c.silent:
			if err != nil {
				return
			}
			continue
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.CloseRead()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// applyDelay delays a chunk by the delay of the link. It holds a chunk from the target
// while holdAnswers is in effect.
func (c *linkConn) applyDelay(fromTarget bool) {
	k := c.link
	k.mu.Lock()
	delay, held := k.delay, k.release
	k.mu.Unlock()
	time.Sleep(delay)
	if fromTarget && held != nil {
		<-held
	}
}

// slow delays all chunks by linkDelay for the given length.
func (k *link) slow(length time.Duration) {
	k.setDelay(linkDelay)
	time.Sleep(length)
	k.setDelay(0)
}

// setDelay sets the delay of the chunks that are read from now on.
func (k *link) setDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// holdAnswers holds the data from the target for the given length and delivers it
// afterwards. It returns at once while another call is in effect.
func (k *link) holdAnswers(length time.Duration) {
	held := make(chan struct{})
	k.mu.Lock()
	if k.release != nil {
		k.mu.Unlock()
		return
	}
	k.release = held
	k.mu.Unlock()
	time.Sleep(length)
	k.mu.Lock()
	k.release = nil
	k.mu.Unlock()
	close(held)
}

// silence drops all further data of the open connections. New connections work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.once.Do(func() { close(c.silent) })
	}
}

// reset ends the open connections with a TCP reset.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		for _, side := range []*net.TCPConn{c.caller, c.target} {
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
}

// down refuses connections for the given length, after it has reset the open ones. It returns at once while another call is
// in effect.
func (k *link) down(length time.Duration) {
	k.mu.Lock()
	address, err := k.listener.Addr().String(), k.listener.Close()
	k.mu.Unlock()
	if err != nil {
		return
	}
	k.reset()
	time.Sleep(length)
	for !k.listenAgain(address) {
		time.Sleep(listenRetry)
	}
}

const listenRetry = 20 * time.Millisecond

// listenAgain reports whether the link listens again, or never will because it is closed.
func (k *link) listenAgain(address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		return true
	}
	l, err := net.Listen("tcp", address)
	if err == nil {
		k.listener = l
		go k.accept(l)
	}
	return err == nil
}

// close stops the listener and resets the open connections.
func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	_ = k.listener.Close()
	k.mu.Unlock()
	k.reset()
}
