package carry

import (
	"sync"
	"time"

	pb "github.com/rattanfield/rattanfield/gen/rattanfield/v1"
)

// outcomes counts what the upstream of this node answered in a running rollout.
type outcomes struct {
	mu      sync.Mutex
	rollout uint64
	process string // upstream that the counts belong to
	routes  map[string]*pb.RouteOutcomes
}

// add counts one answer, or its lack, if a rollout of the service runs. An error
// is a failure that the upstream answered itself before the time was up.
func (o *outcomes) add(r *pb.Rollout, process, route string, failed, isError bool, latency time.Duration) {
	if r.GetPhase() != pb.RolloutPhase_ROLLOUT_PHASE_RUNNING {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.rollout != r.GetSerial() || o.process != process {
		o.rollout, o.process, o.routes = r.GetSerial(), process, make(map[string]*pb.RouteOutcomes)
	}
	c := o.routes[route]
	if c == nil {
		c = &pb.RouteOutcomes{Route: route, Rollout: r.GetSerial()}
		o.routes[route] = c
	}
	c.Answered++
	c.TimeMs += uint64(latency.Milliseconds())
	if failed {
		c.Failed++
	}
	if isError {
		c.Errors++
	}
}

// snapshot for a rollout, nil when nothing was counted in it.
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
		})
	}
	return out
}
