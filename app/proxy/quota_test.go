package proxy

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/app/controlclient"
	"github.com/rattanfield/rattanfield/app/quotas"
	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/quota"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against requests beyond the quota that reach an upstream or count for the throttle, against public routes that are
// charged, and against a charge for a request that no upstream can have run.
func TestQuotaRejectsBeforeSending(t *testing.T) {
	is := is.New(t)
	m := newMesh()
	n := newNode(t, m, "1", succeed)
	m.change(func(v *controlclient.View) {
		p := proto.CloneOf(v.Plan.Plan)
		p.Organisations = []*pb.Organisation{{Name: "org", Keys: []string{"key"}, RequestsPerSecond: proto.Float64(0.2), Burst: proto.Float64(1)}}
		p.Routes[1].Public = proto.Bool(true)
		v.Plan = plan.NewTable(p, 2)
	})
	e := newTestEntry(m)
	e.options.Headers.Key, e.options.Headers.Organisation = "T-Key", "T-Organisation"
	e.options.Quotas = quotas.New(quota.Settings{Window: 5 * time.Second}, func() {}, metrics.NewSet(), log.NewNopLogger())
	sendKey := func(path string) *fasthttp.Response { return &sendWith(e, path, "T-Key", "key").Response }
	endpoints := m.View().Endpoints["a"]
	m.change(func(v *controlclient.View) { v.Endpoints["a"] = nil })
	for range 10 {
		is.Equal(sendKey("/read/1").StatusCode(), fasthttp.StatusServiceUnavailable) // nothing runs; each charge is given back
	}
	m.change(func(v *controlclient.View) { v.Endpoints["a"] = endpoints })
	served := 0
	for range 10 {
		r := sendKey("/read/1")
		if r.StatusCode() == fasthttp.StatusOK {
			served++
			continue
		}
		is.Equal(r.StatusCode(), fasthttp.StatusTooManyRequests)
		is.Equal(string(r.Body()), "quota\n")
		is.Equal(string(r.Header.Peek(testHeaders.ID)), "id-1")
		is.True(len(r.Header.Peek(fasthttp.HeaderRetryAfter)) > 0)
	}
	is.Equal(served, n.upstream.count()) // what was rejected was not sent
	is.True(served >= 2 && served <= 3)  // rate x window + burst, and a fraction that is rounded at random
	is.Equal(sendKey("/write/1").StatusCode(), fasthttp.StatusOK)
}
