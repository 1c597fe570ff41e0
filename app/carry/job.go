package carry

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanfield/rattanfield/adapters/meshhttp"
)

// job is a request as its entry describes it.
type job struct {
	id, service, version, route string
	priority                    uint32
	idempotent                  bool
	deadline, goal              time.Time
	budget                      time.Duration
	received                    time.Time
}

func (g *Gate) parse(x *meshhttp.Exchange) (job, bool) {
	h := &x.Request.Header
	remaining, ok := milliseconds(h.Peek(hopRemainingMs))
	goal, _ := milliseconds(h.Peek(hopGoalMs))
	budget, _ := milliseconds(h.Peek(hopBudgetMs))
	priority, err := strconv.ParseUint(string(h.Peek(hopPriority)), 10, 32)
	j := job{
		id: string(h.Peek(g.options.Headers.ID)), service: string(h.Peek(hopService)), version: string(h.Peek(hopVersion)),
		route: string(h.Peek(hopRoute)), priority: uint32(priority), idempotent: len(h.Peek(hopIdempotent)) > 0,
		deadline: x.Received.Add(remaining), goal: x.Received.Add(goal), budget: budget, received: x.Received,
	}
	return j, ok && err == nil && j.service != ""
}

// luck of a request is the same at every gate; see admission.Request.
func luck(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
