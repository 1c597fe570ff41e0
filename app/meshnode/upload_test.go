package meshnode

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// upload sends a request with a body on a new connection and returns the response; its status is 0 if none came.
func (n *testNode) upload(id string, body string) (status int, reason, retryAfter string) {
	c, err := net.DialTimeout("tcp", n.entryAddress, time.Second)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = c.Close() }()
	go func() {
		_, _ = fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: h\r\nT-Id: %s\r\nT-Remaining: 2000\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}()
	var r fasthttp.Response
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if r.Read(bufio.NewReader(c)) != nil {
		return 0, "", ""
	}
	return r.StatusCode(), strings.TrimSpace(string(r.Body())), string(r.Header.Peek(fasthttp.HeaderRetryAfter))
}

// Guards against uploads within the limits that together exceed the memory of a node, which ends all requests on it. What does
// not fit is rejected at once and has not run; ordinary requests are served all the while.
func TestUploadsStayWithinMemory(t *testing.T) {
	is := is.New(t)
	const memory, uploads = 32 << 20, 16
	var ran atomic.Int32
	n := startTestNode(t, Options{StopBound: time.Second, Memory: memory}, func(_ context.Context, x *meshhttp.Exchange) {
		if len(x.Request.Body()) > 0 {
			ran.Add(1)
			time.Sleep(300 * time.Millisecond)
		}
	})
	held := func() (bytes float64) {
		for _, side := range []string{"entry", "gate"} {
			bytes += n.set.GetOrCreateGauge(fmt.Sprintf("rattanfield_request_body_bytes{side=%q}", side), nil).Get()
		}
		return bytes
	}
	body := strings.Repeat("x", memory/bodyMemoryDivisor/3)
	var group sync.WaitGroup
	var served, rejected, mostHeld atomic.Int32
	done := make(chan struct{})
	for i := range uploads {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			status, reason, retryAfter := n.upload(fmt.Sprint("upload-", i), body)
			switch {
			case status == http.StatusOK:
				served.Add(1)
			case status == http.StatusServiceUnavailable && reason == "memory" && retryAfter != "":
				rejected.Add(1)
			default:
				t.Errorf("an upload was answered with %d %q", status, reason)
			}
		})
	}
	var ordinary sync.WaitGroup
	ordinary.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mostHeld.Store(max(mostHeld.Load(), int32(held())))
			if status := n.request(fmt.Sprint("/page-", i), time.Second); status != http.StatusOK {
				t.Errorf("an ordinary request was answered with %d", status)
			}
		}
	})
	group.Wait()
	close(done)
	ordinary.Wait()
	t.Logf("%d uploads served, %d rejected, up to %d bytes held", served.Load(), rejected.Load(), mostHeld.Load())
	is.Equal(served.Load(), ran.Load()) // what was rejected has not run
	is.True(served.Load() > 0)
	is.True(rejected.Load() > 0)
	is.True(mostHeld.Load() <= 2*memory/bodyMemoryDivisor)
	eventually(t, "the memory is released", func() bool { return held() == 0 })
	status, _, _ := n.upload("upload-last", body)
	is.Equal(status, http.StatusOK)
}
