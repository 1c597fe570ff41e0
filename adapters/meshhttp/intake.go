package meshhttp

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"runtime"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/request"
	"github.com/rattanfield/rattanfield/adapters/socket"
	"github.com/rattanfield/rattanfield/core/intake"
)

// ErrQueued is the error of a request whose connection waited too long to be accepted, see ServerOptions.AdmitQueued.
var ErrQueued = errors.New("the connection waited too long to be accepted")

// queue is the queue of a listener, with what is needed to reject the connections in it. Its methods are called by the
// goroutine that accepts.
type queue struct {
	server   *Server
	listener net.Listener
	state    intake.Queue

	arrived   [arrivedBytes]byte
	source    bytes.Reader
	reader    *bufio.Reader
	exchanges [2]Exchange // a request and the one behind it
	answer    bytes.Buffer
}

// arrivedBytes is the size of what is looked at of a connection: some requests without a body, or one with a small body.
const arrivedBytes = 16 << 10

// rejectionsInTurn is the number of connections that are rejected in a row before other goroutines get their turn.
const rejectionsInTurn = 16

func newQueue(s *Server, l net.Listener) *queue {
	q := &queue{server: s, listener: l}
	q.reader = bufio.NewReaderSize(&q.source, arrivedBytes)
	return q
}

// serve accepts a connection and starts it, or rejects all that wait. Requests in progress come first: they have cost more than
// new ones, and a process that accepts all the time would keep them from the processor.
func (q *queue) serve() error {
	defer runtime.Gosched()
	if !socket.Pending(q.listener) {
		q.state.Empty()
	} else if q.state.Rejects(time.Now()) && !q.server.options.servesQueued {
		q.rejectAll()
	}
	nc, err := q.listener.Accept()
	if err != nil {
		return err
	}
	q.server.start(nc, q.accepted())
	return nil
}

// accepted records that a connection was accepted and returns how long it may have waited.
func (q *queue) accepted() time.Duration {
	wait := q.state.Accepted(time.Now())
	q.server.observe(StageAccept, wait)
	return wait
}

// rejectAll rejects nearly all connections that wait, until none does.
func (q *queue) rejectAll() {
	for n := 1; ; n++ {
		c, ok := socket.AcceptRaw(q.listener)
		if !ok {
			q.state.Empty()
			return
		}
		wait := q.accepted()
		if !q.reject(c, wait) {
			if nc, err := c.Conn(); err == nil {
				q.server.start(nc, wait)
			}
		}
		if n%rejectionsInTurn == 0 {
			runtime.Gosched()
		}
	}
}

// reject answers the requests that have arrived on a connection and closes it. It returns false, and changes nothing, if the first one
// has not arrived whole or the connection is to be served. What follows a rejected request and is not rejected is not read.
func (q *queue) reject(c socket.Raw, wait time.Duration) bool {
	n, closed := c.Peek(q.arrived[:])
	if closed {
		q.server.count(clientLeft)
		c.Close()
		return true
	}
	if q.state.ServesNext() {
		return false
	}
	unread, now := q.arrived[:n], time.Now()
	next := func(i int) *Exchange {
		x := &q.exchanges[i%len(q.exchanges)]
		x.Received, x.Queued, x.Remote = now, wait, c.Remote
		length := q.read(x, unread)
		if length == 0 || !q.rejects(x) {
			return nil
		}
		unread = unread[length:]
		return x
	}
	q.answer.Reset()
	i := 0
	for x := next(i); x != nil; {
		i++
		following := next(i)
		if following == nil {
			x.Response.SetConnectionClose()
		}
		x.Response.SkipBody = x.Request.Header.IsHead()
		_, _ = x.Response.WriteTo(&q.answer) // a write to memory does not fail
		q.server.count(queued)
		x = following
	}
	if q.answer.Len() == 0 {
		return false
	}
	c.Answer(n, q.arrived[:], q.answer.Bytes())
	c.Close()
	return true
}

// rejects reports whether a request is rejected, with its response.
func (q *queue) rejects(x *Exchange) bool {
	x.Response.Reset()
	if admit := q.server.options.AdmitQueued; admit != nil {
		return !admit(x)
	}
	q.server.options.OnReadError(x, fasthttp.StatusServiceUnavailable, ErrQueued)
	return true
}

// read decodes the header of the first request in what has arrived and returns the length of the request, or 0 if it has not arrived
// whole or is not of a usual kind.
func (q *queue) read(x *Exchange, arrived []byte) (length int) {
	end := bytes.Index(arrived, headerEnd)
	if end < 0 || request.FieldMemory(request.CountFields(arrived[:end])) > 0 {
		return 0
	}
	end += len(headerEnd)
	var checker request.Checker
	if _, err := checker.Check(arrived[:end]); err != nil {
		return 0
	}
	q.source.Reset(arrived[:end])
	q.reader.Reset(&q.source)
	h := &x.Request.Header
	if err := h.Read(q.reader); err != nil || x.Request.MayContinue() || h.ContentLength() == chunkedLength {
		return 0
	}
	if length = end + max(0, h.ContentLength()); length > len(arrived) {
		return 0
	}
	return length
}
