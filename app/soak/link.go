package soak

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// link passes connections on to a target and disturbs them from outside.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	conns   map[*linkConn]struct{}
	delay   time.Duration // of each piece, in both directions
	answers chan struct{} // answers are held until it is closed; nil: they pass
}

// linkConn is one connection with its two sides.
type linkConn struct {
	link           *link
	caller, target *net.TCPConn
	silent         chan struct{} // closed: nothing passes any more, and neither side is closed
	once           sync.Once
}

const (
	linkDelay  = 150 * time.Millisecond // below the time limits of the plan, above those of a fast network
	linkBuffer = 16 << 10
)

// startLink listens on an address, "127.0.0.1:0" for a free one.
func startLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "link")
	}
	k := &link{listener: l, target: target, conns: make(map[*linkConn]struct{})}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return // closed
		}
		go k.carry(c.(*net.TCPConn))
	}
}

func (k *link) carry(caller *net.TCPConn) {
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		_ = caller.SetLinger(0) // the caller sees that nobody listens
		_ = caller.Close()
		return
	}
	c := &linkConn{link: k, caller: caller, target: t.(*net.TCPConn), silent: make(chan struct{})}
	k.mu.Lock()
	k.conns[c] = struct{}{}
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { c.pass(caller, c.target, false) })
	both.Go(func() { c.pass(c.target, caller, true) })
	both.Wait()
	_ = caller.Close()
	_ = c.target.Close()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

// pass copies one direction until its end, which it passes on too.
func (c *linkConn) pass(from, to *net.TCPConn, answers bool) {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buffer)
		c.wait(answers)
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

// wait holds a piece as long as the link asks for.
func (c *linkConn) wait(answers bool) {
	k := c.link
	k.mu.Lock()
	delay, held := k.delay, k.answers
	k.mu.Unlock()
	time.Sleep(delay)
	if answers && held != nil {
		<-held
	}
}

// slow delays everything for a time.
func (k *link) slow(length time.Duration) {
	k.setDelay(linkDelay)
	time.Sleep(length)
	k.setDelay(0)
}

func (k *link) setDelay(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.delay = d
}

// holdAnswers cuts the way back for a time; what was held arrives then.
func (k *link) holdAnswers(length time.Duration) {
	held := make(chan struct{})
	k.mu.Lock()
	if k.answers != nil {
		k.mu.Unlock()
		return
	}
	k.answers = held
	k.mu.Unlock()
	time.Sleep(length)
	k.mu.Lock()
	k.answers = nil
	k.mu.Unlock()
	close(held)
}

// silence lets the open connections pass nothing any more; new ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.once.Do(func() { close(c.silent) })
	}
}

// reset ends the open connections without notice.
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

func (k *link) close() {
	_ = k.listener.Close()
	k.reset()
}
