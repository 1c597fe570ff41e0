package httpproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Server serves a handler and closes connections without interrupting a
// request: before it closes an idle connection, it sends an unsolicited
// response which says that no further request was read. A peer whose request
// crossed the close therefore knows that it was not run.
type Server struct {
	http *fasthttp.Server

	draining atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*serverConn]struct{}
}

const (
	readTimeout  = 30 * time.Second // a whole request
	writeTimeout = 30 * time.Second // a whole response
	// lingerTime is how long a closed connection still reads, so that a reset does not overtake the
	// closing response. It covers the round trip between regions (40 ms) several times.
	lingerTime = 300 * time.Millisecond
	drainPoll  = 5 * time.Millisecond
	// quietTime passes between a response and the closing response on the same connection.
	quietTime = 20 * time.Millisecond
)

const closingResponse = "HTTP/1.1 503 Service Unavailable\r\n" +
	HeaderCallID + ": " + closingCallID + "\r\n" +
	HeaderRan + ": " + RanNotRun + "\r\n" +
	HeaderReason + ": " + string(ReasonLeaving) + "\r\n" +
	"Connection: close\r\nContent-Length: 0\r\n\r\n"

// NewServer returns a server for the handler with the limits of calls.
func NewServer(handler fasthttp.RequestHandler) *Server {
	s := &Server{conns: make(map[*serverConn]struct{})}
	s.http = &fasthttp.Server{
		Handler:               s.handle(handler),
		ErrorHandler:          rejectUnreadable,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           serverIdleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBodyBytes,
		NoDefaultServerHeader: true,
		NoDefaultContentType:  true,
		CloseOnShutdown:       true,
		Logger:                silent{},
		ConnState: func(c net.Conn, state fasthttp.ConnState) {
			if sc, ok := c.(*serverConn); ok {
				sc.setAnswered(state == fasthttp.StateIdle)
			}
		},
	}
	return s
}

// handle tells clients to close their connections once the server stops.
func (s *Server) handle(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		handler(ctx)
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// rejectUnreadable answers a request that could not be read, which no handler has seen.
func rejectUnreadable(ctx *fasthttp.RequestCtx, err error) {
	reason := ReasonInvalidHeader
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		reason = ReasonTooManyHeaders
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		reason = ReasonTooLarge
	}
	reject(reason).write(ctx)
	ctx.SetConnectionClose()
}

type silent struct{}

func (silent) Printf(string, ...any) {}

// Serve until Shutdown; it returns nil afterwards.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	if s.draining.Load() {
		return l.Close() // Shutdown came first
	}
	return s.http.Serve(&drainListener{Listener: l, server: s})
}

// Shutdown stops accepting connections, lets every request that was read
// finish, closes idle connections with the closing response and returns when
// all are closed or the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close()
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for s.closeIdle() > 0 {
		select {
		case <-ctx.Done():
			return s.closeServer(ctx)
		case <-ticker.C:
		}
	}
	return s.closeServer(ctx)
}

// closeServer ends the server, whose listener may be closed already.
func (s *Server) closeServer(ctx context.Context) error {
	if err := s.http.ShutdownWithContext(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// closeIdle starts to close idle connections and returns how many are open.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	open := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.announceClose()
	}
	return len(open)
}

func (s *Server) add(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

type drainListener struct {
	net.Listener
	server *Server
}

func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc := &serverConn{Conn: c, server: l.server, idleSince: time.Now()}
	l.server.add(sc)
	return sc, nil
}
