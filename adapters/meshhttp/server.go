package meshhttp

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/socket"
)

// Limits of what a client may send, read for each request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // between requests
}

// Defaults hold until the plan states limits.
var Defaults = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	// bodyTimeout bounds the arrival of a body; it is above the time limits that callers use.
	bodyTimeout = 30 * time.Second
	// maxPipelined bounds the requests of one connection that are carried at once.
	maxPipelined = 16
	// writeTimeout bounds one response to a client that does not read.
	writeTimeout = 10 * time.Second
	// linger is how long a connection is read after its last response, so that a reset does
	// not overtake the response. It covers the round trip between regions several times.
	linger = 300 * time.Millisecond
	// userTimeout ends a connection whose peer does not acknowledge bytes: a partition or a lost host.
	userTimeout = 1200 * time.Millisecond
)

// Exchange is one request with its response.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// Received is when the first byte of the request was there.
	Received time.Time
	// Remote is the address of the client.
	Remote net.Addr

	done  chan struct{}
	close bool
}

// Handler fills in the response. The context ends when the client has left.
type Handler func(ctx context.Context, x *Exchange)

// ServerOptions of a Server.
type ServerOptions struct {
	Handler Handler
	Limits  func() Limits
	// Refuse fills in the response to a request that could not be read; status says why.
	Refuse func(x *Exchange, status int, err error)
	// Farewell is written to an idle connection before it is closed; empty: nothing. A client
	// whose request crossed the close reads it as the answer to that request.
	Farewell string
}

// Server serves one listener.
type Server struct {
	options  ServerOptions
	draining atomic.Bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	empty    chan struct{} // closed when draining and no connection is left
}

// NewServer returns a server; Serve starts it.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, conns: make(map[*conn]struct{}), empty: make(chan struct{})}
}

// Serve accepts connections until the listener is closed; it returns nil after StopListening.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			time.Sleep(acceptPause) // for example no descriptor is left
			continue
		}
		s.start(nc)
	}
}

const acceptPause = 20 * time.Millisecond

func (s *Server) start(nc net.Conn) {
	_ = socket.SetUserTimeout(nc, userTimeout) // see there for what is lost without it
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, nc, ctx, cancel)
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.run()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.checkEmptyLocked()
}

func (s *Server) checkEmptyLocked() {
	if s.draining.Load() && len(s.conns) == 0 {
		select {
		case <-s.empty:
		default:
			close(s.empty)
		}
	}
}

// StopListening takes no new connections.
func (s *Server) StopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Drain tells clients with each response that the connection ends, and closes
// idle connections.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endWhenIdle()
	}
	s.checkEmptyLocked()
}

// Wait returns when every connection has ended after Drain, or with the context.
func (s *Server) Wait(ctx context.Context) {
	select {
	case <-s.empty:
	case <-ctx.Done():
	}
}

// Open is the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}
