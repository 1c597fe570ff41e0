package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanfield/rattanfield/core/rollout"
	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// outcomes counts the outcomes of this node's upstream by route during a rollout.
type outcomes struct {
	mu       sync.Mutex
	rollout  uint64
	instance string // the upstream that the counts are about
	routes   map[string]*pb.RouteOutcomes
}

// add counts the outcome of one request, answered or not, while a rollout of the
// service runs. isError marks a failure that the upstream itself answered before
// the deadline.
func (o *outcomes) add(r *pb.Rollout, instance, route string, failed, isError bool, latency time.Duration) {
	if r.GetPhase() != pb.RolloutPhase_ROLLOUT_PHASE_RUNNING {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rollout != r.GetSerial() || o.instance != instance {
		o.rollout, o.instance, o.routes = r.GetSerial(), instance, make(map[string]*pb.RouteOutcomes)
	}
	c := o.routes[route]
	if c == nil {
		c = &pb.RouteOutcomes{Route: route, Rollout: r.GetSerial()}
		o.routes[route] = c
	}
	c.Answered++
	c.TimeMs += uint64(latency.Milliseconds())
	bucket := rollout.TimeBucket(latency)
	for len(c.Times) <= bucket {
		c.Times = append(c.Times, 0)
	}
	c.Times[bucket]++
	if failed {
		c.Failed++
	}
	if isError {
		c.Errors++
	}
}

// snapshot returns a copy of the counts of a rollout, or nil if it is not running
// or nothing was counted in it.
func (o *outcomes) snapshot(r *pb.Rollout) []*pb.RouteOutcomes {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.GetPhase() != pb.RolloutPhase_ROLLOUT_PHASE_RUNNING || r.GetSerial() != o.rollout {
		return nil
	}
	out := make([]*pb.RouteOutcomes, 0, len(o.routes))
	for _, c := range o.routes {
		out = append(out, &pb.RouteOutcomes{
			Route: c.Route, Rollout: c.Rollout, Answered: c.Answered, Failed: c.Failed, TimeMs: c.TimeMs, Errors: c.Errors,
			Times: slices.Clone(c.Times),
		})
	}
	return out
}
