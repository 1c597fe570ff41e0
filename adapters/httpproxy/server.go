package httpproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/request"
)

// Server is an HTTP server that closes connections without interrupting a request. Before
// it closes an idle connection, it sends an unsolicited response which states that no
// further request was read. A peer whose request crossed the close therefore knows that the
// request was not run.
type Server struct {
	http *fasthttp.Server

	draining atomic.Bool
	shutdown atomic.Bool // no more connections are accepted
	// retryAfter returns the time after which requests can be sent again; nil if it is not known.
	retryAfter atomic.Pointer[func() time.Duration]

	bodies  *body.Memory    // of requests
	slots   *memory.Account // of connections
	account *memory.Account // of the memory of connections, requests and responses

	mu         sync.Mutex
	drainBegin time.Time
	listener   *drainListener
	conns      map[*serverConn]struct{}
}

const (
	readTimeout  = 30 * time.Second // for a complete request
	writeTimeout = 30 * time.Second // for a complete response
	// lingerTimeout is how long a connection is still read after the closing response, so that a TCP
	// reset does not overtake it. It is several round trips between regions (40 ms).
	lingerTimeout     = 300 * time.Millisecond
	drainPollInterval = 5 * time.Millisecond
	// minIdleBeforeClose is the minimum time between a response and the closing response on a connection.
	minIdleBeforeClose = 20 * time.Millisecond
	// stalledRequestTimeout is how long a server that drains waits for the rest of a request. It covers a packet
	// that is lost and sent again, with the round trip between regions.
	stalledRequestTimeout = time.Second
)

// closingHeader is the begin of the unsolicited response before the close of an idle connection.
const closingHeader = "HTTP/1.1 503 Service Unavailable\r\n" +
	HeaderCallID + ": " + closingCallID + "\r\n" +
	HeaderRan + ": " + RanNotRun + "\r\n" +
	HeaderReason + ": " + string(ReasonLeaving) + "\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n"

// closingResponse is the unsolicited response of a node that does not stop.
const closingResponse = closingHeader + "\r\n"

// closingResponseNow returns the unsolicited response before the close of an idle connection. While the node
// stops, it says when a request that crossed it can be sent again.
func (s *Server) closingResponseNow() string {
	if f := s.retryAfter.Load(); f != nil {
		return closingHeader + fasthttp.HeaderRetryAfter + ": " + retryAfterSeconds((*f)()) + "\r\n\r\n"
	}
	return closingResponse
}

// NewServer returns a server for the handler that enforces the size limits and timeouts of calls. It shares its memory with no
// other.
func NewServer(handler fasthttp.RequestHandler) *Server {
	return NewSharedServer(handler, newResources())
}

// NewSharedServer is NewServer for a server whose memory is bounded together with that of others.
func NewSharedServer(handler fasthttp.RequestHandler, r *Resources) *Server {
	s := &Server{conns: make(map[*serverConn]struct{}), bodies: r.requests(), slots: memory.NewSlots(maxConnections()), account: r.account}
	s.http = &fasthttp.Server{
		Handler:            s.handle(handler),
		ErrorHandler:       rejectUnreadable,
		ReadTimeout:        readTimeout,
		WriteTimeout:       writeTimeout,
		IdleTimeout:        serverIdleTimeout,
		ReadBufferSize:     maxHeaderBytes,
		MaxRequestBodySize: maxBodyBytes,
		StreamRequestBody:  true, // handle reads the body, within the memory for bodies
		// A multipart body is passed on as it is.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		Logger:                       noopLogger{},
		ConnState: func(c net.Conn, state fasthttp.ConnState) {
			if sc, ok := c.(*serverConn); ok {
				sc.setAnswered(state == fasthttp.StateIdle)
			}
		},
	}
	return s
}

// handle wraps the handler. Once the server drains, responses tell clients to close their connections.
func (s *Server) handle(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c := clientOf(ctx)
		l, err := s.readBody(ctx, c)
		if err != nil {
			rejectUnreadable(ctx, err)
			return
		}
		defer endRequest(ctx, c, l)
		if c != nil {
			if reason := c.beginRequest(); reason != "" {
				reject(reason).write(ctx)
				ctx.SetConnectionClose()
				return
			}
		}
		handler(ctx)
		if s.draining.Load() {
			ctx.SetConnectionClose()
			s.addRetryAfter(&ctx.Response)
			s.awaitListenerClosed()
		}
	}
}

// readBody reads the body of a request, for which its connection gets memory. The lease is nil if there is no body.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, c *serverConn) (*body.Lease, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	l := s.bodies.Lease()
	if c != nil {
		l = s.bodies.LeaseFor(c.holder)
	}
	if err := body.ReadStream(stream, &ctx.Request, int64(ctx.Request.Header.ContentLength()), maxBodyBytes, l); err != nil {
		return nil, err
	}
	return l, nil
}

// endRequest releases the body of a request that was handled. Its connection may give way while the response is written, because
// the client may not read it.
func endRequest(ctx *fasthttp.RequestCtx, c *serverConn, l *body.Lease) {
	if l != nil {
		ctx.Request.ResetBody()
		l.Release()
	}
	if c != nil {
		c.holder.SetState(memory.Waiting, time.Now())
	}
}

// addRetryAfter states in a rejection when the call can be sent again, if its reason gives no time of its own.
func (s *Server) addRetryAfter(resp *fasthttp.Response) {
	f := s.retryAfter.Load()
	if f == nil || resp.StatusCode() != fasthttp.StatusServiceUnavailable || len(resp.Header.Peek(HeaderReason)) == 0 ||
		len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0 {
		return
	}
	resp.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds((*f)()))
}

// awaitListenerClosed holds a response while the listener is being closed, which takes 50 ms as a rule. Clients that
// connect anew after each response are then silent, so that none of them connects at the moment of the close,
// when the kernel would reset the connection.
func (s *Server) awaitListenerClosed() {
	if !s.shutdown.Load() {
		return
	}
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		<-l.collected
	}
}

// rejectUnreadable rejects a request that could not be read and was not passed to the handler.
func rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	reason := ReasonInvalidHeader
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &smallBuffer):
		reason = ReasonTooManyHeaders
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = ReasonTooLarge
	case errors.Is(err, body.ErrTooLarge):
		reason = ReasonNoMemory
	}
	if c, ok := ctx.Conn().(*serverConn); ok && c.hasGivenWay() {
		reason = ReasonNoMemory // the read was interrupted
	}
	reject(reason).write(ctx)
	ctx.SetConnectionClose()
}

type noopLogger struct{}

func (noopLogger) Printf(string, ...any) {}

// Serve accepts connections until Shutdown, after which it returns nil.
func (s *Server) Serve(l net.Listener) error {
	dl := newDrainListener(l, s)
	s.mu.Lock()
	s.listener = dl
	s.mu.Unlock()
	if s.shutdown.Load() {
		return l.Close() // Shutdown was called before Serve
	}
	return s.http.Serve(dl)
}

// Drain closes connections until done returns true or the context ends: idle ones at once, the others with their
// next response. New connections are accepted, so that their requests are answered. retryAfter returns the time
// after which clients of closed connections can send their requests again.
func (s *Server) Drain(ctx context.Context, retryAfter func() time.Duration, done func() bool) {
	s.retryAfter.Store(&retryAfter)
	s.beginDrain()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !done() {
		s.closeUnused()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown stops accepting connections, waits for every request that was read, and closes
// idle connections with the closing response, as well as those with a request whose rest does not
// arrive. It returns when all connections are closed or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shutdown.Store(true)
	s.beginDrain()
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		listener.stop(ctx)
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.closeUnused() > 0 {
		select {
		case <-ctx.Done():
			return s.closeServer(ctx)
		case <-ticker.C:
		}
	}
	return s.closeServer(ctx)
}

// closeServer shuts down the HTTP server, whose listener may be closed already.
func (s *Server) closeServer(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainBegin.IsZero() {
		s.drainBegin = time.Now()
	}
	s.draining.Store(true)
}

// closeUnused starts to close connections that are idle or whose request does not arrive. It returns the number
// of open connections.
func (s *Server) closeUnused() int {
	s.mu.Lock()
	begin := s.drainBegin
	open := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.sendClosingResponse()
		c.closeStalled(begin)
	}
	return len(open)
}

func (s *Server) newConn(conn net.Conn) *serverConn {
	now := time.Now()
	c := &serverConn{Conn: conn, server: s, idleSince: now, input: request.Reader{Source: conn}}
	source, _, _ := net.SplitHostPort(conn.RemoteAddr().String()) // "" is no source
	c.slot = s.slots.NewHolder(source, "", now, func() {
		_ = conn.Close()
		c.slot.Release()
	})
	c.holder = s.account.NewHolder(source, "", now, c.giveWay)
	c.setState(memory.Idle)
	takeSlot := func() bool { return c.slot.Add(1, false, now) }
	if ok := takeSlot(); !ok && !takeSlot() { // the first one makes another connection give way at once
		_ = conn.Close() // the HTTP library reads an error and closes it
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}
