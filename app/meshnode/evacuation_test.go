package meshnode

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// evacuationBound is the time from the acknowledgement of an evacuation until no upstream of the failure domain gets requests.
const evacuationBound = 5 * time.Second

// Guards against requests that reach the upstreams of an evacuated failure domain after the bound, against requests that fail
// because of its begin or its end, also those of clients in the domain, and against a domain that stays without requests. The
// load: 6 nodes in 3 failure domains, with 4 clients each that send without a pause.
func TestEvacuationOfAFailureDomain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, nil)
	order := func(active bool) {
		r := c.control.Load().Submit(t.Context(), &pb.Command{CommandId: fmt.Sprint("evacuate", active), Operator: "test", Command: &pb.Command_ChangeEvacuation{
			ChangeEvacuation: &pb.ChangeEvacuation{FailureDomain: "d0", Active: active, FailureDomains: []string{"d0", "d1", "d2"}},
		}})
		is.Equal(r.GetOutcome(), pb.Outcome_OUTCOME_ACCEPTED)
	}
	// last returns the begin of the last run on an upstream of the failure domain.
	last := func() (begin time.Time) {
		c.history.mu.Lock()
		defer c.history.mu.Unlock()
		for _, runs := range c.history.runs {
			for _, r := range runs {
				for _, n := range c.nodes {
					if n.domain == "d0" && strings.HasPrefix(r.instance, n.address) && r.begin.After(begin) {
						begin = r.begin
					}
				}
			}
		}
		return begin
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, failed := 0, ""
	for k, n := range c.nodes {
		for i := range 4 {
			group.Go(func() {
				for seq := 0; ; seq++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprint("e-", k, "-", i, "-", seq)
					status := n.get("/w/1", id, 1500*time.Millisecond)
					mu.Lock()
					sent++
					if status != http.StatusOK && failed == "" {
						failed = fmt.Sprint(id, ": ", status, c.log.of(id))
					}
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	order(true)
	acknowledged := time.Now()
	time.Sleep(evacuationBound + time.Second)
	quiet := last()
	t.Logf("last run %v after the acknowledgement", quiet.Sub(acknowledged))
	is.True(quiet.Before(acknowledged.Add(evacuationBound)))
	order(false)
	ended := time.Now()
	eventually(t, "the failure domain gets requests again", func() bool { return last().After(ended) })
	t.Logf("first run at most %v after the end", time.Since(ended))
	close(stop)
	group.Wait()
	t.Logf("%d requests", sent)
	is.Equal(failed, "")
}
