package proxy

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
	"github.com/rattanfield/rattanfield/core/condition"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// Guards against a gate that keeps filling an upstream which takes no more requests per second from a third of its slots on.
func TestGateLimitsUpstreamWithKnee(t *testing.T) {
	is := is.New(t)
	const slots, knee = 9, 3
	var running atomic.Int32
	m := newMesh()
	n := newNode(t, m, "u", func(x *meshhttp.Exchange) {
		c := running.Add(1)
		defer running.Add(-1)
		time.Sleep(12 * time.Millisecond * time.Duration(max(knee, c)) / knee)
		succeed(x)
	})
	set, out := metrics.NewSet(), strings.Builder{}
	n.gate.metrics, n.gate.logger = NewMetrics(set), log.NewLogfmtLogger(log.NewSyncWriter(&out))
	n.gate.options.Report = func(condition.Condition) {} // on a busy machine the upstream may count as slow
	wide := n.announcement("u", 2, pb.UpstreamState_UPSTREAM_STATE_SERVING)
	wide.Slots = slots
	n.gate.Announce(wide)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = n.gate.Run(ctx)
	}()
	entry := newTestEntry(m)
	limit := func() int {
		n.gate.mu.Lock()
		defer n.gate.mu.Unlock()
		limit, _ := n.gate.activeUpstream.capacity.Limit()
		return limit
	}
	// load sends requests from the given number of clients until the condition holds.
	load := func(clients int, until func() bool) {
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				for !until() {
					send(entry, "/read/x")
				}
			})
		}
		wg.Wait()
	}
	begin := time.Now()
	load(2, func() bool { return time.Since(begin) > time.Second })
	load(slots+1, func() bool { return limit() < slots || time.Since(begin) > 40*time.Second })
	t.Logf("limit %d after %v", limit(), time.Since(begin))
	is.True(limit() < slots)
	time.Sleep(3 * conditionInterval) // the change is logged at the next check
	cancel()
	<-stopped
	var text strings.Builder
	set.WritePrometheus(&text)
	is.True(strings.Contains(text.String(), "rattanfield_capacity_limit 5"))
	is.True(strings.Contains(text.String(), `rattanfield_capacity_last_change{reason="knee"} 1`))
	is.True(strings.Contains(out.String(), `event="capacity limit" instance=u limit=5 before=9 slots=9 reason=knee`))
}
