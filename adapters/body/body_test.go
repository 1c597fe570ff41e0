package body

import (
	"bufio"
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// Guards against a body that is shorter than its length or its chunks state and that is read
// without an error, for bodies that count towards the memory limit and for those that do not.
func TestShortBodyIsAnError(t *testing.T) {
	for _, size := range []int{1, 4 << 10, uncountedBytes - 1, uncountedBytes, uncountedBytes + 1, 200_000} {
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
		for _, size := range []int{uncountedBytes + 1, 300_000, 1 << 20, 2 << 20} {
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
	is.True(cap(r.Body()) <= uncountedBytes)
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
