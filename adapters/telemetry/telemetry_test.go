package telemetry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/rattanfield/rattanfield/adapters/rpc"
	"github.com/rattanfield/rattanfield/ring"
)

func TestLoggerLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewLogger(&out, "p", "n1", "warn")
	is.NoErr(level.Info(logger).Log("msg", "hidden"))
	is.NoErr(level.Warn(logger).Log("msg", "shown"))
	is.True(!strings.Contains(out.String(), "hidden"))
	is.True(strings.Contains(out.String(), "program=p id=n1 level=warn msg=shown"))
}

// Checks that a failed check turns /readyz into 503 with its reason, and that the
// drops of a full ring appear in /metrics.
func TestAdmin(t *testing.T) {
	// Two goroutines of fasthttp outlive its server: the clock for the Date header, and
	// the cleaner of the worker pool, which notices the stop only after a sleep of 10 s.
	defer goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
	is := is.New(t)
	set := metrics.NewSet()
	r := ring.New[int](1)
	r.TryPush(1)
	r.TryPush(2)
	AddRing(set, "calls", r)
	AddLinks(set, rpc.NewClient(rpc.Options{}))
	a := NewAdmin(AdminOptions{Program: "p", ID: "n1", Set: set, Status: func() any { return map[string]int{"revision": 4} }})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- a.Serve(l) }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string) (int, string) {
		resp, err := client.Get("http://" + l.Addr().String() + path)
		is.NoErr(err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return resp.StatusCode, string(body)
	}
	ready := errors.New("no configuration yet")
	a.AddReadiness("configuration", func() error { return ready })
	for _, c := range []struct {
		path   string
		status int
		want   string
	}{
		{"/healthz", 200, "ok"},
		{"/readyz", 503, `{"ready":false,"reasons":{"configuration":"no configuration yet"}}`},
		{"/v1/status", 200, `"detail":{"revision":4}`},
		{"/metrics", 200, `rattanfield_ring_dropped_total{ring="calls"} 1`},
		{"/metrics", 200, `rattanfield_link_bytes_total{link="remote",direction="sent"} 0`},
		{"/metrics", 200, "process_resident_memory_bytes"},
		{"/none", 404, ""},
	} {
		status, body := get(c.path)
		is.Equal(status, c.status)
		if !strings.Contains(body, c.want) {
			t.Errorf("%s lacks %q: %s", c.path, c.want, body)
		}
	}
	ready = nil
	status, _ := get("/readyz")
	is.Equal(status, 200)
	is.NoErr(a.Shutdown(context.Background()))
	is.NoErr(<-done)
}
