package simupstream

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultBodyBytes = 64
	maxRequestBytes  = 4 << 20
	idleTimeout      = 90 * time.Second
	idleBeforeStop   = 500 * time.Millisecond // the node's gate may still send requests that it accepted
	idlePollInterval = 10 * time.Millisecond

	headerDeadline = "X-Rattanfield-Deadline-Ms"
)

// Load is the response of /v1/load.
type Load struct {
	InFlight int64 `json:"in_flight"`
	Queued   int64 `json:"queued"`
	Slots    int   `json:"slots"`
}

// Server answers simulated calls.
type Server struct {
	options    Options
	behaviour  *Behaviour
	executions Executions
	crash      func()
	slots      chan struct{}
	inFlight   atomic.Int64
	queued     atomic.Int64
	lastCall   atomic.Int64 // start or end of the latest call, Unix nanoseconds
	draining   atomic.Bool
	http       *fasthttp.Server
}

// NewServer returns a server. crash is called before a request that crashes the process is
// answered; it is expected to end the process.
func NewServer(o Options, crash func()) *Server {
	s := &Server{
		options: o, behaviour: NewBehaviour(o, time.Now()), crash: crash,
		slots: make(chan struct{}, max(o.Slots, 1)),
	}
	s.http = &fasthttp.Server{
		Handler: s.handle, Concurrency: o.MaxConnections, MaxRequestBodySize: maxRequestBytes,
		IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultContentType: true,
	}
	return s
}

// Serve accepts connections until Drain, after which it returns nil.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Drain waits until no request has arrived or run for idleBeforeStop, then stops the
// server. The context bounds both.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	start := time.Now().UnixNano()
	for ctx.Err() == nil {
		idle := time.Duration(time.Now().UnixNano() - max(s.lastCall.Load(), start))
		if s.inFlight.Load() == 0 && s.queued.Load() == 0 && idle >= idleBeforeStop {
			break
		}
		time.Sleep(idlePollInterval)
	}
	return s.http.ShutdownWithContext(ctx)
}

func (s *Server) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/healthz":
		s.health(c)
	case "/v1/load":
		s.load(c)
	case "/v1/executions":
		r := s.executions.report()
		r.Service, r.Version, r.Instance = s.options.Service, s.options.Version, s.options.Instance
		writeJSON(c, r)
	default:
		s.call(c)
	}
}

func (s *Server) health(c *fasthttp.RequestCtx) {
	if s.draining.Load() && !s.options.FalseHealth {
		c.Error("draining", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ok\n")
}

func (s *Server) load(c *fasthttp.RequestCtx) {
	l := Load{Slots: s.options.Slots}
	if !s.options.FalseLoad {
		l.InFlight, l.Queued = s.inFlight.Load(), s.queued.Load()
	}
	writeJSON(c, l)
}

func (s *Server) call(c *fasthttp.RequestCtx) {
	s.lastCall.Store(time.Now().UnixNano())
	defer func() { s.lastCall.Store(time.Now().UnixNano()) }()
	s.setResponseHeaders(c)
	if !s.acquireSlot() {
		c.Response.Header.Set(HeaderShed, "1")
		writeError(c, fasthttp.StatusServiceUnavailable, "no slot is free")
		return
	}
	defer s.releaseSlot()
	crash := len(c.Request.Header.Peek(HeaderCrash)) > 0
	execution := s.behaviour.NextExecution(time.Now(), string(c.Path()), crash, c.ConnRequestNum() == 1)
	s.executions.add(string(c.Request.Header.Peek(HeaderKey)))
	if execution.Crash {
		s.crash()
	}
	if remaining, ok := remainingTime(c); ok && execution.RunTime > remaining {
		time.Sleep(remaining)
		writeError(c, fasthttp.StatusGatewayTimeout, "deadline exceeded")
		return
	}
	time.Sleep(execution.RunTime)
	if execution.Fail {
		writeError(c, fasthttp.StatusInternalServerError, "simulated fault")
		return
	}
	s.writeBody(c)
}

// acquireSlot takes a slot, and waits for one if the queue has room. It returns false if
// the queue is full.
func (s *Server) acquireSlot() bool {
	select {
	case s.slots <- struct{}{}:
	default:
		if s.queued.Add(1) > int64(s.options.Queue) {
			s.queued.Add(-1)
			return false
		}
		s.slots <- struct{}{}
		s.queued.Add(-1)
	}
	s.inFlight.Add(1)
	return true
}

func (s *Server) releaseSlot() {
	s.inFlight.Add(-1)
	<-s.slots
}

func (s *Server) setResponseHeaders(c *fasthttp.RequestCtx) {
	h := &c.Response.Header
	h.Set(HeaderService, s.options.Service)
	h.Set(HeaderVersion, s.options.Version)
	h.Set(HeaderInstance, s.options.Instance)
	if token := c.Request.Header.Peek(HeaderToken); len(token) > 0 {
		h.SetBytesV(HeaderToken, token)
	}
}

func (s *Server) writeBody(c *fasthttp.RequestCtx) {
	length, err := strconv.Atoi(string(c.Request.Header.Peek(HeaderLength)))
	if err != nil {
		length = defaultBodyBytes
	}
	c.SetContentType("application/octet-stream")
	c.SetBody(Body(string(c.Request.Header.Peek(HeaderToken)), length))
}

// writeError sets status and body. Unlike RequestCtx.Error it keeps the headers that are set.
func writeError(c *fasthttp.RequestCtx, status int, text string) {
	c.SetStatusCode(status)
	c.SetBodyString(text + "\n")
}

// remainingTime returns the time that the caller allows for the request, if it states one.
func remainingTime(c *fasthttp.RequestCtx) (time.Duration, bool) {
	ms, err := strconv.Atoi(string(c.Request.Header.Peek(headerDeadline)))
	return time.Duration(ms) * time.Millisecond, err == nil && ms >= 0
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}
