package meshnode

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/rattanfield/rattanfield/core/plan"
	"github.com/rattanfield/rattanfield/core/quota"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// quotaPlan returns the plan of the cluster with one organisation.
func quotaPlan(t *testing.T, number uint64, rate, burst float64) *pb.Command {
	p, err := plan.Decode(clusterPlan(t).GetReplacePlan().GetPayload())
	if err != nil {
		t.Fatal(err)
	}
	p.Number = number
	p.Organisations = []*pb.Organisation{{Name: "org", Keys: []string{"key"}, RequestsPerSecond: proto.Float64(rate), Burst: proto.Float64(burst)}}
	payload, digest, err := plan.Encode(p)
	if err != nil {
		t.Fatal(err)
	}
	return &pb.Command{
		CommandId: fmt.Sprint("plan-", number), Operator: "test",
		Command: &pb.Command_ReplacePlan{ReplacePlan: &pb.ReplacePlan{Number: number, BaseNumber: number - 1, Payload: payload, Digest: digest}},
	}
}

// load sends requests of the organisation at a rate to the nodes in turn, for a time, and returns how many were served and rejected.
func (c *cluster) load(rate float64, length time.Duration, nodes []*clusterNode) (served, rejected int64, problem string) {
	var ok, beyond atomic.Int64
	var odd atomic.Value
	done := make(chan struct{}, 4096)
	sent := 0
	for start := time.Now(); time.Since(start) < length; sent++ {
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / rate * float64(time.Second)))))
		n := nodes[sent%len(nodes)]
		go func() {
			defer func() { done <- struct{}{} }()
			resp := n.sendKey(fmt.Sprint("quota-", sent))
			defer fasthttp.ReleaseResponse(resp)
			switch resp.StatusCode() {
			case http.StatusOK:
				ok.Add(1)
			case http.StatusTooManyRequests:
				beyond.Add(1)
				if s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err != nil || s <= 0 || s > 5 {
					odd.Store("Retry-After: " + string(resp.Header.Peek("Retry-After")))
				}
			}
		}()
	}
	for range sent {
		<-done
	}
	problem, _ = odd.Load().(string)
	return ok.Load(), beyond.Load(), problem
}

// sendKey sends a request with the key of the organisation.
func (n *clusterNode) sendKey(id string) *fasthttp.Response {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + n.entry + "/r/quota")
	req.Header.SetHost("h")
	req.UseHostHeader = true
	req.SetConnectionClose()
	req.Header.Set(testHeaders.ID, id)
	req.Header.Set(testHeaders.Key, "key")
	req.Header.Set(testHeaders.RemainingMs, "1500")
	client := fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}
	if err := client.DoTimeout(req, resp, 2*time.Second); err != nil {
		resp.SetStatusCode(noResponse)
	}
	return resp
}

// Guards against nodes that each enforce the whole quota, or an even part of it: an organisation may use all of it through one
// node, moves to the others without a rejection, and gets no more than the bound through all of them. A lower limit binds at once.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	is := is.New(t)
	const rate, burst = 40.0, 20.0
	c := newCluster(t, 3, nil)
	is.Equal(c.submit(quotaPlan(t, 2, rate, burst)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	for _, n := range c.nodes {
		eventually(t, "the quota is in force", func() bool {
			v := n.process.Load().control.View()
			return v.Plan != nil && v.Plan.HasQuotas()
		})
	}
	for _, n := range c.nodes {
		eventually(t, "control hosts that have just started state totals", func() bool {
			var b strings.Builder
			n.process.Load().set.WritePrometheus(&b)
			return !strings.Contains(b.String(), "rattanfield_quota_totals_age_seconds -1")
		})
	}
	for _, nodes := range [][]*clusterNode{c.nodes[:1], c.nodes[1:2], c.nodes} {
		served, rejected, problem := c.load(0.62*rate, 4*time.Second, nodes)
		t.Logf("usual demand at %d nodes: %d served, %d rejected", len(nodes), served, rejected)
		is.Equal(problem, "")
		is.True(float64(rejected) <= 0.05*float64(served+rejected)) // within the quota
	}
	window := quota.DefaultSettings.Window
	served, rejected, problem := c.load(5*rate, window, c.nodes)
	t.Logf("eightfold demand: %d served, %d rejected", served, rejected)
	is.Equal(problem, "")
	is.True(float64(served) <= (rate*window.Seconds()+burst)*1.1+20) // the bound
	is.True(float64(served) >= 0.5*rate*window.Seconds())            // the quota is not idle; the use before the burst counts too
	is.Equal(c.submit(quotaPlan(t, 3, rate/4, burst/4)).GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	time.Sleep(window + 500*time.Millisecond)
	served, _, _ = c.load(rate, window, c.nodes)
	t.Logf("after a lower limit: %d served", served)
	is.True(float64(served) <= (rate/4*window.Seconds()+burst/4)*1.1+20)
}
