package meshnode

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/rattanfield/rattanfield/core/plan"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// withdrawBound is the time from the acknowledgement of a plan until nodes reject the keys that it withdraws
// (bounds.config_apply).
const withdrawBound = 2500 * time.Millisecond

// Guards against a key that nodes accept for too long after a plan withdrew it, on connections that are open. Load: 10,000
// organisations with random keys, six nodes.
func TestWithdrawnKeyIsRejectedInTime(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, nil)
	p, err := plan.Decode(clusterPlan(t).GetReplacePlan().GetPayload())
	is.NoErr(err)
	p.HasOrganisations = true
	for i := range 10_000 {
		p.Organisations = append(p.Organisations, &pb.Organisation{Name: fmt.Sprint("o-", i), Keys: []string{rand.Text(), rand.Text(), rand.Text()}})
	}
	withdrawn := p.Organisations[77].Keys[1]
	replace := func(base uint64) {
		p.BaseNumber, p.Number = base, base+1
		payload, digest, err := plan.Encode(p)
		is.NoErr(err)
		result := c.submit(&pb.Command{CommandId: fmt.Sprint("plan-", p.Number), Operator: "test", Command: &pb.Command_ReplacePlan{ReplacePlan: &pb.ReplacePlan{
			BaseNumber: base, Number: p.Number, Payload: payload, Digest: digest,
		}}})
		is.Equal(result.GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
		t.Logf("plan %d: payload of %d bytes", p.Number, len(payload))
	}
	replace(1)
	send := make([]func() int, len(c.nodes))
	for i, n := range c.nodes {
		conn, err := net.Dial("tcp", n.entry)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		br := bufio.NewReader(conn)
		send[i] = func() int {
			_, _ = io.WriteString(conn, "GET /r/1 HTTP/1.1\r\nHost: h\r\n"+testHeaders.ID+": id\r\n"+testHeaders.Key+": "+withdrawn+"\r\n\r\n")
			var r fasthttp.Response
			if r.Read(br) != nil {
				return noResponse
			}
			return r.StatusCode()
		}
		eventually(t, "the node needs keys", func() bool { return n.get("/r/1", "no-key", time.Second) == http.StatusUnauthorized })
		is.Equal(send[i](), http.StatusOK)
	}
	p.Organisations[77].Keys = p.Organisations[77].Keys[:1]
	replace(2)
	acknowledged := time.Now()
	for i := range c.nodes {
		status := send[i]()
		for status != http.StatusUnauthorized && time.Since(acknowledged) < withdrawBound {
			time.Sleep(10 * time.Millisecond)
			status = send[i]()
		}
		is.Equal(status, http.StatusUnauthorized)
	}
	t.Logf("all nodes reject the key after %v", time.Since(acknowledged).Round(time.Millisecond))
}
