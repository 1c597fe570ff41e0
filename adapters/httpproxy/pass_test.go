package httpproxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Checks that responses of every kind of framing arrive as the upstream sent them, and that
// hop-by-hop and internal headers are not passed on.
func TestResponsesPassUnchanged(t *testing.T) {
	m := newMesh(t, nil)
	n := m.node("a")
	large := strings.Repeat("0123456789abcdef", 20_000)
	n.upstream(func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Response.Header
		h.Set("X-App", "yes")
		h.Set("Keep-Alive", "timeout=1")
		h.Add("Set-Cookie", "a=1")
		h.Add("Set-Cookie", "b=2")
		switch string(ctx.Path()) {
		case "/fares/none":
			ctx.SetStatusCode(204)
		case "/fares/same":
			ctx.SetStatusCode(304)
		case "/fares/stream":
			ctx.SetBodyStream(strings.NewReader(large), -1)
		case "/fares/large":
			ctx.SetBodyString(large)
		case "/fares/failed":
			ctx.SetStatusCode(409)
			ctx.SetBodyString("no place left")
		case "/fares/headers":
			for k, v := range ctx.Request.Header.All() {
				_, _ = fmt.Fprintf(ctx, "%s=%s;", k, v)
			}
		default:
			ctx.SetBodyString("short")
		}
	})
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, c := range []struct {
		method, path string
		status       int
		body         string
		length       int64
	}{
		{"GET", "/fares/", 200, "short", 5},
		{"HEAD", "/fares/", 200, "", 5},
		{"GET", "/fares/none", 204, "", 0},
		{"GET", "/fares/same", 304, "", 0},
		{"GET", "/fares/stream", 200, large, int64(len(large))},
		{"HEAD", "/fares/large", 200, "", int64(len(large))},
		{"PUT", "/fares/large", 200, large, int64(len(large))},
		{"DELETE", "/fares/failed", 409, "no place left", 13},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			is := is.New(t)
			for range 2 { // the second request reuses the connections
				req, err := http.NewRequest(c.method, "http://"+n.entryAddress+c.path, nil)
				is.NoErr(err)
				resp, err := client.Do(req)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				_ = resp.Body.Close()
				is.Equal(resp.StatusCode, c.status)
				is.True(string(body) == c.body)
				is.True(resp.ContentLength == c.length || c.length == 0)
				is.Equal(resp.Header.Get("X-App"), "yes")
				is.Equal(len(resp.Header.Values("Set-Cookie")), 2)
				is.Equal(resp.Header.Get("Keep-Alive"), "")
				is.Equal(resp.Header.Get(HeaderRan), RanRun)
			}
		})
	}
	is := is.New(t)
	r := send(n.entryAddress, "POST", "/fares/headers", "", header{
		HeaderSuspect: "1", HeaderFingerprint: "7", "Te": "trailers", "X-App": "kept", HeaderDeadline: "900", HeaderDepth: "3", HeaderTenant: "pier",
	})
	is.True(strings.Contains(r.body, "X-App=kept;") && strings.Contains(r.body, HeaderDepth+"=4;") && strings.Contains(r.body, HeaderTenant+"=pier;"))
	is.True(strings.Contains(r.body, HeaderDeadline+"="))
	is.True(!strings.Contains(r.body, "Te=") && !strings.Contains(r.body, HeaderSuspect) && !strings.Contains(r.body, HeaderFingerprint+"=7;"))
}

// Checks that the upstream sees its connection end when the caller disconnects, so that it can stop working.
func TestCancellationReachesUpstream(t *testing.T) {
	is := is.New(t)
	m := newMesh(t, func(s *pb.Service) { s.Limits.TimeoutMs = 60_000 }) // the deadline does not end the call first
	n := m.node("a")
	started, ended := make(chan struct{}), make(chan error, 1)
	n.rawUpstream(func(conn net.Conn) {
		buffer := make([]byte, 4096)
		for total := 0; !bytes.Contains(buffer[:total], []byte("\r\n\r\n")); {
			k, err := conn.Read(buffer[total:])
			if err != nil {
				return
			}
			total += k
		}
		close(started)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := conn.Read(buffer)
		ended <- err
	})
	conn, err := net.Dial("tcp", n.entryAddress)
	is.NoErr(err)
	_, _ = fmt.Fprint(conn, "GET /climb HTTP/1.1\r\nHost: x\r\n\r\n")
	<-started
	_ = conn.Close()
	err = <-ended
	is.True(err != nil && !isTimeout(err))
}
