package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/ports"
)

var errRefused = errors.New("connection refused")

// Traffic counts calls and the bytes of their bodies. It does not include header bytes;
// measurements add them per call.
type Traffic struct {
	Calls, RequestBytes, ResponseBytes atomic.Uint64
}

// memoryNetwork takes the place of the network: it holds the handlers by address.
type memoryNetwork struct {
	mu          sync.Mutex
	servers     map[string]*server
	lastAddress int
	traffic     [ports.LinkCount]Traffic
}

// Traffic returns the traffic of a link class. It must only be called with Options.InMemory.
func (f *Fleet) Traffic(l ports.Link) *Traffic { return &f.network.traffic[l] }

func (m *memoryNetwork) newAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastAddress++
	return fmt.Sprintf("127.1.%d.%d:1", m.lastAddress/256, m.lastAddress%256)
}

// server is a process at an address. Calls in progress fail when it stops.
type server struct {
	handler http.Handler
	stopped context.Context
}

// serve registers handlers until the returned function is called.
func (m *memoryNetwork) serve(address string, handlers []rpc.Handler) (stop func()) {
	mux := http.NewServeMux()
	for _, h := range handlers {
		mux.Handle(h.Path, h.Handler)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	stopped, cancel := context.WithCancel(context.Background())
	m.servers[address] = &server{handler: mux, stopped: stopped}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.servers, address)
		cancel()
	}
}

// memoryTransport is the http.RoundTripper of a process in a failure domain.
type memoryTransport struct {
	fleet *Fleet
	from  Domain
}

// RoundTrip calls the handler of the destination address and counts both bodies.
func (t memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	m := t.fleet.network
	m.mu.Lock()
	s := m.servers[r.URL.Host]
	m.mu.Unlock()
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		_ = r.Body.Close()
	}
	if s == nil {
		return nil, errRefused
	}
	traffic := &m.traffic[t.fleet.linkTo(t.from, r.URL.Host)]
	traffic.Calls.Add(1)
	traffic.RequestBytes.Add(uint64(len(body)))
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.stopped, cancel)()
	in := r.Clone(ctx)
	in.Body = io.NopCloser(bytes.NewReader(body))
	out := &recorder{header: make(http.Header), status: http.StatusOK}
	s.handler.ServeHTTP(out, in) // the handlers end with the context of the request
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if s.stopped.Err() != nil {
		return nil, errRefused
	}
	traffic.ResponseBytes.Add(uint64(out.body.Len()))
	return &http.Response{
		StatusCode: out.status, Status: http.StatusText(out.status), Proto: "HTTP/2.0", ProtoMajor: 2,
		Header: out.header, Body: io.NopCloser(&out.body), ContentLength: int64(out.body.Len()), Request: r,
	}, nil
}

// recorder is an http.ResponseWriter that keeps the response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
