package meshhttp

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
	"github.com/rattanfield/rattanfield/adapters/memory"
	"github.com/rattanfield/rattanfield/adapters/socket"
)

// Limits bound what a client may send. The server reads them anew for each request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration // from the first byte of a request to the end of its header
	IdleTimeout   time.Duration // between requests
}

// Memory that is counted for what is not a body.
const (
	// connectionBytes covers the two goroutines of a connection, its state and its usual read buffer.
	connectionBytes = 16 << 10
	// exchangeBytes covers a request and a response with headers of the usual size, and a response body of up to body.CoveredBytes.
	exchangeBytes = 8 << 10
	// readBufferBytes is the usual size of a read buffer. It grows for a longer header, and shrinks again behind it.
	readBufferBytes = 4 << 10
)

// DefaultLimits apply until a plan states limits.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

const (
	// bodyTimeout bounds the time to receive a body. It is longer than the timeouts that callers use.
	bodyTimeout = 30 * time.Second
	// bodyGrace is the time after which a body must have arrived with at least bodyBytesPerSecond since. Callers send a body
	// within their time limit of at most 10 s, so none that can still be answered meets it.
	bodyGrace          = 12 * time.Second
	bodyBytesPerSecond = 16 << 10
	// maxPipelined bounds the concurrent requests of one connection.
	maxPipelined = 16
	// writeTimeout bounds the write of one response to a client that does not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is still read after its last response, so that a TCP reset
	// does not overtake the response. It is several round trips between regions.
	lingerTimeout = 300 * time.Millisecond
	// userTimeout is the TCP user timeout: it ends a connection whose peer acknowledges no bytes, after a partition or a host loss.
	userTimeout = 1200 * time.Millisecond
)

// Exchange is one request of a client with its response.
type Exchange struct {
	Request  fasthttp.Request
	Response fasthttp.Response
	// Received is when the first byte of the request arrived.
	Received time.Time
	// Queued is how long the connection of the first request on it waited to be accepted, see StageAccept; 0 for later ones.
	Queued time.Duration
	// Remote is the address of the client.
	Remote net.Addr
	// Limit is a time limit that ServerOptions.Admit set; the zero time: none.
	Limit time.Time
	// Nested is set by ServerOptions.Admit for a request that it took for a nested call of another in progress.
	Nested bool
	// Lease holds the memory of the response body until the response is written; nil: none is held.
	Lease *body.Lease

	conn         *conn
	requestLease *body.Lease   // holds the memory of the request body until the handler has ended; nil: none is held
	held         int64         // memory of the exchange itself and of a response body without a lease
	heldFields   int64         // see request.FieldMemory
	completed    time.Time     // when Response was complete; the zero time if no handler ran
	done         chan struct{} // closed when Response is complete
	close        bool          // the connection closes after the response
	unread       int           // length of the body that is discarded behind an early response, see AdmitHeader; negative: in chunks
}

// releaseRequest returns the memory of the request body, which must not be used any more.
func (x *Exchange) releaseRequest() {
	if x.requestLease != nil {
		x.requestLease.Release()
		x.requestLease = nil
	}
	x.Request.ResetBody()
}

// release returns the memory of the exchange. The bodies must not be used any more.
func (x *Exchange) release() {
	x.releaseRequest()
	if x.Lease != nil {
		x.Lease.Release()
	}
	x.conn.holder.Add(-x.held, false, time.Time{})
	x.held = 0
	if x.heldFields > 0 {
		x.conn.holder.Add(-x.heldFields, true, time.Time{})
		x.heldFields = 0
	}
}

// ResponseLease returns a lease for the body of a response that a pool reads for this exchange. It counts for the client.
func (x *Exchange) ResponseLease(p *Pool) *body.Lease {
	if x.conn == nil {
		return p.Lease()
	}
	return p.memory.LeaseFor(x.conn.holder)
}

// Handler fills in the response of an exchange. The context is cancelled when the client disconnects. The body of the request is
// released when the handler returns, so the response must not share its memory.
type Handler func(ctx context.Context, x *Exchange)

// ServerOptions configures a Server.
type ServerOptions struct {
	Handler Handler
	Limits  func() Limits
	// AdmitHeader decides by the header of a request with a body whether the request is read. If it returns false, it has
	// filled in the response, which is sent at once; the body is discarded. Nil: all requests are read.
	AdmitHeader func(x *Exchange) bool
	// Admit decides whether a request that was read is handled. If it returns false, it has filled in the
	// response, after which the connection closes. Nil: all are.
	Admit func(x *Exchange) bool
	// AdmitBody decides whether the body of a request that expects a 100 response is read, when only its header has been read, and
	// may wait for that. If ok is false, it has filled in the response, after which the connection closes; otherwise release is
	// called when the body was read or has failed. Nil: all are.
	AdmitBody func(ctx context.Context, x *Exchange) (release func(), ok bool)
	// AdmitQueued decides whether a request is served although its connection waited too long to be accepted, see package intake. If
	// it returns false, it has filled in the response, after which the connection closes. It must not keep the exchange, which
	// belongs to no connection. Nil: none is, and OnReadError gets status 503 and ErrQueued.
	AdmitQueued func(x *Exchange) bool
	// OnReadError fills in the response to a request that could not be read; status is the HTTP status for err.
	OnReadError func(x *Exchange, status int, err error)
	// Memory holds large request bodies. Those that do not fit are read errors with status 503; nil: 2 GiB.
	Memory *body.Memory
	// Account holds the memory of connections and exchanges, including small bodies and those of Memory; nil: it is not bounded.
	Account *memory.Account
	// Slots bounds the open connections, see memory.NewSlots; nil: they are not bounded.
	Slots *memory.Account
	// FailureDomain returns the failure domain of a client, "" if it is not known; nil: none is.
	FailureDomain func(remote net.Addr) string
	// Organisation returns the organisation whose request was read up to the end of its header, "" if it is not known; nil: none is.
	Organisation func(h *fasthttp.RequestHeader) string
	// OnWait is called with each wait of a request for the process; it must not block. Nil: none is measured.
	OnWait func(stage Stage, wait time.Duration)
	// servesQueued serves connections however long they waited to be accepted.
	servesQueued bool
	// keepsRequest lets the response share the memory of the request body, which is then released after the response was written.
	keepsRequest bool
	// Pipelined bounds the concurrent requests of one connection; 0: 16.
	Pipelined int
	// ClosingResponse is a raw response that is written to an idle connection before it is closed; ""
	// disables it. A client whose request crossed the close reads it as the response.
	ClosingResponse string
}

// Server serves HTTP/1.1 on one listener.
type Server struct {
	options  ServerOptions
	draining atomic.Bool
	closed   atomic.Bool // Close was called

	serving  sync.WaitGroup // calls of Serve
	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}

	counts [reasons]atomic.Uint64
}

// NewServer returns a server that is started by Serve.
func NewServer(o ServerOptions) *Server {
	if o.Account == nil {
		o.Account = memory.NewAccount(math.MaxInt64, math.MaxInt64)
	}
	if o.Slots == nil {
		o.Slots = memory.NewSlots(math.MaxInt64)
	}
	if o.Memory == nil {
		o.Memory = body.NewSharedRequestMemory(math.MaxInt32, o.Account)
	}
	if o.FailureDomain == nil {
		o.FailureDomain = func(net.Addr) string { return "" }
	}
	o.Pipelined = cmp.Or(o.Pipelined, maxPipelined)
	return &Server{options: o, conns: make(map[*conn]struct{})}
}

// Serve accepts connections until the listener is closed, for example by StopListening. It always returns nil.
func (s *Server) Serve(l net.Listener) error {
	s.serving.Add(1)
	defer s.serving.Done()
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	q := newQueue(s, l)
	for {
		err := q.serve()
		var temporary net.Error
		switch {
		case err == nil, errors.As(err, &temporary) && temporary.Timeout():
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			time.Sleep(acceptRetryDelay) // for example when the process has no file descriptor left
		}
	}
}

const acceptRetryDelay = 20 * time.Millisecond

// start serves a connection that waited to be accepted, unless it finds no slot.
func (s *Server) start(nc net.Conn, queued time.Duration) {
	_ = socket.SetUserTimeout(nc, userTimeout) // without it, a partition shows only at the deadline
	ctx, cancel := context.WithCancel(context.Background())
	c := newConn(s, nc, ctx, cancel)
	c.queued = queued
	takeSlot := func() bool { return c.slot.Add(1, false, time.Now()) }
	if ok := takeSlot(); !ok && !takeSlot() { // the first one makes another connection give way at once
		s.count(noSlot)
		c.slot.Release()
		c.holder.Release()
		cancel()
		_ = nc.Close()
		return
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.run()
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// reason is why a connection was closed or a request was refused before it was read.
type reason uint8

const (
	noSlot     reason = iota // too many connections are open
	gaveSlot                 // closed for a new connection
	gaveMemory               // closed, or its request refused, for the memory of others
	noMemory                 // no memory for a connection or for a part of a request or response
	slowHeader               // the header did not arrive in time
	slowBody                 // the body arrived too slowly
	slowReader               // the client did not read a response
	invalid                  // the request has no valid reading, or more than one
	queued                   // the connection waited too long to be accepted; counts its requests
	clientLeft               // the client left before its connection, which waited too long, was accepted
	reasons
)

var reasonNames = [reasons]string{"no-slot", "gave-slot", "gave-memory", "no-memory", "slow-header", "slow-body", "slow-reader", "invalid", "queued", "client-left"}

func (s *Server) count(r reason) { s.counts[r].Add(1) }

// Refusals calls f with each reason for which connections are closed or requests are refused before they are read, and with the
// number of times so far.
func (s *Server) Refusals(f func(reason string, count func() uint64)) {
	for r := range reasons {
		f(reasonNames[r], s.counts[r].Load)
	}
}

// StopListening closes the listener, so that no new connections are accepted.
func (s *Server) StopListening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Drain closes idle connections and lets the others close with the response to their
// last outstanding request. A connection that is accepted later closes with its first response.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.draining = true
		c.interruptRead()
	}
}

// waitInterval is the interval at which a stop looks for open connections and outstanding requests.
const waitInterval = 5 * time.Millisecond

// waitUntil blocks until done returns true, or until the context ends.
func waitUntil(ctx context.Context, done func() bool) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Wait blocks until no connection is open, or until the context ends. Call StopListening first, because
// clients may open connections for as long as the server listens.
func (s *Server) Wait(ctx context.Context) {
	waitUntil(ctx, func() bool { return s.OpenConnections() == 0 })
}

// WaitDrained blocks until the connections that were open when Drain was called have ended, or until the
// context ends. Later connections do not count: clients may open new ones for as long as the server listens.
func (s *Server) WaitDrained(ctx context.Context) {
	waitUntil(ctx, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if c.draining {
				return false
			}
		}
		return true
	})
}

// WaitIdle blocks until a moment at which no request is outstanding, or until the context ends. Admitted requests
// that keep coming prolong it.
func (s *Server) WaitIdle(ctx context.Context) {
	waitUntil(ctx, func() bool {
		for _, c := range s.Connections() {
			if c.Outstanding > 0 {
				return false
			}
		}
		return true
	})
}

// Close stops listening and waits until the open connections have ended, or until the context ends. Clients get
// the responses to the requests that were read.
func (s *Server) Close(ctx context.Context) {
	s.StopListening()
	s.serving.Wait() // a connection that was accepted last is open from now on
	s.closed.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.interruptRead()
	}
	s.mu.Unlock()
	s.Wait(ctx)
}

// OpenConnections returns the number of open connections.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// ConnectionState describes an open connection for logs.
type ConnectionState struct {
	Remote      net.Addr
	Accepted    time.Time
	Requests    int // read so far
	Outstanding int // read but not yet answered
}

// Connections returns the states of the open connections in no particular order.
func (s *Server) Connections() []ConnectionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ConnectionState, 0, len(s.conns))
	for c := range s.conns {
		c.mu.Lock()
		out = append(out, ConnectionState{Remote: c.nc.RemoteAddr(), Accepted: c.accepted, Requests: c.requests, Outstanding: c.outstanding})
		c.mu.Unlock()
	}
	return out
}
