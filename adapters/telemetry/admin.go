package telemetry

import (
	"context"
	"encoding/json"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	adminReadTimeout  = 5 * time.Second
	adminWriteTimeout = 10 * time.Second
	adminIdleTimeout  = 30 * time.Second
	maxAdminBody      = 64 << 10
	maxAdminConns     = 256
)

// AdminOptions configure an Admin.
type AdminOptions struct {
	Program string // name of the program
	ID      string // id of the process
	// Set holds the metrics of the process; nil creates one.
	Set *metrics.Set
	// Status returns the detail of /v1/status, which is encoded as JSON; nil omits the detail.
	Status func() any
}

// Admin is the admin listener of a process. It serves /healthz, /readyz, /metrics,
// /v1/status, and the routes that are added to Router before Serve.
type Admin struct {
	options AdminOptions
	router  *router.Router
	server  *fasthttp.Server
	started time.Time

	mu     sync.Mutex
	checks map[string]func() error
}

// NewAdmin returns an admin listener without readiness checks, which reports ready.
func NewAdmin(options AdminOptions) *Admin {
	if options.Set == nil {
		options.Set = metrics.NewSet()
	}
	a := &Admin{options: options, router: router.New(), started: time.Now(), checks: map[string]func() error{}}
	addBuild(options.Set, options.Program)
	a.router.GET("/healthz", func(c *fasthttp.RequestCtx) { c.SetBodyString("ok\n") })
	a.router.GET("/readyz", a.ready)
	a.router.GET("/metrics", a.metrics)
	a.router.GET("/v1/status", a.status)
	a.server = &fasthttp.Server{
		Handler: a.router.Handler, Name: options.Program, MaxRequestBodySize: maxAdminBody,
		ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, IdleTimeout: adminIdleTimeout,
		Concurrency: maxAdminConns, CloseOnShutdown: true, NoDefaultServerHeader: true,
	}
	return a
}

// Router returns the router, to which further routes can be added before Serve.
func (a *Admin) Router() *router.Router { return a.router }

// Set returns the metrics that /metrics reports.
func (a *Admin) Set() *metrics.Set { return a.options.Set }

// AddReadiness adds or replaces a readiness check. /readyz reports the text of its
// error as the reason.
func (a *Admin) AddReadiness(name string, check func() error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.checks[name] = check
}

// Serve serves l until Shutdown, after which it returns nil.
func (a *Admin) Serve(l net.Listener) error { return a.server.Serve(l) }

// Shutdown stops the listener and waits for requests in progress until the context
// ends.
func (a *Admin) Shutdown(ctx context.Context) error { return a.server.ShutdownWithContext(ctx) }

// Readiness is the response body of /readyz.
type Readiness struct {
	Ready   bool              `json:"ready"`
	Reasons map[string]string `json:"reasons,omitempty"` // by name of the failed check
}

// Readiness runs all checks and returns their result.
func (a *Admin) Readiness() Readiness {
	a.mu.Lock()
	names := make([]string, 0, len(a.checks))
	checks := make(map[string]func() error, len(a.checks))
	for name, check := range a.checks {
		names = append(names, name)
		checks[name] = check
	}
	a.mu.Unlock()
	sort.Strings(names)
	r := Readiness{Ready: true}
	for _, name := range names {
		if err := checks[name](); err != nil {
			if r.Reasons == nil {
				r.Reasons = map[string]string{}
			}
			r.Ready, r.Reasons[name] = false, err.Error()
		}
	}
	return r
}

func (a *Admin) ready(c *fasthttp.RequestCtx) {
	r := a.Readiness()
	if !r.Ready {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	WriteJSON(c, r)
}

func (a *Admin) metrics(c *fasthttp.RequestCtx) {
	c.SetContentType("text/plain; version=0.0.4")
	a.options.Set.WritePrometheus(c)
	metrics.WriteProcessMetrics(c)
}

// Status is the response body of /v1/status.
type Status struct {
	Program       string `json:"program"`
	ID            string `json:"id"`
	Version       string `json:"version"`
	StartedUnixMS int64  `json:"started_unix_ms"`
	Detail        any    `json:"detail,omitempty"`
}

func (a *Admin) status(c *fasthttp.RequestCtx) {
	s := Status{a.options.Program, a.options.ID, Version(), a.started.UnixMilli(), nil}
	if a.options.Status != nil {
		s.Detail = a.options.Status()
	}
	WriteJSON(c, s)
}

// WriteJSON writes a value as a JSON response body. A value that cannot be encoded
// is answered with status 500.
func WriteJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.Error("encoding the response: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}
