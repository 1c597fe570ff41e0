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

// Traffic counts calls and the bytes of their bodies. Header bytes are not part
// of it; measurements add them per call.
type Traffic struct {
	Calls, RequestBytes, ResponseBytes atomic.Uint64
}

// memory stands for the network: handlers by address.
type memory struct {
	mu      sync.Mutex
	servers map[string]*server
	next    int
	traffic [ports.LinkCount]Traffic
}

// Traffic of one link class; only counted in memory.
func (f *Fleet) Traffic(l ports.Link) *Traffic { return &f.memory.traffic[l] }

func (m *memory) newAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	return fmt.Sprintf("127.1.%d.%d:1", m.next/256, m.next%256)
}

// server is a process at an address; its end breaks the calls in progress.
type server struct {
	handler http.Handler
	ended   context.Context
}

// serve registers handlers until the returned function is called.
func (m *memory) serve(address string, handlers []rpc.Handler) (stop func()) {
	mux := http.NewServeMux()
	for _, h := range handlers {
		mux.Handle(h.Path, h.Handler)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	ended, end := context.WithCancel(context.Background())
	m.servers[address] = &server{handler: mux, ended: ended}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.servers, address)
		end()
	}
}

type memoryTransport struct {
	fleet *Fleet
	from  Domain
}

// RoundTrip calls the handler of the address and counts both bodies.
func (t memoryTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	m := t.fleet.memory
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
	defer context.AfterFunc(s.ended, cancel)()
	in := r.Clone(ctx)
	in.Body = io.NopCloser(bytes.NewReader(body))
	out := &recorder{header: make(http.Header), status: http.StatusOK}
	s.handler.ServeHTTP(out, in) // the handlers end with the context of the request
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if s.ended.Err() != nil {
		return nil, errRefused
	}
	traffic.ResponseBytes.Add(uint64(out.body.Len()))
	return &http.Response{
		StatusCode: out.status, Status: http.StatusText(out.status), Proto: "HTTP/2.0", ProtoMajor: 2,
		Header: out.header, Body: io.NopCloser(&out.body), ContentLength: int64(out.body.Len()), Request: r,
	}, nil
}

// recorder keeps a response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(b []byte) (int, error) { return r.body.Write(b) }
