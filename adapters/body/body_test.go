package body

import (
	"bufio"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/memory"
)

// Guards against a body that is shorter than its length or its chunks state and that is read
// without an error, for bodies that count towards the memory limit and for those that do not.
func TestShortBodyIsAnError(t *testing.T) {
	for _, size := range []int{1, 4 << 10, UncountedBytes - 1, UncountedBytes, UncountedBytes + 1, 200_000} {
		content := strings.Repeat("x", size)
		for name, c := range map[string]struct{ header, raw string }{
			"length":   {fmt.Sprintf("Content-Length: %d", size), content},
			"chunk":    {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, content)},
			"chunks":   {"Transfer-Encoding: chunked", strings.Repeat("1\r\nx\r\n", min(size, 999)) + "0\r\n\r\n"},
			"trailers": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", size, content)},
		} {
			t.Run(fmt.Sprint(name, " ", size), func(t *testing.T) {
				is := is.New(t)
				memory := NewMemory(1 << 20)
				read := func(raw string) error {
					br := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + c.header + "\r\n\r\n" + raw))
					var r fasthttp.Response
					is.NoErr(r.Header.Read(br))
					l := memory.Lease()
					defer l.Release()
					return Read(br, &r, l)
				}
				is.NoErr(read(c.raw))
				for _, missing := range []int{1, 2, 3, 4, 5, 6, 12, 13, len(c.raw) / 2, len(c.raw) - 1, len(c.raw)} {
					if missing > 0 && missing <= len(c.raw) && read(c.raw[:len(c.raw)-missing]) == nil {
						t.Fatalf("no error without the last %d of %d bytes", missing, len(c.raw))
					}
				}
				is.Equal(memory.held.Load(), int64(0))
			})
		}
	}
}

// Guards against buffers of large bodies that no lease accounts for, while they grow and after they were read, and
// against buffers of failed reads that are kept.
func TestLeaseCoversBuffer(t *testing.T) {
	is := is.New(t)
	memory := NewMemory(8 << 20)
	for _, header := range []string{"Content-Length: %d\r\n\r\n%s", "X-Length: %d\r\n\r\n%s"} {
		for _, size := range []int{UncountedBytes + 1, 300_000, 1 << 20, 2 << 20} {
			br := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + fmt.Sprintf(header, size, strings.Repeat("x", size))))
			var r fasthttp.Response
			is.NoErr(r.Header.Read(br))
			l := memory.Lease()
			is.NoErr(Read(br, &r, l))
			is.Equal(len(r.Body()), size)
			is.True(memory.held.Load() >= int64(cap(r.Body())))
			is.True(cap(r.Body()) <= 2<<20) // the share of one response
			l.Release()
			is.Equal(memory.held.Load(), int64(0))
		}
	}
	br := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 2<<20+1)))
	var r fasthttp.Response
	is.NoErr(r.Header.Read(br))
	is.Equal(Read(br, &r, memory.Lease()), ErrTooLarge)
	is.Equal(memory.held.Load(), int64(0))
	is.True(cap(r.Body()) <= UncountedBytes)
}

// Guards against garbage of large bodies that is not bounded: reads that fail or end allocate faster than the runtime
// collects.
func TestUncollectedBuffersAreBounded(t *testing.T) {
	is := is.New(t)
	defer debug.SetGCPercent(debug.SetGCPercent(-1)) // nothing is collected unless a Memory asks for it
	memory := NewMemory(4 << 20)
	raw := "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 1<<20)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 64 {
		br := bufio.NewReader(strings.NewReader(raw))
		var r fasthttp.Response
		is.NoErr(r.Header.Read(br))
		l := memory.Lease()
		is.NoErr(Read(br, &r, l))
		l.Release()
		is.True(memory.allocated.Load() <= garbageFactor*memory.limit)
	}
	runtime.ReadMemStats(&after)
	is.True(after.HeapAlloc < before.HeapAlloc+16<<20) // 64 reads allocate 2 MiB each
}

// request reads a request with a body, and returns it with the lease of the body.
func request(t *testing.T, m *Memory, limit int, header, body string) (*fasthttp.Request, *Lease, error) {
	br := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n" + body))
	r, l := &fasthttp.Request{}, m.Lease()
	if err := r.Header.Read(br); err != nil {
		t.Fatal(err)
	}
	if err := CheckRequest(r, limit, l); err != nil {
		return nil, nil, err
	}
	err := ReadRequest(br, r, limit, l)
	return r, l, err
}

func chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// Guards against request bodies that are cut or changed, and against memory that they hold and no lease accounts for.
func TestRequestBodyIsReadWhole(t *testing.T) {
	is := is.New(t)
	m := NewRequestMemory(8 << 20)
	for _, size := range []int{0, 1, UncountedBytes, UncountedBytes + 1, 300_000, 4 << 20} {
		content := strings.Repeat("0123456789", size/10+1)[:size]
		for header, raw := range map[string]string{
			fmt.Sprint("Content-Length: ", size): content, "Transfer-Encoding: chunked": chunked(content),
		} {
			if size == 0 && header != "Content-Length: 0" {
				raw = "0\r\n\r\n"
			}
			r, l, err := request(t, m, 4<<20, header, raw)
			is.NoErr(err)
			is.Equal(string(r.Body()), content)
			is.True(m.Held() >= int64(len(r.Body())) || size <= UncountedBytes)
			l.Release()
			is.Equal(m.Held(), int64(0))
			if _, _, err := request(t, m, 4<<20, header, raw[:max(0, len(raw)-1)]); size > 0 && err == nil {
				t.Errorf("%s: no error without the last byte of %d", header, len(raw))
			}
			is.Equal(m.Held(), int64(0))
		}
	}
}

// Guards against bodies above the limit of the plan or of the memory, and against a length alone that holds memory: what
// never fits and what does not fit now are told apart, before the body is read if its length is stated.
func TestRequestBodyThatDoesNotFit(t *testing.T) {
	is := is.New(t)
	const limit, size = 1 << 20, 700_000
	body := strings.Repeat("x", size)
	stated, chunks := fmt.Sprint("Content-Length: ", size), "Transfer-Encoding: chunked"
	for _, header := range []string{stated, chunks} {
		m := NewRequestMemory(limit)
		raw := body
		if header == chunks {
			raw = chunked(body)
		}
		_, _, err := request(t, m, size-1, header, raw)
		is.Equal(err, fasthttp.ErrBodyTooLarge) // above the limit of the plan
		_, _, err = request(t, NewRequestMemory(size-1), limit, header, raw)
		is.Equal(err, fasthttp.ErrBodyTooLarge) // above the memory
		_, l, err := request(t, m, limit, stated, body)
		is.NoErr(err)
		_, _, err = request(t, m, limit, header, raw)
		is.Equal(err, ErrTooLarge) // another one holds the memory
		_, _, err = request(t, m, limit, "Content-Length: 1", "x")
		is.NoErr(err)
		l.Release()
		is.Equal(m.Held(), int64(0))
	}
	m := NewRequestMemory(limit)
	_, _, err := request(t, m, limit, stated, "")
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(m.allocated.Load(), int64(0))
}

// Guards against mappings that a process gets besides the memory limit of the runtime, and against small bodies of a connection
// that no account counts.
func TestMappingsLowerTheHeapLimit(t *testing.T) {
	is := is.New(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	defer func() { heap = heapLimit{} }()
	const usual, total, size = 80 << 20, 100 << 20, 40 << 20
	LimitHeap(usual, total)
	is.Equal(debug.SetMemoryLimit(-1), int64(usual))
	account := memory.NewAccount(2*size, 2*size)
	m := NewSharedRequestMemory(2*size, account)
	_, l, err := request(t, m, size, fmt.Sprint("Content-Length: ", size), strings.Repeat("x", size))
	is.NoErr(err)
	limit := debug.SetMemoryLimit(-1)
	is.True(limit >= total-size && limit < total-size+heapLimitStep)
	l.Release()
	is.Equal(debug.SetMemoryLimit(-1), int64(usual))

	h := account.NewHolder("s", "", time.Now(), nil)
	var r fasthttp.Request
	br := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000)))
	is.NoErr(r.Header.Read(br))
	l = m.LeaseFor(h)
	is.NoErr(ReadRequest(br, &r, size, l))
	held, _, _ := account.Counts()
	is.True(held >= 5000)
	l.Release()
	held, _, _ = account.Counts()
	is.Equal(held, int64(0))
}
