package meshhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/body"
)

// endlessBackend starts a destination that answers each request with first and then sends
// repeated over and over until the client closes the connection; closed then receives a value.
func endlessBackend(t *testing.T, first, repeated string) (address string, closed chan struct{}) {
	closed = make(chan struct{}, 64)
	return listenAndServe(t, func(c *net.TCPConn) {
		var header fasthttp.RequestHeader
		if header.Read(bufio.NewReader(c)) != nil {
			return
		}
		_, err := io.WriteString(c, first)
		for block := strings.Repeat(repeated, 1+(16<<10)/len(repeated)); err == nil; {
			_, err = io.WriteString(c, block)
		}
		closed <- struct{}{}
	}), closed
}

// Guards against a response that is read until the deadline of the request or until
// memory is exhausted, which comes about by a destination that never stops sending.
func TestEndlessResponseIsAborted(t *testing.T) {
	is := is.New(t)
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct{ first, repeated string }{
		"one header line":   {ok + "X-Long: ", "x"},
		"header lines":      {ok, "X-More: 1\r\n"},
		"status line":       {"HTTP/1.1 200 ", "O"},
		"no HTTP":           {"", "x"},
		"empty lines":       {"", "\r\n"},
		"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other responses":   {"", rawResponse("other", "body")},
		"body until close":  {ok + "\r\n", "x"},
		"chunks":            {ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
		"large chunks":      {ok + "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n" + strings.Repeat("x", 0x10000) + "\r\n"},
		"one chunk":         {ok + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "x"},
		"chunk extension":   {ok + "Transfer-Encoding: chunked\r\n\r\n4;x=", "x"},
		"trailers":          {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X-More: 1\r\n"},
		"excessive length":  {ok + "Content-Length: 9000000000\r\n\r\n", "x"},
	} {
		address, closed := endlessBackend(t, c.first, c.repeated)
		o, _ := call(t, newTestPool(), address, "1")
		if o.Failure == Answered || o.Failure == TimedOut || o.Failure == NotSent {
			t.Errorf("%s: %v (%v)", name, o.Failure, o.Err)
			continue
		}
		<-closed
	}
	is.True(!t.Failed()) // the connection is closed before the deadline
}

// Guards against exhaustion of the process memory by many large responses at once, and
// against the rejection of ordinary responses while large ones use up the limit.
func TestLargeResponsesShareMemoryLimit(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newTestPool()
	address, _ := endlessBackend(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("x", 0x10000)+"\r\n")
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			if o, _ := call(t, p, address, "1"); o.Failure == Answered {
				t.Error("an endless response was accepted as complete")
			}
		})
	}
	for range 20 {
		o, resp := callSent(t, p, backend(t, rawResponse("1", "body")), "1")
		is.Equal(o.Failure, Answered)
		is.Equal(string(resp.Body()), "body")
	}
	group.Wait()
	runtime.ReadMemStats(&after)
	if grown := after.Sys - before.Sys; grown > nodeMemory {
		t.Fatalf("the process grew by %d MiB, a node has %d", grown>>20, nodeMemory>>20)
	}
	large := strings.Repeat("x", 3<<20)
	for range 4 { // each fits alone, so the memory was released
		o, resp := callSent(t, p, backend(t, rawResponse("1", large)), "1")
		is.Equal(o.Failure, Answered)
		is.Equal(len(resp.Body()), len(large))
	}
}

// callSent is call, repeated while the connection is not accepted within the dial timeout, as on a
// busy machine.
func callSent(t *testing.T, p *Pool, address, id string) (Outcome, *fasthttp.Response) {
	o, resp := call(t, p, address, id)
	for end := time.Now().Add(testWait); o.Failure == NotSent && isTimeout(o.Err) && time.Now().Before(end); {
		o, resp = call(t, p, address, id)
	}
	return o, resp
}

const nodeMemory = 128 << 20 // memory of a node in the design target

func newTestPool() *Pool { return NewPool(nil, body.NewMemory(nodeMemory/8)) }

// Guards against complete large responses that wait for slow clients and that nothing bounds.
func TestLargeResponseHoldsMemoryUntilReleased(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, body.NewMemory(4<<20))
	// The backend keeps its connections open: one that it closes may be used again before the close has arrived.
	address := backend(t, slices.Repeat([]string{rawResponse("1", strings.Repeat("x", 1<<20))}, 8)...)
	var leases []*body.Lease
	send := func() Failure {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		request.SetRequestURI("http://" + address + "/")
		l := p.Lease()
		leases = append(leases, l)
		var response fasthttp.Response
		return p.Do(context.Background(), address, &Call{Request: request, Response: &response, Deadline: time.Now().Add(testWait), Lease: l}).Failure
	}
	for range 3 {
		is.Equal(send(), Answered)
	}
	for send() == Answered { // the fourth body fits only if it needs no room to grow
		is.True(len(leases) < 5)
	}
	for _, l := range leases {
		l.Release()
	}
	is.Equal(send(), Answered)
}
